use {
    super::{Log, Mutation, Options},
    crate::{
        Claimed, Error, Outcome, Pin,
        fakes::{Flaky, Mesh, claim},
    },
    hawthornmount_core::clock::{Clock, Manual},
    hawthornmount_store::{Store, memory::Memory},
    rstest::rstest,
    std::{
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Delay of each call to the store.
const DELAY: Duration = Duration::from_millis(2);
/// Names of the instances, which are also their data centres.
const NAMES: [&str; 3] = ["attica-1", "crete-1", "macedonia-1"];

/// Three instances on one store.
struct Rig {
    mesh: Arc<Mesh>,
    memory: Arc<Memory>,
    clock: Arc<Manual>,
    stores: Vec<Arc<Flaky>>,
    logs: Vec<Arc<Log>>,
    attempts: AtomicU64,
}

impl Rig {
    /// Creates three instances. With `partitioned`, none sees the others, so each is the owner of
    /// every shard.
    fn new(partitioned: bool, options: Options) -> Self {
        let mesh = Arc::new(Mesh::default());
        let memory = Arc::new(Memory::new());
        let clock = Arc::new(Manual::new());
        let mut rig = Self {
            mesh,
            memory,
            clock,
            stores: Vec::new(),
            logs: Vec::new(),
            attempts: AtomicU64::new(0),
        };
        for name in NAMES {
            rig.start(name, partitioned, options);
        }
        rig
    }

    fn start(&mut self, name: &str, partitioned: bool, options: Options) {
        let mesh = if partitioned { Arc::new(Mesh::default()) } else { self.mesh.clone() };
        let flaky = Flaky::new(&self.memory, DELAY);
        let store: Arc<dyn Store> = flaky.clone();
        let clock: Arc<dyn Clock> = self.clock.clone();
        self.stores.push(flaky);
        self.logs.push(Arc::new(Log::new(&store, mesh.join(name, name), &clock, options)));
    }

    /// Claims `key` at every instance at once and returns how many were first.
    async fn race(&self, key: &str) -> usize {
        let claims = self.logs.iter().enumerate().map(|(at, log)| {
            let log = log.clone();
            let number = self.attempts.fetch_add(1, Ordering::SeqCst);
            let claim = claim(key, &format!("{number}.{at}"));
            tokio::spawn(async move { log.claim(claim).await })
        });
        let mut first = 0;
        for claim in claims.collect::<Vec<_>>() {
            if matches!(claim.await.expect("no panic"), Ok(Claimed::First(_))) {
                first += 1;
            }
        }
        first
    }

    /// Returns how many transactions all instances tried.
    fn writes(&self) -> u64 {
        self.stores.iter().map(|store| store.faults.writes.load(Ordering::SeqCst)).sum()
    }
}

fn options() -> Options {
    Options { operation_timeout: Duration::from_secs(1), ..Options::default() }
}

/// Conditions of concurrent claims of one key.
#[derive(Debug)]
struct Race {
    partitioned: bool,
    /// Transactions of each instance whose answers are lost.
    lose: u64,
    /// Transactions of each instance that take effect only after the claims ended.
    hold: u64,
}

#[rstest]
#[case::owner(Race { partitioned: false, lose: 0, hold: 0 })]
#[case::three_owners(Race { partitioned: true, lose: 0, hold: 0 })]
#[case::lost_answers(Race { partitioned: true, lose: 2, hold: 0 })]
#[case::delayed_writes(Race { partitioned: true, lose: 0, hold: 2 })]
#[case::lost_answers_at_owner(Race { partitioned: false, lose: 3, hold: 0 })]
#[tokio::test(start_paused = true)]
async fn one_of_three_concurrent_claims_is_first(#[case] case: Race) {
    let rig = Rig::new(case.partitioned, options());
    for round in 0..20 {
        for store in &rig.stores {
            store.faults.lose.store(case.lose, Ordering::SeqCst);
            store.faults.hold.store(case.hold, Ordering::SeqCst);
        }
        let key = format!("key-{round}");
        assert_eq!(rig.race(&key).await, 1, "round {round}");
        for store in &rig.stores {
            store.release().await;
        }
        assert_eq!(rig.race(&format!("{key}-again")).await, 1, "round {round}");
    }
}

#[rstest]
#[case::no_segment_guard(Mutation::NoSegmentGuard, 0)]
#[case::no_read_back(Mutation::NoReadBack, 2)]
#[tokio::test(start_paused = true)]
async fn disabled_check_grants_duplicate_claims(#[case] mutation: Mutation, #[case] lose: u64) {
    let rig = Rig::new(true, Options { mutation: Some(mutation), ..options() });
    let mut duplicates = 0;
    for round in 0..20 {
        for store in &rig.stores {
            store.faults.lose.store(lose, Ordering::SeqCst);
        }
        duplicates += rig.race(&format!("key-{round}")).await.saturating_sub(1);
    }
    assert!(duplicates > 0, "the test does not detect {mutation:?}");
}

#[tokio::test(start_paused = true)]
async fn claim_of_a_used_key_returns_the_first_outcome() {
    let rig = Rig::new(true, options());
    let Ok(Claimed::First(ticket)) = rig.logs[0].claim(claim("k", "a")).await else {
        panic!("not first")
    };
    let running = Claimed::Running { attempt: "a".into() };
    assert_eq!(rig.logs[1].claim(claim("k", "b")).await, Ok(running));
    let other = crate::Claim { digest: "other".into(), ..claim("k", "c") };
    assert_eq!(rig.logs[2].claim(other).await, Ok(Claimed::Conflict));
    let outcome = Outcome::Done {
        status: 200,
        content_type: "application/json".into(),
        body: Some(b"{}".to_vec()),
        digest: "d".into(),
    };
    rig.logs[0].settle(&ticket, outcome.clone()).await.expect("settled");
    let ended = Claimed::Ended { attempt: "a".into(), outcome };
    assert_eq!(rig.logs[1].claim(claim("k", "d")).await, Ok(ended));
}

#[tokio::test(start_paused = true)]
async fn call_that_did_not_run_frees_its_key_once() {
    let rig = Rig::new(true, options());
    let Ok(Claimed::First(ticket)) = rig.logs[0].claim(claim("k", "a")).await else {
        panic!("not first")
    };
    rig.logs[0].settle(&ticket, Outcome::NotRun).await.expect("settled");
    assert_eq!(rig.race("k").await, 1);
    assert_eq!(rig.race("k").await, 0);
    assert!(rig.logs[0].settle(&ticket, Outcome::NotRun).await.is_ok());
    assert_eq!(rig.race("k").await, 0, "a late settlement must not free the key again");
}

#[tokio::test(start_paused = true)]
async fn attempt_past_its_deadline_has_an_unknown_outcome() {
    let rig = Rig::new(true, options());
    let first = crate::Claim { until_ms: 0, ..claim("k", "a") };
    assert!(matches!(rig.logs[0].claim(first).await, Ok(Claimed::First(_))));
    let unknown = Claimed::Ended { attempt: "a".into(), outcome: Outcome::Unknown };
    assert_eq!(rig.logs[1].claim(claim("k", "b")).await, Ok(unknown));
}

#[tokio::test(start_paused = true)]
async fn claim_refused_during_an_outage_leaves_its_key_free() {
    let rig = Rig::new(true, options());
    let store = &rig.stores[0];
    store.faults.down.store(true, Ordering::SeqCst);
    let refused = rig.logs[0].claim(claim("k", "a")).await;
    assert!(matches!(refused, Err(Error::Unavailable { .. })), "{refused:?}");
    store.faults.down.store(false, Ordering::SeqCst);
    assert!(matches!(rig.logs[0].claim(claim("k", "b")).await, Ok(Claimed::First(_))));
}

#[tokio::test(start_paused = true)]
async fn claim_written_after_its_refusal_does_not_hold_its_key() {
    let rig = Rig::new(true, options());
    let store = rig.stores[0].clone();
    assert!(matches!(rig.logs[0].claim(claim("warm", "w")).await, Ok(Claimed::First(_))));
    store.faults.hold.store(1_000, Ordering::SeqCst);
    let refused = rig.logs[0].claim(claim("k", "a")).await;
    assert!(matches!(refused, Err(Error::Unknown { .. })), "{refused:?}");
    store.release().await;
    store.faults.hold.store(0, Ordering::SeqCst);
    rig.logs[0].flush(Duration::from_secs(10)).await.expect("voided attempts are written");
    assert!(matches!(rig.logs[1].claim(claim("k", "b")).await, Ok(Claimed::First(_))));
    assert!(rig.logs[0].claim(claim("k", "a")).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn unreachable_owners_are_bypassed() {
    let rig = Rig::new(false, options());
    for name in NAMES {
        rig.mesh.cut(name, true);
    }
    assert_eq!(rig.race("k").await, 1);
}

#[tokio::test(start_paused = true)]
async fn owner_without_answer_is_avoided_for_a_while() {
    let rig = Rig::new(false, Options { shards: 1, ..options() });
    let owner = rig.logs[0].owner(0);
    rig.mesh.cut(&owner, true);
    let caller = NAMES.iter().position(|name| **name != *owner).expect("another instance");
    let log = &rig.logs[caller];
    let claimed = log.claim(claim("k", "a")).await;
    assert!(matches!(claimed, Ok(Claimed::First(_))), "{claimed:?}");
    assert_ne!(log.owner(0), owner);
    tokio::time::sleep(super::AVOID_DURATION).await;
    assert_eq!(log.owner(0), owner);
}

#[tokio::test(start_paused = true)]
async fn compaction_keeps_every_claim_and_idle_shards_do_not_write() {
    let mut rig = Rig::new(true, options());
    for number in 0..300 {
        let claimed = rig.logs[number % 3].claim(claim(&format!("k{number}"), "a")).await;
        assert!(matches!(claimed, Ok(Claimed::First(_))), "{number}: {claimed:?}");
    }
    let keys = rig.memory.list("/hawthornmount/ledger/", None, 1_000).await.expect("a list");
    assert!(keys.entries.len() < 200, "{} keys are left", keys.entries.len());
    rig.start("late", true, options());
    for number in 0..300 {
        let claimed = rig.logs[3].claim(claim(&format!("k{number}"), "b")).await;
        assert!(matches!(claimed, Ok(Claimed::Running { .. })), "{number}: {claimed:?}");
    }
    let before = rig.writes();
    tokio::time::sleep(Duration::from_secs(600)).await;
    assert_eq!(rig.writes(), before);
}

#[tokio::test(start_paused = true)]
async fn writes_delayed_past_a_compaction_do_not_apply() {
    let rig = Rig::new(true, Options { shards: 1, ..options() });
    assert!(matches!(rig.logs[0].claim(claim("warm", "w")).await, Ok(Claimed::First(_))));
    rig.stores[0].faults.hold.store(1, Ordering::SeqCst);
    let log = rig.logs[0].clone();
    let delayed = tokio::spawn(async move { log.claim(claim("k", "a")).await });
    tokio::time::sleep(Duration::from_millis(20)).await;
    for number in 0..100 {
        let _ = rig.logs[1].claim(claim(&format!("k{number}"), "b")).await;
    }
    let _ = rig.logs[1].claim(claim("k", "b")).await;
    let late = rig.stores[0].release().await;
    assert!(late.iter().all(|commit| !commit.applied));
    let _ = delayed.await;
}

#[tokio::test(start_paused = true)]
async fn claims_expire_after_retention() {
    let retention = Duration::from_secs(3_600);
    let rig = Rig::new(true, Options { retention, ..options() });
    assert_eq!(rig.race("k").await, 1);
    rig.clock.advance(retention - Duration::from_secs(1));
    assert_eq!(rig.race("k").await, 0);
    rig.clock.advance(Duration::from_secs(2));
    assert_eq!(rig.race("k").await, 1);
}

#[tokio::test(start_paused = true)]
async fn session_keeps_its_first_version_until_a_later_generation() {
    let rig = Rig::new(true, options());
    let pin = |version: &str, generation| Pin {
        account: "oikos".into(),
        session: "s".into(),
        model: "draft".into(),
        version: version.into(),
        generation,
    };
    assert_eq!(rig.logs[0].pin(pin("v1", 0)).await, Ok(pin("v1", 0)));
    assert_eq!(rig.logs[1].pin(pin("v2", 0)).await, Ok(pin("v1", 0)));
    assert_eq!(rig.logs[2].pin(pin("v2", 1)).await, Ok(pin("v2", 1)));
    assert_eq!(rig.logs[0].pin(pin("v3", 1)).await, Ok(pin("v2", 1)));
    let held = rig.logs[1].pinned(&"oikos".into(), &"s".into()).await;
    assert!(matches!(held, Ok(Some(_))), "{held:?}");
}
