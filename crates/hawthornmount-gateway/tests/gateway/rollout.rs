//! Decisions of roll-outs.

use {
    hawthornmount_core::id::{ServiceId, VersionId},
    hawthornmount_gateway::{
        load::Load as Places,
        rollout::{
            Phase, Split,
            evidence::{Collector, Observation, Signal, detect_regression},
            plan::{self, Conditions, next},
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
#[case::begins(Step { phase: None, conditions: CONDITIONS, next: Some(Phase::Canary) })]
#[case::not_all_know(Step { phase: None, conditions: Conditions { since_order: Duration::from_millis(1_900), ..CONDITIONS }, next: None })]
#[case::no_servers(Step { phase: None, conditions: Conditions { has_servers: false, ..CONDITIONS }, next: None })]
#[case::first_half(Step { phase: Some(Phase::Canary), conditions: Conditions { since_order: Duration::from_secs(12), ..CONDITIONS }, next: None })]
#[case::second_half(Step { phase: Some(Phase::Canary), conditions: Conditions { since_order: Duration::from_millis(12_400), ..CONDITIONS }, next: Some(Phase::Widening) })]
#[case::widens(Step { phase: Some(Phase::Widening), conditions: CONDITIONS, next: Some(Phase::Full) })]
#[case::widens_later(Step { phase: Some(Phase::Widening), conditions: Conditions { since_phase: Duration::from_secs(1), ..CONDITIONS }, next: None })]
#[case::widens_tested(Step { phase: Some(Phase::Widening), conditions: Conditions { since_phase: Duration::from_millis(2_700), ..CONDITIONS }, next: Some(Phase::Full) })]
#[case::widens_longer_untested(Step { phase: Some(Phase::Widening), conditions: Conditions { is_load_tested: false, since_phase: Duration::from_millis(2_700), ..CONDITIONS }, next: None })]
#[case::completes(Step { phase: Some(Phase::Full), conditions: CONDITIONS, next: Some(Phase::Completed) })]
#[case::old_still_runs(Step { phase: Some(Phase::Full), conditions: Conditions { is_old_version_idle: false, since_order: Duration::from_secs(21), ..CONDITIONS }, next: None })]
#[case::ends_in_time(Step { phase: Some(Phase::Full), conditions: Conditions { is_old_version_idle: false, since_order: Duration::from_secs(23), ..CONDITIONS }, next: Some(Phase::Completed) })]
#[case::bad_canary(Step { phase: Some(Phase::Canary), conditions: Conditions { is_bad: true, ..CONDITIONS }, next: Some(Phase::RolledBack) })]
#[case::bad_at_last(Step { phase: Some(Phase::Full), conditions: Conditions { is_bad: true, ..CONDITIONS }, next: Some(Phase::RolledBack) })]
#[case::over(Step { phase: Some(Phase::Completed), conditions: Conditions { is_bad: true, ..CONDITIONS }, next: None })]
#[case::rolled_back(Step { phase: Some(Phase::RolledBack), conditions: CONDITIONS, next: None })]
fn phases_follow_one_another(#[case] step: Step) {
    assert_eq!(next(step.phase, &step.conditions), step.next);
}

/// A version that is bad from some moment on, played against the plan: how many requests it gets
/// until the roll-back, of 51 a second over nine instances, evidence being a second old.
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
        if let Some(next) = next(phase, &conditions) {
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
#[case::at_once(0.0, 0.32)]
#[case::late(3.0, 0.5)]
#[case::when_it_widens(12.3, 0.3)]
#[case::under_full_load(14.2, 0.4)]
fn bad_version_stays_within_the_exposure(#[case] bad_from: f64, #[case] share: f64) {
    for duration in [16.0, 24.0].map(Duration::from_secs_f64) {
        let bad_from = Duration::from_secs_f64(bad_from * duration.as_secs_f64() / 24.0);
        let (new, all) = exposure(duration, bad_from, share);
        assert!(new <= 0.15 * all + 30.0, "{new} of {all} in {duration:?}");
    }
}

/// Sessions that were active before a roll-out and go on at an instance that doesn't know them. The
/// users allow three requests of a day to change their version, and some 120 sessions of a calm day go
/// on elsewhere in that time.
#[test]
fn sessions_that_go_on_elsewhere_seldom_change_their_version() {
    let (mut elsewhere, now) = (Sessions::default(), Instant::now());
    let canary = split(Phase::Canary);
    let sides = sessions().map(|session| elsewhere.side(&canary, &session, true, now));
    let changed = sides.filter(|side| *side == Side::New).count();
    let allowed = sessions().count() * 3 / 120;
    assert!(changed <= allowed, "{changed}, {allowed} allowed");
}

#[test]
fn larger_fleets_move_as_many_sessions_to_a_new_version_at_first() {
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
fn small_share_of_new_sessions_is_exposed_and_none_moves_in_the_first_half() {
    let (mut kept, now) = (Sessions::default(), Instant::now());
    for session in sessions().take(500) {
        kept.assign_old(&"s".into(), &session, now);
    }
    let mut new = 0;
    for (at, session) in sessions().enumerate() {
        let side = kept.side(&split(Phase::Canary), &session, true, now);
        assert!(at >= 500 || side == Side::Old, "an old session moved");
        new += u32::from(side == Side::New);
        assert_eq!(kept.side(&split(Phase::Canary), &session, true, now), side);
    }
    assert!((30..90).contains(&new), "{new} of 1500");
}

#[test]
fn sessions_of_the_new_version_stay_unless_it_is_rolled_back() {
    let (mut kept, now) = (Sessions::default(), Instant::now());
    let side = |kept: &mut Sessions, phase, session: &std::sync::Arc<str>| {
        kept.side(&split(phase), session, true, now)
    };
    let exposed: Vec<_> =
        sessions().filter(|session| side(&mut kept, Phase::Canary, session) == Side::New).collect();
    assert!(!exposed.is_empty());
    for session in &exposed {
        assert_eq!(side(&mut kept, Phase::Widening, session), Side::New);
        assert_eq!(side(&mut kept, Phase::Full, session), Side::New);
        assert_eq!(side(&mut kept, Phase::RolledBack, session), Side::Old);
    }
}

#[test]
fn every_instance_draws_alike() {
    let now = Instant::now();
    let (mut one, mut other) = (Sessions::default(), Sessions::default());
    for session in sessions() {
        let split = split(Phase::Widening);
        assert_eq!(one.side(&split, &session, true, now), other.side(&split, &session, true, now));
    }
}

#[test]
fn exposure_is_metered_and_stops_when_the_phase_may_be_old() {
    let (mut exposure, now) = (Exposure::default(), Instant::now());
    let canary = split(Phase::Canary);
    // Sessions that are all drawn for the new version.
    let mut probe = Sessions::default();
    let drawn: Vec<_> =
        sessions().filter(|session| probe.side(&canary, session, true, now) == Side::New).collect();
    let sides = drawn.iter().map(|session| exposure.side(&canary, session, true, true, now));
    let new = sides.filter(|side| *side == Side::New).count();
    assert!(new * 3 < drawn.len(), "{new} of {}", drawn.len());
    for session in &drawn {
        assert_eq!(exposure.side(&canary, session, true, false, now), Side::Old);
    }
}

/// Returns the end of an attempt at a server with 10 places.
fn end<'a>(
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
        is_concentrated: false,
        is_only_version: false,
        uncached_tokens: 0,
        load: running.map(|running| Places { running, waiting: 0, slots: 10 }),
        signal,
    }
}

fn note(
    collector: &mut Collector,
    version: &str,
    route: &str,
    running: Option<u32>,
    signal: Signal,
) {
    collector.record(&end(&"s".into(), &version.into(), &route.into(), running, signal));
}

fn speaks_against_v2(collector: &Collector) -> bool {
    let (service, version) = ("s".into(), "v2".into());
    detect_regression(
        collector.failures(&service, &version).iter(),
        collector.latencies(&service, &version).iter(),
    )
    .is_some()
}

struct Load {
    old: (u32, u32),
    new: (u32, u32),
    is_bad: bool,
}

#[rstest]
#[case::good(Load { old: (300, 3), new: (40, 1), is_bad: false })]
#[case::few(Load { old: (300, 3), new: (2, 2), is_bad: false })]
#[case::errors(Load { old: (300, 3), new: (12, 4), is_bad: true })]
#[case::bad_day_for_all(Load { old: (300, 90), new: (40, 14), is_bad: false })]
fn evidence_is_weighed_against_the_other_versions(#[case] load: Load) {
    let mut collector = Collector::default();
    for (version, (all, bad)) in [("v1", load.old), ("v2", load.new)] {
        for at in 0..all {
            let signal =
                if at < bad { Signal::Failed } else { Signal::Started(Duration::from_millis(50)) };
            note(&mut collector, version, ["r1", "r2"][at as usize % 2], None, signal);
        }
    }
    assert_eq!(speaks_against_v2(&collector), load.is_bad);
}

#[test]
fn version_that_is_much_slower_on_one_route_is_seen() {
    let mut collector = Collector::default();
    let began = |millis| Signal::Started(Duration::from_millis(millis));
    for _ in 0..100 {
        note(&mut collector, "v1", "common", None, began(80));
        note(&mut collector, "v1", "rare", None, began(100));
    }
    for _ in 0..40 {
        note(&mut collector, "v2", "common", None, began(90));
    }
    for _ in 0..8 {
        note(&mut collector, "v2", "rare", None, began(800));
    }
    assert!(speaks_against_v2(&collector));
}

#[test]
fn version_that_fails_under_load_only_is_seen() {
    let mut collector = Collector::default();
    let began = Signal::Started(Duration::from_millis(80));
    for running in 0..200 {
        note(&mut collector, "v1", "common", Some(running % 7), began);
        note(&mut collector, "v2", "common", Some(running % 4), began);
    }
    for _ in 0..4 {
        note(&mut collector, "v2", "common", Some(6), began);
    }
    assert!(!speaks_against_v2(&collector));
    for _ in 0..3 {
        note(&mut collector, "v2", "common", Some(6), Signal::Failed);
    }
    assert!(speaks_against_v2(&collector));
}

#[test]
fn few_failures_of_filled_servers_speak_against_a_version_whose_others_are_never_filled() {
    let mut collector = Collector::default();
    let began = Signal::Started(Duration::from_millis(80));
    for _ in 0..200 {
        note(&mut collector, "v1", "common", Some(2), began);
    }
    for at in 0..120 {
        note(&mut collector, "v2", ["r1", "r2"][at % 2], Some(2), began);
    }
    for at in 0..6 {
        let signal = if at % 2 == 0 { Signal::Failed } else { began };
        note(&mut collector, "v2", ["r1", "r2", "r3"][at % 3], Some(6), signal);
    }
    assert!(speaks_against_v2(&collector));
}

#[test]
fn slow_version_is_seen_while_a_trial_fills_its_server() {
    let mut collector = Collector::default();
    let (service, old, new, route) = ("s".into(), "v1".into(), "v2".into(), "r1".into());
    for at in 0..40 {
        let usual = Signal::EventGap(Duration::from_millis(20 + at % 5));
        collector.record(&end(&service, &old, &route, Some(1), usual));
    }
    for at in 0..16 {
        let signal = Signal::EventGap(Duration::from_millis(if at % 2 == 0 { 22 } else { 176 }));
        let end = end(&service, &new, &route, Some(1), signal);
        collector.record(&Observation { is_concentrated: true, ..end });
    }
    assert!(speaks_against_v2(&collector));
}

#[test]
fn version_whose_events_come_slowly_is_seen() {
    let mut collector = Collector::default();
    for _ in 0..60 {
        note(&mut collector, "v1", "r1", None, Signal::Started(Duration::from_millis(40)));
        note(&mut collector, "v1", "r1", None, Signal::EventGap(Duration::from_millis(20)));
    }
    for _ in 0..4 {
        note(&mut collector, "v2", "r1", None, Signal::Started(Duration::from_millis(60)));
        note(&mut collector, "v2", "r1", None, Signal::EventGap(Duration::from_millis(30)));
    }
    assert!(!speaks_against_v2(&collector));
    for _ in 0..3 {
        note(&mut collector, "v2", "r1", None, Signal::Started(Duration::from_millis(60)));
        note(&mut collector, "v2", "r1", None, Signal::EventGap(Duration::from_millis(160)));
    }
    assert!(speaks_against_v2(&collector));
}

#[test]
fn slow_answers_of_every_version_do_not_hide_failures() {
    let mut collector = Collector::default();
    for at in 0..60 {
        let millis = if at % 3 == 0 { 900 } else { 40 };
        note(&mut collector, "v1", "r1", None, Signal::Started(Duration::from_millis(millis)));
    }
    for _ in 0..3 {
        note(&mut collector, "v2", "r1", None, Signal::Started(Duration::from_millis(40)));
        note(&mut collector, "v2", "r1", None, Signal::Failed);
    }
    assert!(speaks_against_v2(&collector));
}

#[test]
fn routine_reports_of_a_large_fleet_are_no_more_than_of_a_small_one() {
    let writes = |instances: usize| {
        instances as f64 / plan::routine_report_interval(instances).as_secs_f64()
    };
    assert!(writes(9) <= 3.6);
    assert!(writes(66) <= 3.7, "{}", writes(66));
    // A larger fleet still tells them within a roll-out.
    assert!(plan::routine_report_interval(370) <= Duration::from_secs(20));
}

#[test]
fn instance_that_has_just_started_judges_by_the_reports_of_others() {
    let (service, version) = ("s".into(), "v2".into());
    let (mut before, mut own) = (Collector::default(), Collector::default());
    for at in 0..40 {
        let millis = 20 + at % 5;
        note(&mut before, "v1", "r1", None, Signal::EventGap(Duration::from_millis(millis)));
    }
    for at in 0..16 {
        // Half of the answers are eight times slower.
        let millis = if at % 2 == 0 { 22 } else { 176 };
        note(&mut own, "v2", "r1", None, Signal::EventGap(Duration::from_millis(millis)));
    }
    assert!(!speaks_against_v2(&own));
    let lines = own.failures(&service, &version);
    let (reported, seen) =
        (before.latencies(&service, &version), own.latencies(&service, &version));
    assert!(detect_regression(lines.iter(), seen.iter().chain(&reported)).is_some());
}

#[test]
fn connections_that_break_with_the_network_do_not_speak_against_a_version() {
    let mut collector = Collector::default();
    let began = Signal::Started(Duration::from_millis(40));
    for _ in 0..400 {
        note(&mut collector, "v1", "r1", None, began);
    }
    // The new version has every request by now, and a part of its servers is cut off.
    for at in 0..300 {
        note(&mut collector, "v2", "r1", None, if at % 6 == 0 { Signal::Broken } else { began });
    }
    assert!(!speaks_against_v2(&collector));
    // A version that breaks off half of its answers is seen all the same.
    for at in 0..300 {
        note(&mut collector, "v2", "r1", None, if at % 4 != 0 { Signal::Broken } else { began });
    }
    assert!(speaks_against_v2(&collector));
}

#[test]
fn answers_that_wait_because_one_version_has_all_requests_do_not_speak_against_it() {
    let mut collector = Collector::default();
    for _ in 0..100 {
        note(&mut collector, "v1", "r1", None, Signal::Started(Duration::from_millis(40)));
    }
    for _ in 0..60 {
        let signal = Signal::Started(Duration::from_millis(300));
        let (service, version, route) = ("s".into(), "v2".into(), "r1".into());
        collector.record(&Observation {
            is_only_version: true,
            ..end(&service, &version, &route, None, signal)
        });
    }
    assert!(!speaks_against_v2(&collector));
}

proptest! {
    #[test]
    fn versions_of_like_pace_are_not_told_apart(
        times in proptest::collection::vec(1_u64..4_000, 1..200),
    ) {
        let mut collector = Collector::default();
        for millis in &times {
            for version in ["v1", "v2"] {
                note(&mut collector, version, "r1", None, Signal::Started(Duration::from_millis(*millis)));
            }
        }
        prop_assert!(!speaks_against_v2(&collector));
    }
}

#[test]
fn session_keeps_its_version_through_a_long_request_and_a_pause() {
    let (mut kept, began) = (Sessions::default(), Instant::now());
    // The request lasts 25 s; the next one of the session comes 6.5 s after its end.
    let next = began + Duration::from_millis(31_500);
    for session in sessions() {
        kept.assign_old(&"s".into(), &session, began);
        let side = kept.side(&split(Phase::Canary), &session, true, next);
        assert_eq!(side, Side::Old);
    }
}

#[test]
fn session_that_goes_on_at_another_instance_never_moves_back() {
    let now = Instant::now();
    for (before, after) in [(Phase::Canary, Phase::Widening), (Phase::Widening, Phase::Full)] {
        for session in sessions() {
            let (mut one, mut other) = (Exposure::default(), Exposure::default());
            let first = one.side(&split(before), &session, true, true, now);
            let second = other.side(&split(after), &session, true, true, now);
            assert!(first == Side::Old || second == Side::New, "{session} moved back");
        }
    }
}
