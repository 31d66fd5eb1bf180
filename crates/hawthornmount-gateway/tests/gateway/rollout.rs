//! Tests of the decisions of roll-outs.

use {
    hawthornmount_core::id::{ServiceId, VersionId},
    hawthornmount_gateway::{
        load::Load as ServerLoad,
        rollout::{
            Phase, Split,
            evidence::{Collector, Observation, Signal, detect_regression},
            plan::{self, Conditions, next_phase},
            sessions::{Exposure, Sessions, Side},
        },
        route::RouteId,
    },
    proptest::prelude::*,
    rstest::rstest,
    std::time::{Duration, Instant},
};

const CONDITIONS: Conditions = Conditions {
    since_order: Duration::from_secs(100),
    since_phase: Duration::from_secs(100),
    duration: Duration::from_secs(24),
    visibility_delay: Duration::from_secs(2),
    is_bad: false,
    is_load_tested: true,
    has_servers: true,
    is_old_version_idle: true,
};

struct Step {
    phase: Option<Phase>,
    conditions: Conditions,
    next: Option<Phase>,
}

#[rstest]
#[case::starts(Step { phase: None, conditions: CONDITIONS, next: Some(Phase::Canary) })]
#[case::order_not_visible_everywhere(Step { phase: None, conditions: Conditions { since_order: Duration::from_millis(1_900), ..CONDITIONS }, next: None })]
#[case::no_servers(Step { phase: None, conditions: Conditions { has_servers: false, ..CONDITIONS }, next: None })]
#[case::canary_in_first_half(Step { phase: Some(Phase::Canary), conditions: Conditions { since_order: Duration::from_secs(12), ..CONDITIONS }, next: None })]
#[case::widens_in_second_half(Step { phase: Some(Phase::Canary), conditions: Conditions { since_order: Duration::from_millis(12_400), ..CONDITIONS }, next: Some(Phase::Widening) })]
#[case::becomes_full(Step { phase: Some(Phase::Widening), conditions: CONDITIONS, next: Some(Phase::Full) })]
#[case::widening_too_short(Step { phase: Some(Phase::Widening), conditions: Conditions { since_phase: Duration::from_secs(1), ..CONDITIONS }, next: None })]
#[case::becomes_full_early_when_tested(Step { phase: Some(Phase::Widening), conditions: Conditions { since_phase: Duration::from_millis(2_700), ..CONDITIONS }, next: Some(Phase::Full) })]
#[case::widening_lasts_longer_when_untested(Step { phase: Some(Phase::Widening), conditions: Conditions { is_load_tested: false, since_phase: Duration::from_millis(2_700), ..CONDITIONS }, next: None })]
#[case::completes(Step { phase: Some(Phase::Full), conditions: CONDITIONS, next: Some(Phase::Completed) })]
#[case::waits_for_old_version(Step { phase: Some(Phase::Full), conditions: Conditions { is_old_version_idle: false, since_order: Duration::from_secs(21), ..CONDITIONS }, next: None })]
#[case::completes_when_out_of_time(Step { phase: Some(Phase::Full), conditions: Conditions { is_old_version_idle: false, since_order: Duration::from_secs(23), ..CONDITIONS }, next: Some(Phase::Completed) })]
#[case::bad_canary(Step { phase: Some(Phase::Canary), conditions: Conditions { is_bad: true, ..CONDITIONS }, next: Some(Phase::RolledBack) })]
#[case::bad_when_full(Step { phase: Some(Phase::Full), conditions: Conditions { is_bad: true, ..CONDITIONS }, next: Some(Phase::RolledBack) })]
#[case::over(Step { phase: Some(Phase::Completed), conditions: Conditions { is_bad: true, ..CONDITIONS }, next: None })]
#[case::rolled_back(Step { phase: Some(Phase::RolledBack), conditions: CONDITIONS, next: None })]
fn next_phase_follows_from_the_conditions(#[case] step: Step) {
    assert_eq!(next_phase(step.phase, &step.conditions), step.next);
}

/// Simulates a roll-out whose version is bad from `bad_from` on, and returns the requests that the
/// new version gets until the roll-back, and all requests. The fleet of nine instances gets 51
/// requests a second, and evidence is one second old when it takes effect.
fn exposure(duration: Duration, bad_from: Duration, bad_share: f64) -> (f64, f64) {
    const PER_SECOND: f64 = 51.0;
    const STEP: Duration = Duration::from_millis(100);
    const EVIDENCE_AGE: Duration = Duration::from_secs(1);
    let (mut now, mut since_phase) = (Duration::ZERO, Duration::ZERO);
    let (mut phase, mut new, mut bad) = (None, 0.0, Vec::new());
    while now < duration {
        let known: f64 =
            bad.iter().filter(|(at, _)| *at + EVIDENCE_AGE <= now).map(|(_, count)| count).sum();
        let conditions = Conditions {
            since_order: now,
            since_phase,
            duration,
            is_bad: known >= 4.0,
            ..CONDITIONS
        };
        if let Some(next) = next_phase(phase, &conditions) {
            phase = Some(next);
            since_phase = Duration::ZERO;
        }
        let got = PER_SECOND * STEP.as_secs_f64() * phase.map_or(0.0, |phase| split(phase).share());
        new += got;
        if now >= bad_from {
            bad.push((now, got * bad_share));
        }
        now += STEP;
        since_phase += STEP;
    }
    (new, PER_SECOND * duration.as_secs_f64())
}

#[rstest]
#[case::from_the_start(0.0, 0.32)]
#[case::in_canary_phase(3.0, 0.5)]
#[case::at_start_of_widening(12.3, 0.3)]
#[case::shortly_before_full_phase(14.2, 0.4)]
fn bad_version_stays_within_the_allowed_exposure(#[case] bad_from: f64, #[case] share: f64) {
    for duration in [16.0, 24.0].map(Duration::from_secs_f64) {
        let bad_from = Duration::from_secs_f64(bad_from * duration.as_secs_f64() / 24.0);
        let (new, all) = exposure(duration, bad_from, share);
        assert!(new <= 0.15 * all + 30.0, "{new} of {all} in {duration:?}");
    }
}

/// Guards against moving too many sessions that were active before the roll-out and continue at an
/// instance that doesn't know them. The users allow three requests a day to change their version;
/// on a calm day about 120 sessions continue at another instance.
#[test]
fn sessions_that_continue_at_another_instance_seldom_change_their_version() {
    let (mut other_instance, now) = (Sessions::default(), Instant::now());
    let canary = split(Phase::Canary);
    let sides = sessions().map(|session| other_instance.assign_side(&canary, &session, true, now));
    let changed = sides.filter(|side| *side == Side::New).count();
    let allowed = sessions().count() * 3 / 120;
    assert!(changed <= allowed, "{changed}, {allowed} allowed");
}

#[test]
fn canary_share_moves_equally_many_sessions_in_larger_fleets() {
    let moved = |instances: usize| plan::canary_share(instances) * instances as f64;
    assert!((moved(9) - moved(370)).abs() < 1e-9);
    assert!(plan::canary_share(1) <= plan::canary_share(9));
}

fn split(phase: Phase) -> Split {
    Split { service: "s".into(), version: "v2".into(), phase, canary_share: plan::canary_share(9) }
}

fn sessions() -> impl Iterator<Item = std::sync::Arc<str>> {
    (0..2_000).map(|at| format!("session-{at}").into())
}

#[test]
fn canary_phase_exposes_few_new_sessions_and_moves_no_old_session() {
    let (mut assigned, now) = (Sessions::default(), Instant::now());
    for session in sessions().take(500) {
        assigned.assign_old(&"s".into(), &session, now);
    }
    let mut new = 0;
    for (at, session) in sessions().enumerate() {
        let side = assigned.assign_side(&split(Phase::Canary), &session, true, now);
        assert!(at >= 500 || side == Side::Old, "an active session moved");
        new += u32::from(side == Side::New);
        assert_eq!(assigned.assign_side(&split(Phase::Canary), &session, true, now), side);
    }
    assert!((30..90).contains(&new), "{new} of 1500");
}

#[test]
fn sessions_stay_on_the_new_version_unless_it_is_rolled_back() {
    let (mut assigned, now) = (Sessions::default(), Instant::now());
    let side = |assigned: &mut Sessions, phase, session: &std::sync::Arc<str>| {
        assigned.assign_side(&split(phase), session, true, now)
    };
    let exposed: Vec<_> = sessions()
        .filter(|session| side(&mut assigned, Phase::Canary, session) == Side::New)
        .collect();
    assert!(!exposed.is_empty());
    for session in &exposed {
        assert_eq!(side(&mut assigned, Phase::Widening, session), Side::New);
        assert_eq!(side(&mut assigned, Phase::Full, session), Side::New);
        assert_eq!(side(&mut assigned, Phase::RolledBack, session), Side::Old);
    }
}

#[test]
fn all_instances_assign_sessions_alike() {
    let now = Instant::now();
    let (mut one, mut other) = (Sessions::default(), Sessions::default());
    for session in sessions() {
        let split = split(Phase::Widening);
        assert_eq!(
            one.assign_side(&split, &session, true, now),
            other.assign_side(&split, &session, true, now)
        );
    }
}

#[test]
fn exposure_is_limited_and_stops_when_the_phase_may_be_outdated() {
    let (mut exposure, now) = (Exposure::default(), Instant::now());
    let canary = split(Phase::Canary);
    // Sessions that are all assigned to the new version.
    let mut unlimited = Sessions::default();
    let new_sessions: Vec<_> = sessions()
        .filter(|session| unlimited.assign_side(&canary, session, true, now) == Side::New)
        .collect();
    let sides =
        new_sessions.iter().map(|session| exposure.assign_side(&canary, session, true, true, now));
    let new = sides.filter(|side| *side == Side::New).count();
    assert!(new * 3 < new_sessions.len(), "{new} of {}", new_sessions.len());
    for session in &new_sessions {
        assert_eq!(exposure.assign_side(&canary, session, true, false, now), Side::Old);
    }
}

/// Returns an observation at a server with 10 slots.
fn observation<'a>(
    service: &'a ServiceId,
    version: &'a VersionId,
    route: &'a RouteId,
    running: Option<u32>,
    signal: Signal,
) -> Observation<'a> {
    Observation {
        service,
        version,
        route,
        model: None,
        is_trial: false,
        is_only_version: false,
        uncached_tokens: 0,
        load: running.map(|running| ServerLoad { running, waiting: 0, slots: 10 }),
        signal,
    }
}

fn record(
    collector: &mut Collector,
    version: &str,
    route: &str,
    running: Option<u32>,
    signal: Signal,
) {
    collector.record(&observation(&"s".into(), &version.into(), &route.into(), running, signal));
}

fn is_v2_bad(collector: &Collector) -> bool {
    let (service, version) = ("s".into(), "v2".into());
    detect_regression(
        collector.failures(&service, &version).iter(),
        collector.latencies(&service, &version).iter(),
    )
    .is_some()
}

struct FailureCase {
    old: (u32, u32),
    new: (u32, u32),
    is_bad: bool,
}

#[rstest]
#[case::good(FailureCase { old: (300, 3), new: (40, 1), is_bad: false })]
#[case::too_few_responses(FailureCase { old: (300, 3), new: (2, 2), is_bad: false })]
#[case::more_failures(FailureCase { old: (300, 3), new: (12, 4), is_bad: true })]
#[case::all_versions_fail_as_often(FailureCase { old: (300, 90), new: (40, 14), is_bad: false })]
fn failures_are_compared_with_those_of_the_other_versions(#[case] case: FailureCase) {
    let mut collector = Collector::default();
    for (version, (all, bad)) in [("v1", case.old), ("v2", case.new)] {
        for at in 0..all {
            let signal =
                if at < bad { Signal::Failed } else { Signal::Started(Duration::from_millis(50)) };
            record(&mut collector, version, ["r1", "r2"][at as usize % 2], None, signal);
        }
    }
    assert_eq!(is_v2_bad(&collector), case.is_bad);
}

#[test]
fn version_that_is_much_slower_on_one_route_is_detected() {
    let mut collector = Collector::default();
    let started = |millis| Signal::Started(Duration::from_millis(millis));
    for _ in 0..100 {
        record(&mut collector, "v1", "common", None, started(80));
        record(&mut collector, "v1", "rare", None, started(100));
    }
    for _ in 0..40 {
        record(&mut collector, "v2", "common", None, started(90));
    }
    for _ in 0..8 {
        record(&mut collector, "v2", "rare", None, started(800));
    }
    assert!(is_v2_bad(&collector));
}

#[test]
fn version_that_fails_only_under_load_is_detected() {
    let mut collector = Collector::default();
    let started = Signal::Started(Duration::from_millis(80));
    for running in 0..200 {
        record(&mut collector, "v1", "common", Some(running % 7), started);
        record(&mut collector, "v2", "common", Some(running % 4), started);
    }
    for _ in 0..4 {
        record(&mut collector, "v2", "common", Some(6), started);
    }
    assert!(!is_v2_bad(&collector));
    for _ in 0..3 {
        record(&mut collector, "v2", "common", Some(6), Signal::Failed);
    }
    assert!(is_v2_bad(&collector));
}

#[test]
fn few_failures_under_load_are_detected_if_other_versions_are_never_loaded() {
    let mut collector = Collector::default();
    let started = Signal::Started(Duration::from_millis(80));
    for _ in 0..200 {
        record(&mut collector, "v1", "common", Some(2), started);
    }
    for at in 0..120 {
        record(&mut collector, "v2", ["r1", "r2"][at % 2], Some(2), started);
    }
    for at in 0..6 {
        let signal = if at % 2 == 0 { Signal::Failed } else { started };
        record(&mut collector, "v2", ["r1", "r2", "r3"][at % 3], Some(6), signal);
    }
    assert!(is_v2_bad(&collector));
}

#[test]
fn slow_version_is_detected_during_its_trial() {
    let mut collector = Collector::default();
    let (service, old, new, route) = ("s".into(), "v1".into(), "v2".into(), "r1".into());
    for at in 0..40 {
        let typical = Signal::EventGap(Duration::from_millis(20 + at % 5));
        collector.record(&observation(&service, &old, &route, Some(1), typical));
    }
    for at in 0..16 {
        let signal = Signal::EventGap(Duration::from_millis(if at % 2 == 0 { 22 } else { 176 }));
        let base = observation(&service, &new, &route, Some(1), signal);
        collector.record(&Observation { is_trial: true, ..base });
    }
    assert!(is_v2_bad(&collector));
}

#[test]
fn version_with_long_event_gaps_is_detected() {
    let mut collector = Collector::default();
    for _ in 0..60 {
        record(&mut collector, "v1", "r1", None, Signal::Started(Duration::from_millis(40)));
        record(&mut collector, "v1", "r1", None, Signal::EventGap(Duration::from_millis(20)));
    }
    for _ in 0..4 {
        record(&mut collector, "v2", "r1", None, Signal::Started(Duration::from_millis(60)));
        record(&mut collector, "v2", "r1", None, Signal::EventGap(Duration::from_millis(30)));
    }
    assert!(!is_v2_bad(&collector));
    for _ in 0..3 {
        record(&mut collector, "v2", "r1", None, Signal::Started(Duration::from_millis(60)));
        record(&mut collector, "v2", "r1", None, Signal::EventGap(Duration::from_millis(160)));
    }
    assert!(is_v2_bad(&collector));
}

#[test]
fn slow_responses_of_all_versions_do_not_hide_failures() {
    let mut collector = Collector::default();
    for at in 0..60 {
        let millis = if at % 3 == 0 { 900 } else { 40 };
        record(&mut collector, "v1", "r1", None, Signal::Started(Duration::from_millis(millis)));
    }
    for _ in 0..3 {
        record(&mut collector, "v2", "r1", None, Signal::Started(Duration::from_millis(40)));
        record(&mut collector, "v2", "r1", None, Signal::Failed);
    }
    assert!(is_v2_bad(&collector));
}

#[test]
fn large_fleet_writes_no_more_routine_reports_than_a_small_one() {
    let writes = |instances: usize| {
        instances as f64 / plan::routine_report_interval(instances).as_secs_f64()
    };
    assert!(writes(9) <= 3.6);
    assert!(writes(66) <= 3.7, "{}", writes(66));
    // A larger fleet still writes a routine report within a roll-out.
    assert!(plan::routine_report_interval(370) <= Duration::from_secs(20));
}

#[test]
fn new_instance_uses_the_reports_of_other_instances() {
    let (service, version) = ("s".into(), "v2".into());
    let (mut before, mut own) = (Collector::default(), Collector::default());
    for at in 0..40 {
        let millis = 20 + at % 5;
        record(&mut before, "v1", "r1", None, Signal::EventGap(Duration::from_millis(millis)));
    }
    for at in 0..16 {
        // Half of the responses are eight times slower.
        let millis = if at % 2 == 0 { 22 } else { 176 };
        record(&mut own, "v2", "r1", None, Signal::EventGap(Duration::from_millis(millis)));
    }
    assert!(!is_v2_bad(&own));
    let failures = own.failures(&service, &version);
    let (reported, latencies) =
        (before.latencies(&service, &version), own.latencies(&service, &version));
    assert!(detect_regression(failures.iter(), latencies.iter().chain(&reported)).is_some());
}

#[test]
fn connections_interrupted_by_the_network_do_not_count_against_a_version() {
    let mut collector = Collector::default();
    let started = Signal::Started(Duration::from_millis(40));
    for _ in 0..400 {
        record(&mut collector, "v1", "r1", None, started);
    }
    // The new version gets all requests by now, and some of its servers are unreachable.
    for at in 0..300 {
        record(
            &mut collector,
            "v2",
            "r1",
            None,
            if at % 6 == 0 { Signal::Broken } else { started },
        );
    }
    assert!(!is_v2_bad(&collector));
    // A version that interrupts most of its responses is still detected.
    for at in 0..300 {
        record(
            &mut collector,
            "v2",
            "r1",
            None,
            if at % 4 != 0 { Signal::Broken } else { started },
        );
    }
    assert!(is_v2_bad(&collector));
}

#[test]
fn longer_waits_do_not_count_against_the_only_version() {
    let mut collector = Collector::default();
    for _ in 0..100 {
        record(&mut collector, "v1", "r1", None, Signal::Started(Duration::from_millis(40)));
    }
    for _ in 0..60 {
        let signal = Signal::Started(Duration::from_millis(300));
        let (service, version, route) = ("s".into(), "v2".into(), "r1".into());
        collector.record(&Observation {
            is_only_version: true,
            ..observation(&service, &version, &route, None, signal)
        });
    }
    assert!(!is_v2_bad(&collector));
}

proptest! {
    #[test]
    fn equally_fast_versions_are_not_distinguished(
        times in proptest::collection::vec(1_u64..4_000, 1..200),
    ) {
        let mut collector = Collector::default();
        for millis in &times {
            for version in ["v1", "v2"] {
                let started = Signal::Started(Duration::from_millis(*millis));
                record(&mut collector, version, "r1", None, started);
            }
        }
        prop_assert!(!is_v2_bad(&collector));
    }
}

#[test]
fn session_keeps_its_version_after_a_long_request_and_a_pause() {
    let (mut assigned, started) = (Sessions::default(), Instant::now());
    // The request lasts 25 s; the next one of the session comes 6.5 s after its end.
    let next = started + Duration::from_millis(31_500);
    for session in sessions() {
        assigned.assign_old(&"s".into(), &session, started);
        let side = assigned.assign_side(&split(Phase::Canary), &session, true, next);
        assert_eq!(side, Side::Old);
    }
}

#[test]
fn session_that_continues_at_another_instance_never_moves_back() {
    let now = Instant::now();
    for (before, after) in [(Phase::Canary, Phase::Widening), (Phase::Widening, Phase::Full)] {
        for session in sessions() {
            let (mut one, mut other) = (Exposure::default(), Exposure::default());
            let first = one.assign_side(&split(before), &session, true, true, now);
            let second = other.assign_side(&split(after), &session, true, true, now);
            assert!(first == Side::Old || second == Side::New, "{session} moved back");
        }
    }
}
