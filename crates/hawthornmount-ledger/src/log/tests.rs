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

/// Delay of the store in these tests.
const DELAY: Duration = Duration::from_millis(2);
/// Instances of these tests.
const NAMES: [&str; 3] = ["attica-1", "crete-1", "macedonia-1"];

struct Rig {
    mesh: Arc<Mesh>,
    memory: Arc<Memory>,
    clock: Arc<Manual>,
    stores: Vec<Arc<Flaky>>,
    logs: Vec<Arc<Log>>,
    attempts: AtomicU64,
}

impl Rig {
    /// Creates three instances; with `apart` each thinks that it owns every shard.
    fn new(apart: bool, options: Options) -> Self {
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
            rig.start(name, apart, options);
        }
        rig
    }

    fn start(&mut self, name: &str, apart: bool, options: Options) {
        let mesh = if apart { Arc::new(Mesh::default()) } else { self.mesh.clone() };
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

    fn writes(&self) -> u64 {
        self.stores.iter().map(|store| store.faults.writes.load(Ordering::SeqCst)).sum()
    }
}

fn options() -> Options {
    Options { operation_timeout: Duration::from_secs(1), ..Options::default() }
}

#[derive(Debug)]
struct Race {
    apart: bool,
    lose: u64,
    hold: u64,
}

#[rstest]
#[case::owner(Race { apart: false, lose: 0, hold: 0 })]
#[case::three_owners(Race { apart: true, lose: 0, hold: 0 })]
#[case::lost_answers(Race { apart: true, lose: 2, hold: 0 })]
#[case::late_writes(Race { apart: true, lose: 0, hold: 2 })]
#[case::lost_at_the_owner(Race { apart: false, lose: 3, hold: 0 })]
#[tokio::test(start_paused = true)]
async fn one_of_three_is_first(#[case] case: Race) {
    let rig = Rig::new(case.apart, options());
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
#[case::no_slot_race(Mutation::NoSegmentGuard, 0)]
#[case::no_read_back(Mutation::NoReadBack, 2)]
#[tokio::test(start_paused = true)]
async fn a_missing_check_shows_as_doubles(#[case] mutation: Mutation, #[case] lose: u64) {
    let rig = Rig::new(true, Options { mutation: Some(mutation), ..options() });
    let mut doubles = 0;
    for round in 0..20 {
        for store in &rig.stores {
            store.faults.lose.store(lose, Ordering::SeqCst);
        }
        doubles += rig.race(&format!("key-{round}")).await.saturating_sub(1);
    }
    assert!(doubles > 0, "the proof does not notice {mutation:?}");
}

#[tokio::test(start_paused = true)]
async fn a_key_tells_how_its_first_call_ended() {
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
async fn a_call_that_did_not_run_frees_its_key_once() {
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
async fn an_attempt_past_its_deadline_is_unknown() {
    let rig = Rig::new(true, options());
    let first = crate::Claim { until_ms: 0, ..claim("k", "a") };
    assert!(matches!(rig.logs[0].claim(first).await, Ok(Claimed::First(_))));
    let unknown = Claimed::Ended { attempt: "a".into(), outcome: Outcome::Unknown };
    assert_eq!(rig.logs[1].claim(claim("k", "b")).await, Ok(unknown));
}

#[tokio::test(start_paused = true)]
async fn an_outage_refuses_and_leaves_no_key_stuck() {
    let rig = Rig::new(true, options());
    let store = &rig.stores[0];
    store.faults.down.store(true, Ordering::SeqCst);
    let refused = rig.logs[0].claim(claim("k", "a")).await;
    assert!(matches!(refused, Err(Error::Unavailable { .. })), "{refused:?}");
    store.faults.down.store(false, Ordering::SeqCst);
    assert!(matches!(rig.logs[0].claim(claim("k", "b")).await, Ok(Claimed::First(_))));
}

#[tokio::test(start_paused = true)]
async fn a_claim_that_lands_after_its_refusal_holds_nothing() {
    let rig = Rig::new(true, options());
    let store = rig.stores[0].clone();
    assert!(matches!(rig.logs[0].claim(claim("warm", "w")).await, Ok(Claimed::First(_))));
    store.faults.hold.store(1_000, Ordering::SeqCst);
    let refused = rig.logs[0].claim(claim("k", "a")).await;
    assert!(matches!(refused, Err(Error::Unknown { .. })), "{refused:?}");
    store.release().await;
    store.faults.hold.store(0, Ordering::SeqCst);
    rig.logs[0].flush(Duration::from_secs(10)).await.expect("given-up attempts are recorded");
    assert!(matches!(rig.logs[1].claim(claim("k", "b")).await, Ok(Claimed::First(_))));
    assert!(rig.logs[0].claim(claim("k", "a")).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn a_paused_owner_is_passed_over() {
    let rig = Rig::new(false, options());
    for name in NAMES {
        rig.mesh.cut(name, true);
    }
    assert_eq!(rig.race("k").await, 1);
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_gives_no_answer_is_passed_over() {
    let rig = Rig::new(false, Options { shards: 1, ..options() });
    let owner = rig.logs[0].owner(0);
    rig.mesh.cut(&owner, true);
    let asker = NAMES.iter().position(|name| **name != *owner).expect("another instance");
    let log = &rig.logs[asker];
    let claimed = log.claim(claim("k", "a")).await;
    assert!(matches!(claimed, Ok(Claimed::First(_))), "{claimed:?}");
    assert_ne!(log.owner(0), owner);
    tokio::time::sleep(super::AVOID_FOR).await;
    assert_eq!(log.owner(0), owner);
}

#[tokio::test(start_paused = true)]
async fn compaction_keeps_every_claim_and_idle_shards_write_nothing() {
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
async fn a_writer_that_slept_through_a_compaction_writes_nothing_twice() {
    let rig = Rig::new(true, Options { shards: 1, ..options() });
    assert!(matches!(rig.logs[0].claim(claim("warm", "w")).await, Ok(Claimed::First(_))));
    rig.stores[0].faults.hold.store(1, Ordering::SeqCst);
    let log = rig.logs[0].clone();
    let sleeper = tokio::spawn(async move { log.claim(claim("k", "a")).await });
    tokio::time::sleep(Duration::from_millis(20)).await;
    for number in 0..100 {
        let _ = rig.logs[1].claim(claim(&format!("k{number}"), "b")).await;
    }
    let _ = rig.logs[1].claim(claim("k", "b")).await;
    let late = rig.stores[0].release().await;
    assert!(late.iter().all(|commit| !commit.applied));
    let _ = sleeper.await;
}

#[tokio::test(start_paused = true)]
async fn claims_expire_after_the_retention() {
    let retention = Duration::from_secs(3_600);
    let rig = Rig::new(true, Options { retention, ..options() });
    assert_eq!(rig.race("k").await, 1);
    rig.clock.advance(retention - Duration::from_secs(1));
    assert_eq!(rig.race("k").await, 0);
    rig.clock.advance(Duration::from_secs(2));
    assert_eq!(rig.race("k").await, 1);
}

#[tokio::test(start_paused = true)]
async fn a_session_keeps_its_first_version_until_a_later_generation() {
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
