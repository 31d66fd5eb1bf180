//! What clients may take: who yields, who is refused, and what is given back.

use {
    bytes::Bytes,
    hawthornmount_http::capacity::{
        CONNECTION_BYTES, Capacity, Group, Holding, SMALL_BODY_BYTES, Shortage, Stage,
        body::{self, Failure},
        decision::Entry,
        machine::Machine,
    },
    http_body_util::{BodyExt, Full, StreamBody, channel::Channel},
    rstest::rstest,
    std::{
        convert::Infallible,
        time::{Duration, Instant},
    },
};

/// Memory of the capacity in these tests.
const MEMORY: usize = 4 << 20;
/// Longer than anything may be without progress and not yield.
const STALL: Duration = Duration::from_millis(1_200);

fn connection(group: &Group, stage: Stage) -> Holding {
    let holding = group.admit().expect("there is room");
    holding.set_stage(stage);
    holding
}

/// Returns whether a holding has to yield by now.
async fn has_yielded(holding: &Holding) -> bool {
    tokio::time::timeout(Duration::from_millis(1), holding.yielded()).await.is_ok()
}

struct Case {
    /// Stages of the connections that fill a group, in the order of their arrival.
    stages: &'static [Stage],
    /// Whether they have been without progress for long.
    is_stalled: bool,
    /// Which of them yields to another connection.
    yields: Option<usize>,
}

#[rstest]
#[case::new_before_idle(Case { stages: &[Stage::Idle, Stage::New], is_stalled: false, yields: Some(1) })]
#[case::oldest_first(Case { stages: &[Stage::Idle, Stage::Idle], is_stalled: false, yields: Some(0) })]
#[case::head_that_arrives(Case { stages: &[Stage::Head, Stage::Busy], is_stalled: false, yields: None })]
#[case::head_that_stalls(Case { stages: &[Stage::Busy, Stage::Head], is_stalled: true, yields: Some(1) })]
#[case::reader_before_body(Case { stages: &[Stage::Body, Stage::Unread], is_stalled: true, yields: Some(1) })]
#[case::work_never(Case { stages: &[Stage::Busy, Stage::Busy], is_stalled: true, yields: None })]
#[tokio::test]
async fn connection_yields_by_stage_and_age(#[case] case: Case) {
    let group = Capacity::new(MEMORY).group(case.stages.len());
    let held: Vec<Holding> = case.stages.iter().map(|stage| connection(&group, *stage)).collect();
    if case.is_stalled {
        tokio::time::sleep(STALL).await;
    }
    let admitted = group.admit();
    assert_eq!(admitted.is_ok(), case.yields.is_some(), "{admitted:?}");
    for (at, holding) in held.iter().enumerate() {
        assert_eq!(has_yielded(holding).await, case.yields == Some(at), "connection {at}");
    }
}

/// Guards against connections that have yielded but are still open, whose descriptors are in use: only a
/// few others are admitted before these are closed.
#[tokio::test]
async fn connections_that_are_still_open_are_counted() {
    let group = Capacity::new(MEMORY).group(16);
    let mut open = Vec::new();
    while let Ok(holding) = group.admit() {
        open.push(holding);
        assert!(open.len() < 32, "connections are admitted without end");
    }
    assert_eq!(open.len(), 16 + 3);
    open.remove(0);
    assert!(group.admit().is_ok());
}

/// Guards against a crowd on one listener that takes the connections of another one.
#[tokio::test]
async fn groups_keep_their_own_connections() {
    let capacity = Capacity::new(MEMORY);
    let (callers, operators) = (capacity.group(1), capacity.group(1));
    let busy = connection(&callers, Stage::Busy);
    assert_eq!(callers.admit().err(), Some(Shortage::Connections));
    assert!(operators.admit().is_ok());
    drop(busy);
    assert!(callers.admit().is_ok());
}

struct Arrival {
    /// Bytes that arrive every 100 ms.
    bytes: usize,
    yields: bool,
}

#[rstest]
#[case::nothing(Arrival { bytes: 0, yields: true })]
#[case::dripped(Arrival { bytes: 100, yields: true })]
#[case::slowly(Arrival { bytes: 8 << 10, yields: false })]
#[case::fast(Arrival { bytes: 1 << 20, yields: false })]
fn body_yields_unless_it_arrives(#[case] case: Arrival) {
    let mut now = Instant::now();
    let stage = Stage::Body;
    let mut body =
        Entry { id: 1, group: None, bytes: MEMORY, stage, yields_at: stage.yields_at(now) };
    for _ in 0..20 {
        now += Duration::from_millis(100);
        body.record_progress(case.bytes, now);
    }
    assert_eq!(body.yields(now), case.yields);
}

/// Guards against bodies that yield in vain, and against stalled ones that keep their memory.
#[tokio::test]
async fn stalled_body_yields_if_that_is_enough() {
    let capacity = Capacity::new(MEMORY);
    let busy = capacity.hold(MEMORY / 4).expect("there is room");
    busy.set_stage(Stage::Busy);
    let stalled = capacity.hold(MEMORY / 4).expect("there is room");
    tokio::time::sleep(STALL).await;
    assert_eq!(capacity.hold(MEMORY / 4 * 3).err(), Some(Shortage::Memory));
    assert!(!has_yielded(&stalled).await);
    let other = capacity.hold(MEMORY / 2);
    assert!(other.is_ok(), "{other:?}");
    assert!(has_yielded(&stalled).await);
    assert!(!has_yielded(&busy).await);
}

/// Guards against large bodies that leave no room for the small ones of ordinary callers.
#[tokio::test]
async fn small_bodies_keep_a_share() {
    let capacity = Capacity::new(MEMORY);
    let size = MEMORY / 8;
    let large: Vec<Holding> = std::iter::from_fn(|| capacity.hold(size).ok()).collect();
    assert_eq!(large.len(), 6);
    let small = capacity.hold(SMALL_BODY_BYTES);
    assert!(small.is_ok(), "{small:?}");
}

/// Guards against limits that a single body can't meet: it is kept as long as it is the only large one.
#[tokio::test]
async fn single_body_over_the_memory_is_kept() {
    let capacity = Capacity::new(MEMORY);
    let group = capacity.group(1);
    let _connection = group.admit().expect("there is room");
    let body = capacity.hold(2 * MEMORY).expect("it is the only one");
    body.set_stage(Stage::Busy);
    assert_eq!(capacity.hold(MEMORY / 4).err(), Some(Shortage::Memory));
    drop(body);
    assert_eq!(capacity.usage().bytes, CONNECTION_BYTES);
}

struct Reading {
    length: usize,
    chunk: usize,
    is_announced: bool,
    limit: usize,
    is_whole: bool,
}

#[rstest]
#[case::announced(Reading { length: 100_000, chunk: 100_000, is_announced: true, limit: 100_000, is_whole: true })]
#[case::in_chunks(Reading { length: 100_000, chunk: 7, is_announced: false, limit: 100_000, is_whole: true })]
#[case::announced_too_long(Reading { length: 100_001, chunk: 100_001, is_announced: true, limit: 100_000, is_whole: false })]
#[case::chunks_too_long(Reading { length: 100_001, chunk: 7, is_announced: false, limit: 100_000, is_whole: false })]
#[tokio::test]
async fn body_is_read_within_its_limit_and_given_back(#[case] case: Reading) {
    let capacity = Capacity::new(MEMORY);
    let content = vec![b'x'; case.length];
    let read = if case.is_announced {
        let whole = Full::new(Bytes::from(content.clone()));
        body::read(whole, case.limit, &capacity).await
    } else {
        let pieces: Vec<Result<_, Infallible>> = content
            .chunks(case.chunk)
            .map(|piece| Ok(http_body::Frame::data(Bytes::copy_from_slice(piece))))
            .collect();
        let stream = StreamBody::new(futures::stream::iter(pieces));
        body::read(stream, case.limit, &capacity).await
    };
    match read {
        Ok(bytes) => {
            assert!(case.is_whole);
            assert_eq!(bytes, content);
            let copy = bytes.clone();
            drop(bytes);
            assert_eq!(capacity.usage().bytes, case.length);
            drop(copy);
        }
        Err(failure) => {
            assert!(!case.is_whole, "{failure}");
            assert!(matches!(failure, Failure::TooLong), "{failure}");
        }
    }
    assert_eq!(capacity.usage().bytes, 0);
}

/// Guards against a reader that goes on after its memory was given to others.
#[tokio::test]
async fn reader_of_a_body_that_yields_ends() {
    let capacity = Capacity::new(MEMORY);
    let (mut sender, body) = Channel::<Bytes, Infallible>::new(1);
    let reading = tokio::spawn({
        let capacity = capacity.clone();
        async move { body::read(body.boxed_unsync(), MEMORY, &capacity).await }
    });
    sender.send_data(Bytes::from(vec![0; MEMORY / 2])).await.expect("it is read");
    tokio::time::sleep(STALL).await;
    let other = capacity.hold(MEMORY / 2);
    assert!(other.is_ok(), "{other:?}");
    let read = reading.await.expect("the reader does not panic");
    assert!(matches!(read, Err(Failure::NoRoom(Shortage::Memory))), "{read:?}");
}

#[rstest]
#[case::smallest_of_the_sites(88, 4_100, 1_170)]
#[case::few_descriptors(512, 1_100, 270)]
#[case::little_memory(48, 100_000, 732)]
#[case::hardly_any(48, 20, 8)]
fn connections_follow_the_machine(
    #[case] memory_mb: u32,
    #[case] descriptors: usize,
    #[case] connections: usize,
) {
    let machine = Machine::with_descriptors(memory_mb, descriptors);
    assert_eq!(machine.connections(30), connections);
}
