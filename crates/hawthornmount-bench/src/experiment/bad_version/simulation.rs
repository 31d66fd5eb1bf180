//! One run in virtual time: answers go to instances and servers, ratings come late, and gossip is
//! late and loses frames.

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

/// Entry instances.
pub const INSTANCES: usize = 9;
/// Data centres, each with as many instances and servers.
const DATA_CENTRES: usize = 3;
/// Servers in each data centre.
const SERVERS_EACH: usize = 3;
/// Answers a second in the whole fleet.
const RATE: f64 = 100.0;
/// Part of the new work that a candidate gets.
const SHARE: f64 = 0.05;
/// Part of the answers that are of another model.
const OTHER: f64 = 0.2;
/// Part of the answers that are rated.
const SAMPLED: f64 = 0.5;
/// Answers before a candidate comes.
const WARM_UP: u64 = 3_000;
/// Answers before a stable version turns bad.
const IN_USE: u64 = 20_000;
/// Answers after which a run ends.
const LONGEST: u64 = 60_000;
/// Answers after which a run of good versions ends.
const LONGEST_GOOD: u64 = 12_000;
/// Answers between two looks for a false suspension.
const CHECKED: u64 = 50;
/// Seconds until a rating comes.
const RATING_DELAY: f64 = 1.0;
/// Seconds between two tellings of all that changed.
const GOSSIP_PAUSE: f64 = 2.0;
/// Seconds between two frames of evidence that got worse.
const URGENT_PAUSE: f64 = 0.04;
/// Tallies in a frame of those that got worse.
const URGENT_CELLS: usize = 6;
/// Tallies that are told at a time of all that changed.
const CELLS: usize = 24;
/// Seconds that a frame takes.
const FRAME_DELAY: f64 = 0.03;
/// Part of the frames that are lost.
const FRAME_LOSS: f64 = 0.2;
/// Seconds after which a suspension is told again.
const REPEATS: [f64; 5] = [0.0, 0.1, 0.4, 1.0, 3.0];
/// Mean time of an answer.
const ANSWER: Duration = Duration::from_millis(400);

/// How a version answers.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Chance that an answer fails.
    pub failures: f64,
    /// Chance that a rating is 1 and not 0.
    pub quality: f64,
    /// Factor on the time of an answer.
    pub slowness: f64,
}

/// When the bad version is bad.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum When {
    /// Never: both versions are good.
    Good,
    /// The candidate is bad from its start.
    Rollout,
    /// The stable version turns bad, without a candidate.
    InUse,
}

/// What happens in a run.
pub struct Scene {
    /// The version under roll-out.
    pub candidate: Kind,
    /// The stable version.
    pub stable: Kind,
    /// The stable version after it turned bad.
    pub turned: Kind,
    /// When there is a bad version.
    pub when: When,
}

/// How a run ended.
#[derive(Clone, Debug, Default)]
pub struct Ending {
    /// Answers of the bad version until the last instance stopped.
    pub answers: u64,
    /// Rated ones of them.
    pub rated: u64,
    /// Bad ones of them: failed, or rated 0 had they been rated.
    pub bad: u64,
    /// Seconds until the last instance stopped.
    pub seconds: f64,
    /// Whether every instance stopped.
    pub all_stopped: bool,
    /// Whether any instance stopped sending to any version.
    pub any_stopped: bool,
}

/// Decides when the instances stop sending to a version.
pub trait Guard {
    /// Takes what an instance saw.
    fn observe(&mut self, instance: usize, sample: Sample);

    /// Tells whether an instance has stopped sending to a version.
    fn is_stopped(&self, instance: usize, release: &Release) -> bool;

    /// Tells whether any instance has stopped sending to any version.
    fn any_stopped(&self) -> bool;

    /// Lets time pass.
    fn pass(&mut self, now: f64, rng: &mut StdRng);
}

struct Late {
    at: f64,
    instance: usize,
    sample: Sample,
}

/// Runs a scene.
pub fn run(scene: &Scene, seed: u64, mut guard: Box<dyn Guard>) -> Ending {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut late: Vec<Late> = Vec::new();
    let mut ending = Ending::default();
    let bad = release(if scene.when == When::InUse { "v1" } else { "v2" });
    let longest = if scene.when == When::Good { LONGEST_GOOD } else { LONGEST };
    let begins = if scene.when == When::InUse { IN_USE } else { WARM_UP };
    for number in 0..begins + longest {
        let now = number as f64 / RATE;
        let warm = number >= begins;
        while late.first().is_some_and(|first| first.at <= now) {
            let one = late.remove(0);
            guard.observe(one.instance, one.sample);
        }
        guard.pass(now, &mut rng);
        if warm && scene.when == When::Good && number % CHECKED == 0 && guard.any_stopped() {
            ending.any_stopped = true;
            return ending;
        }
        let instance = rng.random_range(0..INSTANCES);
        let release = choose(scene, warm, &mut rng);
        if guard.is_stopped(instance, &release) {
            if (0..INSTANCES).all(|one| guard.is_stopped(one, &bad)) {
                ending.all_stopped = true;
                break;
            }
            continue;
        }
        let kind = kind(scene, warm, &release);
        let is_bad = warm && release == bad;
        let server = instance % DATA_CENTRES + DATA_CENTRES * rng.random_range(0..SERVERS_EACH);
        let sample = |outcome| Sample {
            release: release.clone(),
            server: ServerId::from(format!("s{server}")),
            data_centre: DataCentreId::from(format!("dc{}", server % DATA_CENTRES)),
            outcome,
        };
        ending.seconds = now - begins as f64 / RATE;
        ending.answers += u64::from(is_bad);
        if rng.random_bool(kind.failures) {
            ending.bad += u64::from(is_bad);
            guard.observe(instance, sample(Outcome::Failed));
            continue;
        }
        let elapsed = ANSWER.mul_f64(kind.slowness * rng.random_range(0.4..1.6));
        guard.observe(instance, sample(Outcome::Answered(elapsed)));
        let good = rng.random_bool(kind.quality);
        ending.bad += u64::from(is_bad && !good);
        if rng.random_bool(SAMPLED) {
            ending.rated += u64::from(is_bad);
            let rating = f64::from(u8::from(good));
            late.push(Late {
                at: now + RATING_DELAY,
                instance,
                sample: sample(Outcome::Rated(rating)),
            });
        }
    }
    ending
}

fn choose(scene: &Scene, warm: bool, rng: &mut StdRng) -> Release {
    if rng.random_bool(OTHER) {
        return release("other");
    }
    let candidate = warm && scene.when != When::InUse && rng.random_bool(SHARE);
    release(if candidate { "v2" } else { "v1" })
}

fn kind(scene: &Scene, warm: bool, release: &Release) -> Kind {
    match release.version.as_bytes() {
        b"v2" => scene.candidate,
        b"v1" if warm && matches!(scene.when, When::InUse) => scene.turned,
        _ => scene.stable,
    }
}

/// Returns the release of a version; `other` is one of another model.
pub fn release(version: &str) -> Release {
    let model = if version == "other" { "n" } else { "m" };
    Release { model: model.into(), version: version.into() }
}

enum Frame {
    Evidence(Vec<Record>),
    Suspensions(Vec<Suspension>),
}

struct Delayed {
    at: f64,
    to: usize,
    frame: Frame,
}

/// The product's judges, one for each instance, with gossip between them.
pub struct Judges {
    monitors: Vec<Monitor>,
    delayed: Vec<Delayed>,
    told: Vec<(f64, usize, Suspension)>,
    last: [f64; INSTANCES],
    last_all: [f64; INSTANCES],
}

impl Judges {
    /// Creates judges that have seen nothing.
    pub fn new() -> Self {
        let config = Arc::new(config());
        let monitors = (0..INSTANCES).map(|at| {
            let monitor = Monitor::new(format!("i{at}").into(), 1, Arc::new(System));
            monitor.configure(1, &config, INSTANCES);
            monitor
        });
        Self {
            monitors: monitors.collect(),
            delayed: Vec::new(),
            told: Vec::new(),
            last: [0.0; INSTANCES],
            last_all: [0.0; INSTANCES],
        }
    }

    fn send(&mut self, now: f64, from: usize, frame: impl Fn() -> Frame, rng: &mut StdRng) {
        for to in (0..INSTANCES).filter(|to| *to != from) {
            if !rng.random_bool(FRAME_LOSS) {
                self.delayed.push(Delayed { at: now + FRAME_DELAY, to, frame: frame() });
            }
        }
    }
}

impl Guard for Judges {
    fn observe(&mut self, instance: usize, sample: Sample) {
        self.monitors[instance].observe(sample);
    }

    fn is_stopped(&self, instance: usize, release: &Release) -> bool {
        self.monitors[instance].suspended().contains(release)
    }

    fn any_stopped(&self) -> bool {
        self.monitors.iter().any(|monitor| !monitor.suspended().is_empty())
    }

    fn pass(&mut self, now: f64, rng: &mut StdRng) {
        let arrived = self.delayed.iter().take_while(|frame| frame.at <= now).count();
        for frame in self.delayed.drain(..arrived) {
            match frame.frame {
                Frame::Evidence(cells) => self.monitors[frame.to].merge_evidence(cells),
                Frame::Suspensions(all) => {
                    self.monitors[frame.to].merge_suspensions(all);
                }
            }
        }
        for from in 0..INSTANCES {
            for one in self.monitors[from].take_unsent_suspensions() {
                self.told.extend(REPEATS.map(|pause| (now + pause, from, one.clone())));
            }
        }
        let (due, rest) = self.told.drain(..).partition(|(at, _, _)| *at <= now);
        self.told = rest;
        let due: Vec<(f64, usize, Suspension)> = due;
        for (_, from, one) in due {
            self.send(now, from, || Frame::Suspensions(vec![one.clone()]), rng);
        }
        for from in 0..INSTANCES {
            let all = now >= self.last_all[from] + GOSSIP_PAUSE;
            let urgent =
                self.monitors[from].has_urgent_evidence() && now >= self.last[from] + URGENT_PAUSE;
            if all {
                self.last_all[from] = now;
            }
            if all || urgent {
                self.last[from] = now;
                let limit = if all { CELLS } else { URGENT_CELLS };
                let cells = self.monitors[from].take_changed_evidence(limit);
                self.send(now, from, || Frame::Evidence(cells.clone()), rng);
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
