//! Simulation of one run in virtual time: instances get answers from servers, ratings arrive later,
//! and gossip between the instances is delayed and loses frames.

use {
    hawthornmount_core::{
        clock::System,
        config::Config,
        id::{DataCentreId, ServerId},
        snapshot::Release,
    },
    hawthornmount_rollout::{
        Evaluator, Sample, evidence::Record, monitor::Monitor, sample::Outcome,
        suspension::Suspension,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{sync::Arc, time::Duration},
};

/// Number of entry instances.
pub const INSTANCES: usize = 9;
/// Number of data centres; all have the same number of instances and of servers.
const DATA_CENTRES: usize = 3;
/// Number of servers in each data centre.
const SERVERS_PER_DATA_CENTRE: usize = 3;
/// Requests per second in the whole fleet.
const REQUESTS_PER_S: f64 = 100.0;
/// Fraction of the model's requests that the candidate gets.
const CANDIDATE_SHARE: f64 = 0.05;
/// Fraction of the requests that are for another model.
const OTHER_MODEL_SHARE: f64 = 0.2;
/// Fraction of the successful answers that are rated.
const RATED_SHARE: f64 = 0.5;
/// Number of requests before the roll-out of the candidate starts.
const REQUESTS_BEFORE_ROLLOUT: u64 = 3_000;
/// Number of requests before the stable version becomes bad.
const REQUESTS_BEFORE_ONSET: u64 = 20_000;
/// Number of requests after the roll-out or the bad behaviour starts, after which a run ends.
const MAX_REQUESTS: u64 = 60_000;
/// Number of requests after the roll-out starts, after which a run of good versions ends.
const MAX_REQUESTS_GOOD: u64 = 12_000;
/// Number of requests between two checks for a false suspension.
const CHECK_EVERY: u64 = 50;
/// Delay of a rating, in seconds.
const RATING_DELAY_S: f64 = 1.0;
/// Interval at which an instance sends all changed evidence, in seconds.
const GOSSIP_INTERVAL_S: f64 = 2.0;
/// Shortest interval between two frames of urgent evidence, in seconds. Evidence is urgent when a
/// tally got worse.
const URGENT_INTERVAL_S: f64 = 0.04;
/// Highest number of tallies in a frame of urgent evidence.
const MAX_URGENT_TALLIES: usize = 6;
/// Highest number of tallies in a frame of all changed evidence.
const MAX_TALLIES: usize = 24;
/// Delay of a frame, in seconds.
const FRAME_DELAY_S: f64 = 0.03;
/// Fraction of the frames that are lost.
const FRAME_LOSS: f64 = 0.2;
/// Times after a suspension at which it is sent, in seconds; repetitions make up for lost frames.
const SUSPENSION_DELAYS_S: [f64; 5] = [0.0, 0.1, 0.4, 1.0, 3.0];
/// Mean latency of an answer.
const MEAN_LATENCY: Duration = Duration::from_millis(400);

/// Behaviour of a version.
#[derive(Clone, Copy, Debug)]
pub struct Behaviour {
    /// Probability that an answer fails.
    pub failure_rate: f64,
    /// Probability that a rating is 1; otherwise it is 0.
    pub quality: f64,
    /// Factor applied to the latency of an answer.
    pub latency_factor: f64,
}

/// When a version becomes bad.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Onset {
    /// Both versions are good.
    Never,
    /// The candidate is bad from the start of its roll-out.
    Rollout,
    /// The stable version becomes bad while no candidate is rolled out.
    InUse,
}

/// Versions of a run and when one of them becomes bad.
pub struct Scenario {
    /// Behaviour of the version under roll-out.
    pub candidate: Behaviour,
    /// Behaviour of the stable version.
    pub stable: Behaviour,
    /// Behaviour of the stable version after it became bad.
    pub stable_after_onset: Behaviour,
    /// When a version becomes bad.
    pub onset: Onset,
}

/// Summary of a run.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Number of answers of the bad version until the last instance stopped sending to it.
    pub answers: u64,
    /// Number of rated answers of the bad version.
    pub rated: u64,
    /// Number of bad answers of the bad version: failed, or of a quality that
    /// would be rated 0.
    pub bad: u64,
    /// Time from the start of the roll-out or of the bad behaviour until the last instance stopped
    /// sending, in seconds.
    pub seconds: f64,
    /// Whether every instance stopped sending to the bad version.
    pub all_stopped: bool,
    /// Whether any instance stopped sending to any version.
    pub any_stopped: bool,
}

/// Detector of bad versions that decides when the instances stop sending to a version.
pub trait Detector {
    /// Records an observation of an instance.
    fn observe(&mut self, instance: usize, sample: Sample);

    /// Returns whether an instance has stopped sending to a version.
    fn is_stopped(&self, instance: usize, release: &Release) -> bool;

    /// Returns whether any instance has stopped sending to any version.
    fn any_stopped(&self) -> bool;

    /// Advances the virtual time to `now`, in seconds.
    fn advance(&mut self, now: f64, rng: &mut StdRng);
}

/// A rating on its way to the instance.
struct PendingRating {
    at: f64,
    instance: usize,
    sample: Sample,
}

/// Runs a scenario.
pub fn run(scenario: &Scenario, seed: u64, mut detector: Box<dyn Detector>) -> Summary {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut pending: Vec<PendingRating> = Vec::new();
    let mut summary = Summary::default();
    let bad = release(if scenario.onset == Onset::InUse { "v1" } else { "v2" });
    let max_requests =
        if scenario.onset == Onset::Never { MAX_REQUESTS_GOOD } else { MAX_REQUESTS };
    let start = if scenario.onset == Onset::InUse {
        REQUESTS_BEFORE_ONSET
    } else {
        REQUESTS_BEFORE_ROLLOUT
    };
    for number in 0..start + max_requests {
        let now = number as f64 / REQUESTS_PER_S;
        let started = number >= start;
        while pending.first().is_some_and(|first| first.at <= now) {
            let rating = pending.remove(0);
            detector.observe(rating.instance, rating.sample);
        }
        detector.advance(now, &mut rng);
        if started
            && scenario.onset == Onset::Never
            && number % CHECK_EVERY == 0
            && detector.any_stopped()
        {
            summary.any_stopped = true;
            return summary;
        }
        let instance = rng.random_range(0..INSTANCES);
        let release = choose_release(scenario, started, &mut rng);
        if detector.is_stopped(instance, &release) {
            if (0..INSTANCES).all(|one| detector.is_stopped(one, &bad)) {
                summary.all_stopped = true;
                break;
            }
            continue;
        }
        let behaviour = behaviour(scenario, started, &release);
        let is_bad = started && release == bad;
        let server =
            instance % DATA_CENTRES + DATA_CENTRES * rng.random_range(0..SERVERS_PER_DATA_CENTRE);
        let sample = |outcome| Sample {
            release: release.clone(),
            server: ServerId::from(format!("s{server}")),
            data_centre: DataCentreId::from(format!("dc{}", server % DATA_CENTRES)),
            outcome,
        };
        summary.seconds = now - start as f64 / REQUESTS_PER_S;
        summary.answers += u64::from(is_bad);
        if rng.random_bool(behaviour.failure_rate) {
            summary.bad += u64::from(is_bad);
            detector.observe(instance, sample(Outcome::Failed));
            continue;
        }
        let elapsed = MEAN_LATENCY.mul_f64(behaviour.latency_factor * rng.random_range(0.4..1.6));
        detector.observe(instance, sample(Outcome::Answered(elapsed)));
        let good = rng.random_bool(behaviour.quality);
        summary.bad += u64::from(is_bad && !good);
        if rng.random_bool(RATED_SHARE) {
            summary.rated += u64::from(is_bad);
            let rating = f64::from(u8::from(good));
            pending.push(PendingRating {
                at: now + RATING_DELAY_S,
                instance,
                sample: sample(Outcome::Rated(rating)),
            });
        }
    }
    summary
}

fn choose_release(scenario: &Scenario, started: bool, rng: &mut StdRng) -> Release {
    if rng.random_bool(OTHER_MODEL_SHARE) {
        return release("other");
    }
    let candidate = started && scenario.onset != Onset::InUse && rng.random_bool(CANDIDATE_SHARE);
    release(if candidate { "v2" } else { "v1" })
}

fn behaviour(scenario: &Scenario, started: bool, release: &Release) -> Behaviour {
    match release.version.as_bytes() {
        b"v2" => scenario.candidate,
        b"v1" if started && matches!(scenario.onset, Onset::InUse) => scenario.stable_after_onset,
        _ => scenario.stable,
    }
}

/// Returns the release of a version; the version `other` belongs to another model.
pub fn release(version: &str) -> Release {
    let model = if version == "other" { "n" } else { "m" };
    Release { model: model.into(), version: version.into() }
}

enum Frame {
    Evidence(Vec<Record>),
    Suspensions(Vec<Suspension>),
}

struct Delivery {
    at: f64,
    to: usize,
    frame: Frame,
}

/// Monitors of the router, one for each instance, with gossip between them.
pub struct Monitors {
    monitors: Vec<Monitor>,
    in_flight: Vec<Delivery>,
    /// Suspensions to send, each with its time in seconds and the instance that sends it.
    scheduled: Vec<(f64, usize, Suspension)>,
    /// Time at which each instance last sent any evidence, in seconds.
    last_sent: [f64; INSTANCES],
    /// Time at which each instance last sent all changed evidence, in seconds.
    last_full_sent: [f64; INSTANCES],
}

impl Monitors {
    /// Creates monitors without evidence.
    pub fn new() -> Self {
        let config = Arc::new(config());
        let monitors = (0..INSTANCES).map(|at| {
            let monitor = Monitor::new(format!("i{at}").into(), 1, Arc::new(System));
            monitor.configure(1, &config, INSTANCES);
            monitor
        });
        Self {
            monitors: monitors.collect(),
            in_flight: Vec::new(),
            scheduled: Vec::new(),
            last_sent: [0.0; INSTANCES],
            last_full_sent: [0.0; INSTANCES],
        }
    }

    fn send(&mut self, now: f64, from: usize, frame: impl Fn() -> Frame, rng: &mut StdRng) {
        for to in (0..INSTANCES).filter(|to| *to != from) {
            if !rng.random_bool(FRAME_LOSS) {
                self.in_flight.push(Delivery { at: now + FRAME_DELAY_S, to, frame: frame() });
            }
        }
    }
}

impl Detector for Monitors {
    fn observe(&mut self, instance: usize, sample: Sample) {
        self.monitors[instance].observe(sample);
    }

    fn is_stopped(&self, instance: usize, release: &Release) -> bool {
        self.monitors[instance].suspended().contains(release)
    }

    fn any_stopped(&self) -> bool {
        self.monitors.iter().any(|monitor| !monitor.suspended().is_empty())
    }

    fn advance(&mut self, now: f64, rng: &mut StdRng) {
        let arrived = self.in_flight.iter().take_while(|delivery| delivery.at <= now).count();
        for delivery in self.in_flight.drain(..arrived) {
            match delivery.frame {
                Frame::Evidence(tallies) => self.monitors[delivery.to].merge_evidence(tallies),
                Frame::Suspensions(suspensions) => {
                    self.monitors[delivery.to].merge_suspensions(suspensions);
                }
            }
        }
        for from in 0..INSTANCES {
            for suspension in self.monitors[from].take_unsent_suspensions() {
                self.scheduled.extend(
                    SUSPENSION_DELAYS_S.map(|delay| (now + delay, from, suspension.clone())),
                );
            }
        }
        let (due, rest) = self.scheduled.drain(..).partition(|(at, _, _)| *at <= now);
        self.scheduled = rest;
        let due: Vec<(f64, usize, Suspension)> = due;
        for (_, from, suspension) in due {
            self.send(now, from, || Frame::Suspensions(vec![suspension.clone()]), rng);
        }
        for from in 0..INSTANCES {
            let full = now >= self.last_full_sent[from] + GOSSIP_INTERVAL_S;
            let urgent = self.monitors[from].has_urgent_evidence()
                && now >= self.last_sent[from] + URGENT_INTERVAL_S;
            if full {
                self.last_full_sent[from] = now;
            }
            if full || urgent {
                self.last_sent[from] = now;
                let limit = if full { MAX_TALLIES } else { MAX_URGENT_TALLIES };
                let tallies = self.monitors[from].take_changed_evidence(limit);
                self.send(now, from, || Frame::Evidence(tallies.clone()), rng);
            }
        }
    }
}

fn config() -> Config {
    let value = serde_json::json!({
        "data_centres": {
            "dc0": { "region": "r0" }, "dc1": { "region": "r1" }, "dc2": { "region": "r2" },
        },
        "models": {
            "m": {
                "price": 1,
                "stable": "v1",
                "versions": { "v1": { "state": "proven" }, "v2": { "state": "candidate" } },
            },
            "n": { "price": 1, "stable": "other", "versions": { "other": { "state": "proven" } } },
        },
    });
    serde_json::from_value(value).unwrap_or_default()
}
