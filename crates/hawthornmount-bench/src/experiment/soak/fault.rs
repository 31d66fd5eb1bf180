//! Injection of random faults from a seed, one or two at a time.

use {
    super::{Fleet, Operator},
    hawthornmount_core::table::Table,
    hawthornmount_demo::{check::invariant::Interval, deployment::Deployment},
    hawthornmount_standin::engine::Behaviour,
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// One round in this many injects two random faults at the same time.
const PAIR_EVERY: usize = 3;
/// Pause before each round.
const ROUND_PAUSE: Duration = Duration::from_millis(700);
/// Time for which a server is listed as leaving.
const LEAVING_DURATION: Duration = Duration::from_millis(6_500);
/// Duration of the other faults.
const FAULT_DURATION: Duration = Duration::from_millis(2_500);
/// Delay of the store without a fault.
const STORE_DELAY: Duration = Duration::from_millis(2);
/// Delay of the store while it is slow.
const SLOW_STORE_DELAY: Duration = Duration::from_millis(60);
/// Number of answers that the store loses.
const LOST_ANSWERS: u32 = 8;
/// Model with a version that becomes bad.
const MODEL: &str = "draft-small";
/// Version that becomes bad.
const VERSION: &str = "v2";
/// Probability of a good answer of the version without a fault.
const QUALITY: f64 = 0.8;
/// Probability that an answer of the version fails without a fault.
const ERROR_RATE: f64 = 0.01;
/// Probability of a good answer while the version is bad.
const BAD_QUALITY: f64 = 0.05;
/// Probability that an answer fails while the version is bad.
const BAD_ERROR_RATE: f64 = 0.5;

/// Kind of a fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// An instance is killed and replaced.
    Kill,
    /// An instance is stopped gracefully and replaced.
    Stop,
    /// The store refuses every call.
    StoreDown,
    /// The store loses the answers to writes, which still take effect.
    StoreLosesAnswers,
    /// The store is slow.
    StoreSlow,
    /// Watches of the store deliver no events.
    WatchSilent,
    /// The platform lists a server as leaving.
    ServerLeaves,
    /// A version becomes bad.
    BadVersion,
    /// An operator changes the configuration.
    ConfigChange,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 9] = [
        Self::Kill,
        Self::Stop,
        Self::StoreDown,
        Self::StoreLosesAnswers,
        Self::StoreSlow,
        Self::WatchSilent,
        Self::ServerLeaves,
        Self::BadVersion,
        Self::ConfigChange,
    ];

    /// Returns the name of the kind in the figures.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::Stop => "stop",
            Self::StoreDown => "store down",
            Self::StoreLosesAnswers => "store loses answers",
            Self::StoreSlow => "store slow",
            Self::WatchSilent => "watch silent",
            Self::ServerLeaves => "server leaves",
            Self::BadVersion => "bad version",
            Self::ConfigChange => "configuration change",
        }
    }
}

/// Record of the injected faults.
#[derive(Clone, Debug, Default)]
pub struct Injected {
    /// Number of faults by kind.
    pub counts: Table<u32>,
    /// Periods in which servers were listed as leaving.
    pub leaving: Vec<Interval>,
    /// Periods in which versions may have been suspended.
    pub suspended: Vec<Interval>,
}

/// Injector of faults.
pub struct Injector {
    deployment: Arc<Deployment>,
    fleet: Arc<Fleet>,
    operator: Arc<Operator>,
    rng: SmallRng,
    injected: Mutex<Injected>,
}

impl Injector {
    /// Creates an injector that chooses faults from `seed`.
    pub fn new(
        deployment: Arc<Deployment>,
        fleet: Arc<Fleet>,
        operator: Arc<Operator>,
        seed: u64,
    ) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { deployment, fleet, operator, rng, injected: Mutex::default() }
    }

    /// Injects faults until `end`.
    ///
    /// Each kind occurs once, in a shuffled order, before any kind occurs again. Every third round
    /// injects two faults. Of the other rounds, every second one adds a configuration change.
    pub async fn run(mut self, end: Instant) -> Injected {
        let mut order: Vec<Kind> = Vec::new();
        let mut round = 0;
        while Instant::now() < end {
            tokio::time::sleep(ROUND_PAUSE).await;
            round += 1;
            let first = self.next_kind(&mut order);
            if round % PAIR_EVERY > 0 {
                let mut rng = self.child_rng();
                let change = async {
                    if round % PAIR_EVERY == 1 && first != Kind::ConfigChange {
                        self.inject(Kind::ConfigChange, &mut SmallRng::seed_from_u64(0)).await;
                    }
                };
                tokio::join!(self.inject(first, &mut rng), change);
                continue;
            }
            let second = self.next_kind(&mut order);
            let (mut one, mut other) = (self.child_rng(), self.child_rng());
            tokio::join!(self.inject(first, &mut one), self.inject(second, &mut other));
        }
        self.injected.into_inner()
    }

    fn next_kind(&mut self, order: &mut Vec<Kind>) -> Kind {
        if order.is_empty() {
            order.extend(Kind::ALL);
            for at in (1..order.len()).rev() {
                let other = self.rng.random_range(0..=at);
                order.swap(at, other);
            }
        }
        order.pop().unwrap_or(Kind::Kill)
    }

    fn child_rng(&mut self) -> SmallRng {
        SmallRng::seed_from_u64(self.rng.random())
    }

    async fn inject(&self, kind: Kind, rng: &mut SmallRng) {
        self.count(kind);
        let store = self.deployment.store.faults();
        match kind {
            Kind::Kill => self.fleet.kill(rng).await,
            Kind::Stop => self.fleet.stop(rng).await,
            Kind::StoreDown => {
                store.set_down(true);
                tokio::time::sleep(FAULT_DURATION).await;
                store.set_down(false);
            }
            Kind::StoreLosesAnswers => store.lose_responses(LOST_ANSWERS),
            Kind::StoreSlow => {
                store.set_delay(SLOW_STORE_DELAY);
                tokio::time::sleep(FAULT_DURATION).await;
                store.set_delay(STORE_DELAY);
            }
            Kind::WatchSilent => {
                store.set_watch_silent(true);
                tokio::time::sleep(FAULT_DURATION).await;
                store.set_watch_silent(false);
            }
            Kind::ServerLeaves => self.server_leaves(rng).await,
            Kind::BadVersion => self.bad_version().await,
            Kind::ConfigChange => self.operator.change().await,
        }
    }

    async fn server_leaves(&self, rng: &mut SmallRng) {
        let engines = &self.deployment.engines;
        let server = engines[rng.random_range(0..engines.len())].id.clone();
        let from = Instant::now();
        self.fleet.set_leaving(&server, true);
        tokio::time::sleep(LEAVING_DURATION).await;
        let until = Some(Instant::now());
        self.fleet.set_leaving(&server, false);
        self.injected.lock().leaving.push(Interval { subject: server, from, until });
    }

    async fn bad_version(&self) {
        let subject = format!("{MODEL}@{VERSION}").into();
        let interval = Interval { subject, from: Instant::now(), until: None };
        self.injected.lock().suspended.push(interval);
        self.set_quality(BAD_QUALITY, BAD_ERROR_RATE);
        tokio::time::sleep(FAULT_DURATION).await;
        self.set_quality(QUALITY, ERROR_RATE);
    }

    fn set_quality(&self, quality: f64, error_rate: f64) {
        for named in &self.deployment.engines {
            let behaviour = Behaviour {
                quality,
                error_rate,
                first_token: Duration::from_millis(10),
                per_token: Duration::from_millis(1),
            };
            named.engine.set_behaviour(MODEL, VERSION, behaviour);
        }
    }

    fn count(&self, kind: Kind) {
        let mut injected = self.injected.lock();
        let name = kind.as_str();
        let count = injected.counts.get(name).copied().unwrap_or(0);
        injected.counts.insert(name.into(), count + 1);
    }
}
