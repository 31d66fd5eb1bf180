//! Baselines of the comparison: a fixed window over the whole fleet, and a circuit breaker for each
//! instance and version.

use {
    super::simulation::{Detector, INSTANCES, release},
    hawthornmount_core::snapshot::Release,
    hawthornmount_rollout::{Sample, sample::Outcome},
    rand::rngs::StdRng,
    std::collections::VecDeque,
};

/// Number of observations in a window.
const WINDOW: usize = 50;
/// Failure rate in a window above which a version is stopped.
const MAX_FAILURE_RATE: f64 = 0.1;
/// Drop of the mean rating below [`EXPECTED_RATING`] beyond which a version is stopped.
const MAX_RATING_DROP: f64 = 0.15;
/// Mean rating expected of a version in use.
const EXPECTED_RATING: f64 = 0.85;
/// Number of answers in the window of a breaker.
const BREAKER_WINDOW: usize = 20;
/// Failure rate from which a breaker opens.
const BREAKER_FAILURE_RATE: f64 = 0.5;
/// Lowest number of answers with which a breaker opens.
const BREAKER_MIN_ANSWERS: usize = 5;

/// Sliding window of the last values.
#[derive(Clone, Default)]
struct Values(VecDeque<f64>);

impl Values {
    fn push(&mut self, value: f64, limit: usize) {
        self.0.push_back(value);
        if self.0.len() > limit {
            self.0.pop_front();
        }
    }

    fn mean(&self) -> f64 {
        self.0.iter().sum::<f64>() / self.0.len().max(1) as f64
    }
}

/// Windows over the observations of the whole fleet, shared by all instances without delay.
pub struct Window {
    releases: [Release; 2],
    failures: [Values; 2],
    ratings: [Values; 2],
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

    fn evaluate(&mut self, at: usize) {
        let is_failure_window_full = self.failures[at].0.len() == WINDOW;
        let failing = is_failure_window_full && self.failures[at].mean() > MAX_FAILURE_RATE;
        let is_rating_window_full = self.ratings[at].0.len() == WINDOW;
        let dropped =
            is_rating_window_full && self.ratings[at].mean() < EXPECTED_RATING - MAX_RATING_DROP;
        self.stopped[at] |= failing || dropped;
    }
}

impl Detector for Window {
    fn observe(&mut self, _instance: usize, sample: Sample) {
        let Some(at) = self.releases.iter().position(|one| *one == sample.release) else { return };
        match sample.outcome {
            Outcome::Failed => self.failures[at].push(1.0, WINDOW),
            Outcome::Answered(_) => self.failures[at].push(0.0, WINDOW),
            Outcome::Rated(rating) => self.ratings[at].push(rating, WINDOW),
            Outcome::Unreachable => {}
        }
        self.evaluate(at);
    }

    fn is_stopped(&self, _instance: usize, release: &Release) -> bool {
        self.releases.iter().position(|one| one == release).is_some_and(|at| self.stopped[at])
    }

    fn any_stopped(&self) -> bool {
        self.stopped.contains(&true)
    }

    fn advance(&mut self, _now: f64, _rng: &mut StdRng) {}
}

/// A circuit breaker for each instance and version. An open breaker never closes.
pub struct Breaker {
    releases: [Release; 2],
    failures: Vec<[Values; 2]>,
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

impl Detector for Breaker {
    fn observe(&mut self, instance: usize, sample: Sample) {
        let Some(at) = self.releases.iter().position(|one| *one == sample.release) else { return };
        let failures = &mut self.failures[instance][at];
        match sample.outcome {
            Outcome::Failed => failures.push(1.0, BREAKER_WINDOW),
            Outcome::Answered(_) => failures.push(0.0, BREAKER_WINDOW),
            Outcome::Rated(_) | Outcome::Unreachable => return,
        }
        let enough = failures.0.len() >= BREAKER_MIN_ANSWERS;
        self.open[instance][at] |= enough && failures.mean() >= BREAKER_FAILURE_RATE;
    }

    fn is_stopped(&self, instance: usize, release: &Release) -> bool {
        let at = self.releases.iter().position(|one| one == release);
        at.is_some_and(|at| self.open[instance][at])
    }

    fn any_stopped(&self) -> bool {
        self.open.iter().flatten().any(|open| *open)
    }

    fn advance(&mut self, _now: f64, _rng: &mut StdRng) {}
}
