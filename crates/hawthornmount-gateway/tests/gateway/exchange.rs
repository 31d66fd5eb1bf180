//! Exchange of loads between the instances of a data centre.

use {
    hawthornmount_core::{id::ServerId, metrics::Metrics},
    hawthornmount_fleet::wire::{Keyring, MAX_DATAGRAM_BYTES, Reject},
    hawthornmount_gateway::{
        adaptation::{Adaptation, Mode},
        load::{
            Load, Tracker,
            exchange::{Digest, Report, Row},
        },
    },
    hawthornmount_policy::admission::Rate,
    rstest::rstest,
    std::time::{Duration, Instant},
};

const START_MS: u64 = 1_700_000_000_000;

fn row(server: &str) -> Row {
    Row {
        server: server.into(),
        start_ms: START_MS,
        in_flight: 3,
        pending: 2,
        backlog_ms: 180,
        slowness: Some((150, 80)),
        failures: 0,
        report: Some(Report {
            running: 5,
            waiting: 2,
            slots: 12,
            slowdown_percent: Some(250),
            age_ms: 40,
        }),
    }
}

fn digest(from: &str, rows: Vec<Row>) -> Digest {
    let rates = vec![Rate { account: "drafting".into(), per_second: 2.5 }];
    Digest { from: from.into(), rates, rows }
}

/// A tracker that knows one start of a server.
fn tracker(server: &str) -> Tracker {
    let mut tracker = Tracker::default();
    tracker.stats_of_start(&server.into(), START_MS);
    tracker
}

/// Bytes of a digest as the build of 2026-12-04 encodes it, after version and hash. A later build that
/// can't read them would ignore the loads of instances that are not yet restarted.
const RECORDED: &str =
    "036f6e6501086472616674696e67000020400103692d3180d095ffbc310302b40101960150000105020c01fa0128";

#[test]
fn recorded_datagram_is_decoded() {
    let keyring = Keyring::new("secret");
    let frame = digest("one", vec![row("i-1")]).seal(&keyring);
    let body: String = frame[17..].iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(body, RECORDED);
    assert_eq!(Digest::open(&frame, &keyring), Ok(digest("one", vec![row("i-1")])));
}

#[rstest]
#[case::other_key(|_: &mut Vec<u8>| (), "other", Reject::Hash)]
#[case::changed_byte(|frame: &mut Vec<u8>| frame[20] ^= 1, "secret", Reject::Hash)]
#[case::other_version(|frame: &mut Vec<u8>| frame[0] = 9, "secret", Reject::Version)]
#[case::cut(|frame: &mut Vec<u8>| frame.truncate(9), "secret", Reject::TooShort)]
#[case::too_long(|frame: &mut Vec<u8>| frame.resize(9_000, 0), "secret", Reject::TooLarge)]
fn datagram_that_is_not_authentic_is_rejected(
    #[case] damage: fn(&mut Vec<u8>),
    #[case] secret: &str,
    #[case] reject: Reject,
) {
    let mut frame = digest("one", vec![row("i-1")]).seal(&Keyring::new("secret"));
    damage(&mut frame);
    assert_eq!(Digest::open(&frame, &Keyring::new(secret)), Err(reject));
}

/// A fleet of any number of servers must not make datagrams that are fragmented or rejected.
#[test]
fn datagram_is_bounded_and_keeps_the_servers_with_most_work() {
    let mut tracker = Tracker::default();
    for number in 0..500 {
        let id: ServerId = format!("i-{number:010x}").into();
        let stats = tracker.stats_of_start(&id, START_MS);
        stats.in_flight = 1;
        stats.prefill_backlog_ms = f64::from(number);
    }
    let keyring = Keyring::new("secret");
    let rows = tracker.take_rows(Instant::now());
    let frame = digest("instance-of-a-long-name", rows).seal(&keyring);
    assert!(frame.len() <= MAX_DATAGRAM_BYTES, "{} bytes", frame.len());
    let rows = Digest::open(&frame, &keyring).expect("a digest").rows;
    assert!(rows.len() >= 20, "{} servers", rows.len());
    assert!(rows.iter().all(|row| row.backlog_ms >= 400), "servers with little work");
}

/// What an instance tells: only what is new, and once that a server has become idle.
#[test]
fn idle_server_is_told_once() {
    let now = Instant::now();
    let mut tracker = tracker("i-1");
    assert!(tracker.take_rows(now).is_empty());
    tracker.stats(&"i-1".into()).in_flight = 2;
    for _ in 0..2 {
        assert_eq!(tracker.take_rows(now)[0].in_flight, 2);
    }
    tracker.stats(&"i-1".into()).in_flight = 0;
    assert_eq!(tracker.take_rows(now)[0].in_flight, 0);
    assert!(tracker.take_rows(now).is_empty());
    let load = Load { running: 4, waiting: 0, slots: 12, slowdown_percent: None };
    tracker.stats(&"i-1".into()).record_report(load, now + Duration::from_millis(1));
    let rows = tracker.take_rows(now + Duration::from_millis(2));
    assert_eq!(rows[0].report.map(|report| report.running), Some(4));
}

struct Case {
    /// Age of the datagrams when they are used, in milliseconds.
    age_ms: u64,
    backlog_ms: f64,
    slowness: f64,
}

/// Two instances state the same work. Old datagrams must not count: their sender may be gone.
#[rstest]
#[case::fresh(Case { age_ms: 0, backlog_ms: 360.0, slowness: 3.75 })]
#[case::statement_has_faded(Case { age_ms: 590, backlog_ms: 360.0, slowness: 2.4 })]
#[case::senders_are_gone(Case { age_ms: 700, backlog_ms: 0.0, slowness: 2.3 })]
#[case::measurements_are_forgotten(Case { age_ms: 5_100, backlog_ms: 0.0, slowness: 1.15 })]
fn work_of_other_instances_counts_while_it_is_recent(#[case] case: Case) {
    let now = Instant::now();
    let mut tracker = tracker("i-1");
    for from in ["two", "three", "two"] {
        tracker.apply_digest(&digest(from, vec![row("i-1"), row("unknown")]), now);
    }
    let at = now + Duration::from_millis(case.age_ms);
    let stats = tracker.stats(&"i-1".into());
    assert_eq!(stats.peers_backlog_ms(at), case.backlog_ms);
    let slowness = stats.expected_slowness(at);
    assert!((slowness - case.slowness).abs() < 0.35, "{slowness}, {} expected", case.slowness);
}

#[test]
fn another_start_of_the_server_is_skipped_and_forgets() {
    let now = Instant::now();
    let mut tracker = tracker("i-1");
    tracker.apply_digest(&digest("two", vec![Row { start_ms: 1, ..row("i-1") }]), now);
    assert_eq!(tracker.stats(&"i-1".into()).peers_backlog_ms(now), 0.0);
    tracker.apply_digest(&digest("two", vec![row("i-1")]), now);
    assert!(tracker.stats(&"i-1".into()).peers_backlog_ms(now) > 0.0);
    let stats = tracker.stats_of_start(&"i-1".into(), START_MS + 1);
    assert_eq!((stats.peers_backlog_ms(now), stats.expected_slowness(now)), (0.0, 1.0));
}

/// Failures in a row that each instance states, and whether the server is avoided for them. A server that
/// fails at once seems idle; one instance whose own link is at fault must not take it from the others.
#[rstest]
#[case::none(&[0, 0, 0], false)]
#[case::usual_errors(&[1, 0, 1, 0], false)]
#[case::one_instance(&[200], false)]
#[case::two_instances(&[2, 2], true)]
#[case::many(&[1, 1, 1, 1], true)]
fn server_that_fails_at_several_instances_is_avoided(
    #[case] failures: &[u16],
    #[case] is_avoided: bool,
) {
    let now = Instant::now();
    let mut tracker = tracker("i-1");
    for (number, failures) in failures.iter().enumerate() {
        let row = Row { failures: *failures, ..row("i-1") };
        tracker.apply_digest(&digest(&format!("peer-{number}"), vec![row]), now);
    }
    let stats = tracker.stats(&"i-1".into());
    assert_eq!(stats.fails_at_peers(now), is_avoided);
    assert!(!stats.fails_at_peers(now + Duration::from_secs(4)), "it is tried again");
}

/// A server whose error responses are not noticed attracts the requests of all instances.
#[test]
fn server_is_avoided_after_two_errors_in_a_row() {
    let now = Instant::now();
    let mut tracker = tracker("i-1");
    let stats = tracker.stats(&"i-1".into());
    stats.record_error(now);
    assert!(!stats.is_avoided(now));
    stats.record_success();
    stats.record_error(now);
    assert!(!stats.is_avoided(now), "errors with an answer between them are usual");
    stats.record_error(now);
    assert!(stats.is_avoided(now));
}

/// When the exchange begins. An instance that never adapts must not wake up for it.
#[rstest]
#[case::off(Mode::Off, true, false)]
#[case::nothing_stated(Mode::Stated, false, false)]
#[case::stated(Mode::Stated, true, true)]
#[case::on(Mode::On, false, true)]
#[tokio::test(start_paused = true)]
async fn exchange_begins_when_the_instance_adapts(
    #[case] mode: Mode,
    #[case] is_stated: bool,
    #[case] begins: bool,
) {
    let adaptation = Adaptation::new(mode, Metrics::new());
    let statement = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        if is_stated {
            adaptation.record_statement("i-1");
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(2), adaptation.wait());
    let (waited, ()) = tokio::join!(waited, statement);
    assert_eq!(waited.is_ok(), begins);
}
