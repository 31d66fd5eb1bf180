//! Cold servers over fleets of many sizes: simulated instances that try to send at every moment.

use {
    hawthornmount_core::{
        config::{ColdStart, Service},
        table::Table,
    },
    hawthornmount_gateway::{
        limit::{
            Limits,
            cold::{Cause, Tolerance},
        },
        registry::{Readiness, Server},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    rstest::rstest,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const STEP: Duration = Duration::from_millis(20);
/// Time of the cold state, requests a second that a cold server takes, and what it tolerates.
const COLD_TIME: Duration = Duration::from_secs(3);
const TOLERANCE: Tolerance = Tolerance { overshoot: 1.5, slack: 5.0 };
/// Longest time after the start of a server at which an instance sees its entry.
const MAX_LIST_AGE_MS: u64 = 2_000;
const MAX_TRANSIT_MS: u64 = 300;

fn server(service: &str) -> Server {
    Server {
        id: "i-1".into(),
        start_ms: 7,
        service: service.into(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "a".into(),
        version: "v1".into(),
        slots: 24,
        readiness: Readiness::Ready,
        cold_remaining: COLD_TIME,
    }
}

fn services(per_second: f64) -> Table<Service> {
    let cold_start = Some(ColdStart { duration: COLD_TIME, per_second });
    let mut services = Table::new();
    services.insert("cold".into(), Service { cold_start, ..Service::default() });
    services.insert("plain".into(), Service::default());
    services
}

/// Returns instances that have known each other for some time. The views of the members differ by the
/// last `unseen` ones, which half of the instances don't know.
fn fleet(instances: usize, unseen: usize, per_second: f64, origin: Instant) -> Vec<Limits> {
    let name = |number: usize| -> Arc<str> { format!("instance-{number}").into() };
    let create = |number: usize| {
        let known = if number.is_multiple_of(2) { instances } else { instances - unseen };
        let mut limits = Limits::new(name(number));
        limits.set_cold_starts(&services(per_second));
        limits.set_tolerance(TOLERANCE);
        limits.set_members((0..known).map(name).collect(), origin);
        limits
    };
    (0..instances).map(create).collect()
}

/// How the instances learn that the server is cold.
#[derive(Clone, Copy, Debug)]
enum Told {
    /// Its entry, which each instance sees at another time before it sees the server at all.
    Entry,
    /// All of them failed to reach it, and nobody tells that it is back.
    Absence,
    /// The evacuation of its data centre ends.
    Evacuation,
}

/// Load: each instance could send 50 requests a second to one cold server. More than the tolerated
/// number in any second makes it fall; far fewer than it takes would not warm it up.
#[rstest]
fn cold_server_gets_what_it_tolerates_and_is_used(
    #[values(3, 75, 300)] instances: usize,
    #[values(1.0, 10.0, 40.0)] per_second: f64,
    #[values(Told::Entry, Told::Absence, Told::Evacuation)] told: Told,
    #[values(0, 1)] unseen: usize,
) {
    let origin = Instant::now();
    let begin = origin + Duration::from_secs(20);
    let mut rng = SmallRng::seed_from_u64(instances as u64);
    let mut nodes = fleet(instances, unseen, per_second, origin);
    let mut told_at: Vec<Duration> = Vec::new();
    for node in &mut nodes {
        let at = match told {
            Told::Entry => Duration::from_millis(rng.random_range(0..MAX_LIST_AGE_MS)),
            Told::Absence | Told::Evacuation => Duration::ZERO,
        };
        told_at.push(at);
        let server = server("cold");
        let change = match told {
            Told::Entry => node.record_cold(&server, COLD_TIME, begin + at),
            Told::Absence => node.assume_cold(&server, Cause::Absence, begin),
            Told::Evacuation => node.assume_cold(&server, Cause::Evacuation, begin),
        };
        assert!(change.is_some(), "the belief changes");
    }
    let mut arrivals: Vec<Duration> = Vec::new();
    let mut now = Duration::ZERO;
    while now < COLD_TIME {
        for (node, told_at) in nodes.iter_mut().zip(&told_at) {
            if now >= *told_at && node.pass("i-1", 7, begin + now) {
                arrivals.push(now + Duration::from_millis(rng.random_range(0..MAX_TRANSIT_MS)));
            }
        }
        now += STEP;
    }
    arrivals.sort_unstable();
    let in_second = |from: &Duration| {
        arrivals.partition_point(|at| *at < *from + Duration::from_secs(1))
            - arrivals.partition_point(|at| at < from)
    };
    let most = arrivals.iter().map(in_second).max().unwrap_or(0);
    let tolerated = TOLERANCE.overshoot * per_second + TOLERANCE.slack;
    assert!(most as f64 <= tolerated, "{most} in a second, {tolerated} tolerated");
    let used = arrivals.len() as f64 / COLD_TIME.as_secs_f64();
    assert!(used >= 0.5 * per_second, "{used} a second of {per_second}");
}

/// What one instance of a fleet of one believes after some events.
#[rstest]
#[case::no_cold_start("plain", &[(0, Event::Stated(3_000)), (0, Event::Absent)], 1, false)]
#[case::stated("cold", &[(0, Event::Stated(3_000))], 2_900, true)]
#[case::over("cold", &[(0, Event::Stated(3_000))], 3_100, false)]
#[case::stated_warm("cold", &[(0, Event::Stated(3_000)), (500, Event::Stated(0))], 600, false)]
#[case::huge("cold", &[(0, Event::Stated(u64::MAX))], 61_000, false)]
#[case::absent("cold", &[(0, Event::Absent)], 5_900, true)]
#[case::absent_for_long("cold", &[(0, Event::Absent), (5_000, Event::Absent)], 10_900, true)]
#[case::warm_entry_before_its_return("cold", &[(0, Event::Absent), (500, Event::Stated(0))], 600, true)]
#[case::absence_is_over("cold", &[(0, Event::Absent)], 6_100, false)]
#[case::after_an_evacuation("cold", &[(0, Event::Returned)], 2_900, true)]
#[case::warm_after_it("cold", &[(0, Event::Returned)], 3_100, false)]
fn belief_follows_what_was_seen(
    #[case] service: &str,
    #[case] events: &[(u64, Event)],
    #[case] at_ms: u64,
    #[case] is_cold: bool,
) {
    let origin = Instant::now();
    let mut limits = fleet(1, 0, 10.0, origin).remove(0);
    let server = server(service);
    for (at_ms, event) in events {
        let now = origin + Duration::from_millis(*at_ms);
        match event {
            Event::Stated(ms) => limits.record_cold(&server, Duration::from_millis(*ms), now),
            Event::Absent => limits.assume_cold(&server, Cause::Absence, now),
            Event::Returned => limits.assume_cold(&server, Cause::Evacuation, now),
        };
    }
    let now = origin + Duration::from_millis(at_ms);
    assert_eq!(limits.is_cold(&server, now), is_cold);
    assert_eq!(limits.count_cold(now), usize::from(is_cold));
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// The server states to remain cold for so many milliseconds.
    Stated(u64),
    /// The server was not reached.
    Absent,
    /// The evacuation of its data centre has ended.
    Returned,
}

/// An instance that does not know the others yet, or joined a moment ago, may take the share of another.
#[test]
fn instance_without_members_sends_nothing_to_a_cold_server() {
    let now = Instant::now();
    let mut limits = Limits::new("new".into());
    limits.set_cold_starts(&services(10.0));
    limits.record_cold(&server("cold"), COLD_TIME, now);
    assert!(!limits.pass("i-1", 7, now + Duration::from_secs(1)));
    limits.set_members(vec!["new".into()], now);
    assert!(!limits.pass("i-1", 7, now + Duration::from_secs(2)), "the share may be in use");
    assert!(limits.pass("i-1", 7, now + Duration::from_millis(3_100)), "the server is warm");
}
