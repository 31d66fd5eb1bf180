//! Roll-outs continue when lease holders die, pause or overlap, and when the store loses answers or
//! is unreachable.

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
        Evaluator,
        driver::{Driver, PREFIX, SnapshotSource, lease::Lease},
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

/// Time after which a lease that is not renewed has expired.
const LEASE_EXPIRY: Duration = Duration::from_secs(7);
/// Time after which a step of the roll-out is over.
const STEP: Duration = Duration::from_millis(1_001);

/// Store that loses the answers of commits, or is unreachable.
struct FaultyStore {
    memory: Arc<Memory>,
    faults: Mutex<Faults>,
}

#[derive(Default)]
struct Faults {
    /// Number of commits whose answers are lost.
    lose_commits: usize,
    down: bool,
}

impl FaultyStore {
    fn check(&self) -> Result<()> {
        if self.faults.lock().down {
            return Err(Error::Unreachable { cause: "down".into() });
        }
        Ok(())
    }
}

#[async_trait]
impl Store for FaultyStore {
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

struct CurrentSnapshot(Mutex<Arc<Snapshot>>);

impl SnapshotSource for CurrentSnapshot {
    fn snapshot(&self) -> Arc<Snapshot> {
        self.0.lock().clone()
    }
}

struct Instance {
    monitor: Arc<Monitor>,
    driver: Driver,
    snapshots: Arc<CurrentSnapshot>,
    store: Arc<FaultyStore>,
}

impl Instance {
    fn configure(&self, revision: Revision, config: &Arc<Config>) {
        self.monitor.configure(revision, config, 1);
        *self.snapshots.0.lock() = Arc::new(snapshot(revision, config));
    }

    fn fraction(&self) -> Option<f64> {
        Some(self.monitor.shares().first()?.fraction)
    }
}

/// Instances that share a clock and a store.
struct Cluster {
    clock: Arc<Manual>,
    memory: Arc<Memory>,
    /// Number of instances that were created.
    created: usize,
}

impl Cluster {
    fn new() -> Self {
        let clock = Arc::new(Manual::new());
        Self { memory: Arc::new(Memory::with_clock(clock.clone())), clock, created: 0 }
    }

    fn instance(&mut self) -> Instance {
        self.created += 1;
        let name: Arc<str> = format!("i{}", self.created).into();
        let clock: Arc<dyn Clock> = self.clock.clone();
        let monitor = Arc::new(Monitor::new(name.clone(), 1, clock.clone()));
        let faults = Mutex::new(Faults::default());
        let store = Arc::new(FaultyStore { memory: self.memory.clone(), faults });
        let snapshots = Arc::new(CurrentSnapshot(Mutex::new(Arc::new(Snapshot::empty()))));
        let fleet = Arc::new(Local::new(Member {
            id: name.clone(),
            incarnation: 1,
            data_centre: "dc0".into(),
            address: (Ipv4Addr::LOCALHOST, 1).into(),
            liveness: Liveness::Alive,
            revision: 1,
        }));
        let lease = Lease::new(name, clock);
        let driver = Driver::new(
            monitor.clone(),
            store.clone(),
            fleet,
            snapshots.clone(),
            lease,
            Arc::default(),
        );
        let instance = Instance { monitor, driver, snapshots, store };
        instance.configure(1, &Arc::new(config(0)));
        instance
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

/// Fault of the first lease holder, after a step of the roll-out.
enum Fault {
    /// The holder dies and another instance takes over.
    Dies,
    /// The holder pauses until its lease has expired, and then resumes beside the new holder.
    Pauses,
    /// All answers to commits are lost for a while from the first round on, at any step, also those
    /// that acquire the lease.
    LosesAnswers,
    /// The holder does not reach the store for a while.
    CutOff,
}

#[rstest]
#[case::dies_at_the_start(Fault::Dies, 0)]
#[case::dies_at_step_1(Fault::Dies, 1)]
#[case::dies_at_step_2(Fault::Dies, 2)]
#[case::dies_at_the_end(Fault::Dies, 3)]
#[case::pauses_at_the_start(Fault::Pauses, 0)]
#[case::pauses_at_step_1(Fault::Pauses, 1)]
#[case::pauses_at_step_2(Fault::Pauses, 2)]
#[case::pauses_at_the_end(Fault::Pauses, 3)]
#[case::loses_answers(Fault::LosesAnswers, 0)]
#[case::loses_answers_at_step_1(Fault::LosesAnswers, 1)]
#[case::cut_off_at_step_1(Fault::CutOff, 1)]
#[tokio::test]
async fn roll_out_reaches_its_end_one_step_at_a_time(#[case] fault: Fault, #[case] after: usize) {
    let mut cluster = Cluster::new();
    let mut first = cluster.instance();
    let mut second = cluster.instance();
    let mut seen = Vec::new();
    for round in 0..40 {
        let reached = cluster.progress().await.map_or(0, |one| one.step + 1);
        let is_faulty = reached >= after && round >= 1;
        match fault {
            Fault::Dies if is_faulty => {}
            Fault::Pauses if is_faulty && round < 12 => {}
            Fault::LosesAnswers if round < 12 => {
                first.store.faults.lock().lose_commits = 1;
                let _ = first.driver.round().await;
            }
            Fault::CutOff if is_faulty && round < 12 => {
                first.store.faults.lock().down = true;
                assert!(first.driver.round().await.is_err());
            }
            _ => {
                first.store.faults.lock().down = false;
                let _ = first.driver.round().await;
            }
        }
        second.driver.round().await.expect("the store answers");
        seen.extend(cluster.progress().await.map(|one| (one.stage, one.step)));
        cluster.clock.advance(STEP);
    }
    seen.dedup();
    let expected =
        [(Stage::Running, 0), (Stage::Running, 1), (Stage::Running, 2), (Stage::Done, 2)];
    assert_eq!(seen, expected);
    assert_eq!(second.fraction(), Some(1.0));
}

#[tokio::test]
async fn paused_holder_loses_its_fencing_number() {
    let mut cluster = Cluster::new();
    let mut first = cluster.instance();
    let mut second = cluster.instance();
    first.driver.round().await.expect("the store answers");
    let old = first.driver.lease().fence(Duration::from_secs(1)).expect("first holds the lease");
    cluster.clock.advance(Duration::from_secs(3));
    assert_eq!(first.driver.lease().fence(Duration::ZERO), None);
    cluster.clock.advance(LEASE_EXPIRY);
    second.driver.round().await.expect("the store answers");
    let new = second.driver.lease().fence(Duration::from_secs(1)).expect("second holds the lease");
    assert!(new > old);
    first.driver.round().await.expect("the store answers");
    assert_eq!(first.driver.lease().fence(Duration::ZERO), None);
}

#[tokio::test]
async fn suspension_outlives_its_instance_and_stops_the_roll_out() {
    let mut cluster = Cluster::new();
    let mut first = cluster.instance();
    first.driver.round().await.expect("the store answers");
    first.monitor.merge_suspensions(vec![suspension(1, 0)]);
    first.driver.round().await.expect("the store answers");
    drop(first);
    cluster.clock.advance(LEASE_EXPIRY);
    let mut second = cluster.instance();
    second.driver.round().await.expect("the store answers");
    second.driver.round().await.expect("the store answers");
    assert_eq!(second.monitor.suspended(), vec![release("v2")]);
    assert_eq!(cluster.progress().await.map(|one| one.stage), Some(Stage::Stopped));
    assert_eq!(second.fraction(), Some(0.0));
}

#[tokio::test]
async fn a_withdrawal_during_a_roll_out_stops_it() {
    let mut cluster = Cluster::new();
    let mut instance = cluster.instance();
    instance.driver.round().await.expect("the store answers");
    let mut withdrawn = config(0);
    let model = withdrawn.models.get_mut("m").expect("the model exists");
    model.versions.get_mut("v2").expect("the version exists").state = State::Withdrawn;
    instance.configure(2, &Arc::new(withdrawn));
    instance.driver.round().await.expect("the store answers");
    let progress = cluster.progress().await.expect("the record exists");
    assert_eq!(progress.stage, Stage::Stopped);
    assert_eq!(&*progress.cause, "the version is withdrawn");
}

/// Configuration under which a suspension made at revision 1 and generation 0 is checked.
struct LiftCase {
    revision: Revision,
    generation: u64,
    lifted: bool,
}

#[rstest]
#[case::same(LiftCase { revision: 1, generation: 0, lifted: false })]
#[case::newer_without_a_raise(LiftCase { revision: 9, generation: 0, lifted: false })]
#[case::raise_in_an_older_revision(LiftCase { revision: 1, generation: 1, lifted: false })]
#[case::raise_in_a_newer_revision(LiftCase { revision: 2, generation: 1, lifted: true })]
fn only_newer_revision_with_raised_generation_lifts_suspension(#[case] case: LiftCase) {
    let in_force = suspension(1, 0).is_in_force(case.revision, &config(case.generation));
    assert_eq!(in_force, !case.lifted);
}

#[tokio::test]
async fn a_raised_generation_starts_the_roll_out_again() {
    let mut cluster = Cluster::new();
    let mut instance = cluster.instance();
    instance.driver.round().await.expect("the store answers");
    instance.monitor.merge_suspensions(vec![suspension(1, 0)]);
    instance.driver.round().await.expect("the store answers");
    instance.configure(2, &Arc::new(config(1)));
    instance.driver.round().await.expect("the store answers");
    assert_eq!(instance.monitor.suspended(), Vec::<Release>::new());
    let progress = cluster.progress().await.expect("the record exists");
    assert_eq!((progress.generation, progress.stage, progress.step), (1, Stage::Running, 0));
}

#[tokio::test]
async fn roll_out_does_not_begin_without_capacity() {
    let mut cluster = Cluster::new();
    let mut instance = cluster.instance();
    let mut empty = snapshot(1, &Arc::new(config(0)));
    let mut backend = empty.backends[0].clone();
    backend.loaded = vec![release("v1")];
    empty.backends = Arc::from([backend]);
    *instance.snapshots.0.lock() = Arc::new(empty);
    for _ in 0..5 {
        instance.driver.round().await.expect("the store answers");
        cluster.clock.advance(STEP);
    }
    assert_eq!(cluster.progress().await, None);
}
