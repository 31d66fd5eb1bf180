//! Roll-outs go on over dead, paused and doubled holders, lost answers and outages.

mod common;

use {
    async_trait::async_trait,
    common::{config, release},
    hawthornmount_core::{
        clock::{Clock, Manual},
        config::{Config, State},
        id::Revision,
        snapshot::{Backend, Health, Liveness, Member, Release, Snapshot},
    },
    hawthornmount_fleet::local::Local,
    hawthornmount_rollout::{
        Judge,
        driver::{Driver, PREFIX, View, lease::Lease},
        monitor::Monitor,
        progress::{Progress, Stage},
        suspension::{Cause, Key, Suspension},
    },
    hawthornmount_store::{
        Commit, Entry, Error, LeaseId, Page, Result, Store, Txn, Watch, memory::Memory,
    },
    parking_lot::Mutex,
    rstest::rstest,
    std::{net::Ipv4Addr, sync::Arc, time::Duration},
};

/// Longest time that a lease needs to lapse.
const LAPSE: Duration = Duration::from_secs(7);
/// Time of one step.
const STEP: Duration = Duration::from_millis(1_001);

/// Store that loses the answers of commits, or refuses everything.
struct Faulty {
    memory: Arc<Memory>,
    faults: Mutex<Faults>,
}

#[derive(Default)]
struct Faults {
    lose_commits: usize,
    down: bool,
}

impl Faulty {
    fn check(&self) -> Result<()> {
        if self.faults.lock().down {
            return Err(Error::Unreachable { cause: "down".into() });
        }
        Ok(())
    }
}

#[async_trait]
impl Store for Faulty {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        self.check()?;
        self.memory.get(key).await
    }

    async fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page> {
        self.check()?;
        self.memory.list(prefix, after, limit).await
    }

    async fn commit(&self, txn: Txn) -> Result<Commit> {
        self.check()?;
        let commit = self.memory.commit(txn).await;
        let mut faults = self.faults.lock();
        if faults.lose_commits > 0 {
            faults.lose_commits -= 1;
            return Err(Error::ResponseLost { cause: "cut".into() });
        }
        commit
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        self.check()?;
        self.memory.grant(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration> {
        self.check()?;
        self.memory.keep_alive(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<()> {
        self.memory.revoke(lease).await
    }

    async fn watch(&self, prefix: &str, from: Revision) -> Result<Watch> {
        self.memory.watch(prefix, from).await
    }
}

struct Present(Mutex<Arc<Snapshot>>);

impl View for Present {
    fn snapshot(&self) -> Arc<Snapshot> {
        self.0.lock().clone()
    }
}

struct One {
    monitor: Arc<Monitor>,
    driver: Driver,
    view: Arc<Present>,
    store: Arc<Faulty>,
}

impl One {
    fn configure(&self, revision: Revision, config: &Arc<Config>) {
        self.monitor.configure(revision, config, 1);
        *self.view.0.lock() = Arc::new(snapshot(revision, config));
    }

    fn fraction(&self) -> Option<f64> {
        Some(self.monitor.shares().first()?.fraction)
    }
}

struct Setting {
    clock: Arc<Manual>,
    memory: Arc<Memory>,
    made: usize,
}

impl Setting {
    fn new() -> Self {
        let clock = Arc::new(Manual::new());
        Self { memory: Arc::new(Memory::with_clock(clock.clone())), clock, made: 0 }
    }

    fn instance(&mut self) -> One {
        self.made += 1;
        let name: Arc<str> = format!("i{}", self.made).into();
        let clock: Arc<dyn Clock> = self.clock.clone();
        let monitor = Arc::new(Monitor::new(name.clone(), 1, clock.clone()));
        let faults = Mutex::new(Faults::default());
        let store = Arc::new(Faulty { memory: self.memory.clone(), faults });
        let view = Arc::new(Present(Mutex::new(Arc::new(Snapshot::empty()))));
        let fleet = Arc::new(Local::new(Member {
            id: name.clone(),
            incarnation: 1,
            data_centre: "dc0".into(),
            address: (Ipv4Addr::LOCALHOST, 1).into(),
            liveness: Liveness::Alive,
            revision: 1,
        }));
        let lease = Lease::new(name, clock);
        let driver =
            Driver::new(monitor.clone(), store.clone(), fleet, view.clone(), lease, Arc::default());
        let one = One { monitor, driver, view, store };
        one.configure(1, &Arc::new(config(0)));
        one
    }

    async fn progress(&self) -> Option<Progress> {
        let key = format!("{PREFIX}progress/r");
        let entry = self.memory.get(&key).await.expect("the memory answers")?;
        Some(serde_json::from_slice(&entry.value).expect("the record is valid"))
    }
}

fn snapshot(revision: Revision, config: &Arc<Config>) -> Snapshot {
    let mut config = Config::clone(config);
    let server = serde_json::json!({
        "address": "127.0.0.1:1", "data_centre": "dc0", "slots": 8, "models": ["m"],
    });
    config.servers.insert("s0".into(), serde_json::from_value(server).expect("valid"));
    let backend = Backend {
        id: "s0".into(),
        address: (Ipv4Addr::LOCALHOST, 1).into(),
        data_centre: "dc0".into(),
        region: "r0".into(),
        health: Health::Up,
        loaded: vec![release("v1"), release("v2")],
        slots: 8,
        load: 0,
        reported: None,
    };
    let backends = Arc::from([backend]);
    Snapshot { revision, config: Arc::new(config), backends, ..Snapshot::empty() }
}

fn suspension(revision: Revision, generation: u64) -> Suspension {
    let release = release("v2");
    Suspension {
        key: Key { model: release.model, version: release.version, generation },
        cause: Cause { revision, text: "bad".into(), by: "i9".into(), at_ms: 1 },
    }
}

/// What becomes of the holder after a step.
enum Fate {
    /// It dies and another instance goes on.
    Dies,
    /// It pauses past its lease and then goes on beside the new holder.
    Pauses,
    /// Every answer to a commit is lost, the lease's included.
    LosesAnswers,
    /// It is cut off from the store for a while.
    CutOff,
}

#[rstest]
#[case::dies_at_the_start(Fate::Dies, 0)]
#[case::dies_at_step_1(Fate::Dies, 1)]
#[case::dies_at_step_2(Fate::Dies, 2)]
#[case::dies_at_the_end(Fate::Dies, 3)]
#[case::pauses_at_the_start(Fate::Pauses, 0)]
#[case::pauses_at_step_1(Fate::Pauses, 1)]
#[case::pauses_at_step_2(Fate::Pauses, 2)]
#[case::pauses_at_the_end(Fate::Pauses, 3)]
#[case::loses_answers(Fate::LosesAnswers, 0)]
#[case::loses_answers_at_step_1(Fate::LosesAnswers, 1)]
#[case::cut_off_at_step_1(Fate::CutOff, 1)]
#[tokio::test]
async fn roll_out_reaches_its_end_one_step_at_a_time(#[case] fate: Fate, #[case] after: usize) {
    let mut setting = Setting::new();
    let mut first = setting.instance();
    let mut second = setting.instance();
    let mut seen = Vec::new();
    for round in 0..40 {
        let reached = setting.progress().await.map_or(0, |one| one.step + 1);
        let struck = reached >= after && round >= 1;
        match fate {
            Fate::Dies if struck => {}
            Fate::Pauses if struck && round < 12 => {}
            Fate::LosesAnswers if round < 12 => {
                first.store.faults.lock().lose_commits = 1;
                let _ = first.driver.round().await;
            }
            Fate::CutOff if struck && round < 12 => {
                first.store.faults.lock().down = true;
                assert!(first.driver.round().await.is_err());
            }
            _ => {
                first.store.faults.lock().down = false;
                let _ = first.driver.round().await;
            }
        }
        second.driver.round().await.expect("the store answers");
        seen.extend(setting.progress().await.map(|one| (one.stage, one.step)));
        setting.clock.advance(STEP);
    }
    seen.dedup();
    let expected =
        [(Stage::Running, 0), (Stage::Running, 1), (Stage::Running, 2), (Stage::Done, 2)];
    assert_eq!(seen, expected);
    assert_eq!(second.fraction(), Some(1.0));
}

#[tokio::test]
async fn a_paused_holder_neither_orders_nor_writes() {
    let mut setting = Setting::new();
    let mut first = setting.instance();
    let mut second = setting.instance();
    first.driver.round().await.expect("the store answers");
    let old = first.driver.lease().fence(Duration::from_secs(1)).expect("first holds the lease");
    setting.clock.advance(Duration::from_secs(3));
    assert_eq!(first.driver.lease().fence(Duration::ZERO), None);
    setting.clock.advance(LAPSE);
    second.driver.round().await.expect("the store answers");
    let new = second.driver.lease().fence(Duration::from_secs(1)).expect("second holds the lease");
    assert!(new > old);
    first.driver.round().await.expect("the store answers");
    assert_eq!(first.driver.lease().fence(Duration::ZERO), None);
}

#[tokio::test]
async fn a_suspension_outlives_its_instance_and_stops_the_roll_out() {
    let mut setting = Setting::new();
    let mut first = setting.instance();
    first.driver.round().await.expect("the store answers");
    first.monitor.merge_suspensions(vec![suspension(1, 0)]);
    first.driver.round().await.expect("the store answers");
    drop(first);
    setting.clock.advance(LAPSE);
    let mut second = setting.instance();
    second.driver.round().await.expect("the store answers");
    second.driver.round().await.expect("the store answers");
    assert_eq!(second.monitor.suspended(), vec![release("v2")]);
    assert_eq!(setting.progress().await.map(|one| one.stage), Some(Stage::Stopped));
    assert_eq!(second.fraction(), Some(0.0));
}

#[tokio::test]
async fn a_withdrawal_during_a_roll_out_stops_it() {
    let mut setting = Setting::new();
    let mut one = setting.instance();
    one.driver.round().await.expect("the store answers");
    let mut withdrawn = config(0);
    let model = withdrawn.models.get_mut("m").expect("the model exists");
    model.versions.get_mut("v2").expect("the version exists").state = State::Withdrawn;
    one.configure(2, &Arc::new(withdrawn));
    one.driver.round().await.expect("the store answers");
    let progress = setting.progress().await.expect("the record exists");
    assert_eq!(progress.stage, Stage::Stopped);
    assert_eq!(&*progress.cause, "the version is withdrawn");
}

struct Lift {
    revision: Revision,
    generation: u64,
    lifted: bool,
}

#[rstest]
#[case::same(Lift { revision: 1, generation: 0, lifted: false })]
#[case::newer_without_a_raise(Lift { revision: 9, generation: 0, lifted: false })]
#[case::raise_in_an_older_revision(Lift { revision: 1, generation: 1, lifted: false })]
#[case::raise_in_a_newer_revision(Lift { revision: 2, generation: 1, lifted: true })]
fn only_a_newer_revision_with_a_raised_generation_lifts(#[case] case: Lift) {
    let held = suspension(1, 0).holds(case.revision, &config(case.generation));
    assert_eq!(held, !case.lifted);
}

#[tokio::test]
async fn a_raised_generation_starts_the_roll_out_again() {
    let mut setting = Setting::new();
    let mut one = setting.instance();
    one.driver.round().await.expect("the store answers");
    one.monitor.merge_suspensions(vec![suspension(1, 0)]);
    one.driver.round().await.expect("the store answers");
    one.configure(2, &Arc::new(config(1)));
    one.driver.round().await.expect("the store answers");
    assert_eq!(one.monitor.suspended(), Vec::<Release>::new());
    let progress = setting.progress().await.expect("the record exists");
    assert_eq!((progress.generation, progress.stage, progress.step), (1, Stage::Running, 0));
}

#[tokio::test]
async fn a_step_waits_for_capacity() {
    let mut setting = Setting::new();
    let mut one = setting.instance();
    let mut empty = snapshot(1, &Arc::new(config(0)));
    let mut backend = empty.backends[0].clone();
    backend.loaded = vec![release("v1")];
    empty.backends = Arc::from([backend]);
    *one.view.0.lock() = Arc::new(empty);
    for _ in 0..5 {
        one.driver.round().await.expect("the store answers");
        setting.clock.advance(STEP);
    }
    assert_eq!(setting.progress().await, None);
}
