//! What the judges are compared with: a fixed window over the fleet and a circuit breaker of each
//! instance.

use {
    super::simulation::{Guard, INSTANCES, release},
    hawthornmount_core::snapshot::Release,
    hawthornmount_rollout::{Sample, sample::Outcome},
    rand::rngs::StdRng,
    std::collections::VecDeque,
};

/// Observations in a window.
const WINDOW: usize = 50;
/// Part of failures in a window that stops a version.
const MAX_FAILURES: f64 = 0.1;
/// Drop of the mean rating against the stable version's that stops a version.
const MAX_DROP: f64 = 0.15;
/// Mean rating that is expected of a version in use.
const EXPECTED_RATING: f64 = 0.85;
/// Answers of a breaker's window.
const BREAKER_WINDOW: usize = 20;
/// Part of failures that opens a breaker.
const BREAKER_FAILURES: f64 = 0.5;
/// Fewest answers that open a breaker.
const BREAKER_LEAST: usize = 5;

/// Last values of one kind.
#[derive(Clone, Default)]
struct Last(VecDeque<f64>);

impl Last {
    fn push(&mut self, value: f64, most: usize) {
        self.0.push_back(value);
        if self.0.len() > most {
            self.0.pop_front();
        }
    }

    fn mean(&self) -> f64 {
        self.0.iter().sum::<f64>() / self.0.len().max(1) as f64
    }
}

/// Windows over the whole fleet, known everywhere at once.
pub struct Window {
    releases: [Release; 2],
    failures: [Last; 2],
    ratings: [Last; 2],
    stopped: [bool; 2],
}

impl Window {
    /// Creates empty windows.
    pub fn new() -> Self {
        Self {
            releases: [release("v1"), release("v2")],
            failures: Default::default(),
            ratings: Default::default(),
            stopped: [false; 2],
        }
    }

    fn judge(&mut self, at: usize) {
        let full = self.failures[at].0.len() == WINDOW;
        let failing = full && self.failures[at].mean() > MAX_FAILURES;
        let rated = self.ratings[at].0.len() == WINDOW;
        let dropped = rated && self.ratings[at].mean() < EXPECTED_RATING - MAX_DROP;
        self.stopped[at] |= failing || dropped;
    }
}

impl Guard for Window {
    fn observe(&mut self, _instance: usize, sample: Sample) {
        let Some(at) = self.releases.iter().position(|one| *one == sample.release) else { return };
        match sample.outcome {
            Outcome::Failed => self.failures[at].push(1.0, WINDOW),
            Outcome::Answered(_) => self.failures[at].push(0.0, WINDOW),
            Outcome::Rated(rating) => self.ratings[at].push(rating, WINDOW),
            Outcome::Unreachable => {}
        }
        self.judge(at);
    }

    fn is_stopped(&self, _instance: usize, release: &Release) -> bool {
        self.releases.iter().position(|one| one == release).is_some_and(|at| self.stopped[at])
    }

    fn any_stopped(&self) -> bool {
        self.stopped.contains(&true)
    }

    fn pass(&mut self, _now: f64, _rng: &mut StdRng) {}
}

/// A breaker for each instance and version, which opens for good.
pub struct Breaker {
    releases: [Release; 2],
    failures: Vec<[Last; 2]>,
    open: Vec<[bool; 2]>,
}

impl Breaker {
    /// Creates closed breakers.
    pub fn new() -> Self {
        Self {
            releases: [release("v1"), release("v2")],
            failures: vec![Default::default(); INSTANCES],
            open: vec![[false; 2]; INSTANCES],
        }
    }
}

impl Guard for Breaker {
    fn observe(&mut self, instance: usize, sample: Sample) {
        let Some(at) = self.releases.iter().position(|one| *one == sample.release) else { return };
        let failures = &mut self.failures[instance][at];
        match sample.outcome {
            Outcome::Failed => failures.push(1.0, BREAKER_WINDOW),
            Outcome::Answered(_) => failures.push(0.0, BREAKER_WINDOW),
            Outcome::Rated(_) | Outcome::Unreachable => return,
        }
        let enough = failures.0.len() >= BREAKER_LEAST;
        self.open[instance][at] |= enough && failures.mean() >= BREAKER_FAILURES;
    }

    fn is_stopped(&self, instance: usize, release: &Release) -> bool {
        let at = self.releases.iter().position(|one| one == release);
        at.is_some_and(|at| self.open[instance][at])
    }

    fn any_stopped(&self) -> bool {
        self.open.iter().flatten().any(|open| *open)
    }

    fn pass(&mut self, _now: f64, _rng: &mut StdRng) {}
}
