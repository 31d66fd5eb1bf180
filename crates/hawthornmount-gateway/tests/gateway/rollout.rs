//! Tests of the decisions of roll-outs.

use {
    hawthornmount_core::id::{RequestId, ServiceId, VersionId},
    hawthornmount_gateway::{
        load::Load as ServerLoad,
        rollout::{
            Phase, Split,
            evidence::{Collector, Observation, Signal, could_load, detect_regression},
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
    is_doubtful: false,
    is_load_tested: true,
    is_load_testable: false,
    has_servers: true,
    is_old_version_idle: true,
    allowed_exposure: 0.12,
    slack_exposure: 0.0,
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
#[case::probes_in_second_half(Step { phase: Some(Phase::Canary), conditions: Conditions { since_order: Duration::from_millis(12_400), ..CONDITIONS }, next: Some(Phase::Probe) })]
#[case::short_one_is_not_probed(Step { phase: Some(Phase::Canary), conditions: Conditions { since_order: Duration::from_millis(6_400), duration: Duration::from_secs(12), ..CONDITIONS }, next: Some(Phase::Widening) })]
#[case::probe_too_short(Step { phase: Some(Phase::Probe), conditions: Conditions { since_phase: Duration::from_millis(1_800), since_order: Duration::from_secs(14), ..CONDITIONS }, next: None })]
#[case::widens_after_the_probe(Step { phase: Some(Phase::Probe), conditions: CONDITIONS, next: Some(Phase::Widening) })]
#[case::testable_probe_ends(Step { phase: Some(Phase::Probe), conditions: Conditions { is_load_tested: false, is_load_testable: true, since_order: Duration::from_secs(15), ..CONDITIONS }, next: Some(Phase::Widening) })]
#[case::untested_probe_goes_on(Step { phase: Some(Phase::Probe), conditions: Conditions { is_load_tested: false, since_order: Duration::from_secs(21), ..CONDITIONS }, next: None })]
#[case::untested_version_becomes_full_late(Step { phase: Some(Phase::Probe), conditions: Conditions { is_load_tested: false, since_order: Duration::from_millis(22_500), ..CONDITIONS }, next: Some(Phase::Full) })]
#[case::completes_at_the_last_moment(Step { phase: Some(Phase::Full), conditions: Conditions { is_old_version_idle: false, since_order: Duration::from_secs(23), since_phase: Duration::from_millis(700), ..CONDITIONS }, next: Some(Phase::Completed) })]
#[case::bad_probe(Step { phase: Some(Phase::Probe), conditions: Conditions { is_bad: true, ..CONDITIONS }, next: Some(Phase::RolledBack) })]
#[case::becomes_full(Step { phase: Some(Phase::Widening), conditions: CONDITIONS, next: Some(Phase::Full) })]
#[case::widening_too_short(Step { phase: Some(Phase::Widening), conditions: Conditions { since_phase: Duration::from_secs(1), ..CONDITIONS }, next: None })]
#[case::becomes_full_early_when_tested(Step { phase: Some(Phase::Widening), conditions: Conditions { since_phase: Duration::from_millis(2_700), ..CONDITIONS }, next: Some(Phase::Full) })]
#[case::widening_lasts_longer_when_untested(Step { phase: Some(Phase::Widening), conditions: Conditions { is_load_tested: false, since_phase: Duration::from_millis(2_700), ..CONDITIONS }, next: None })]
#[case::completes(Step { phase: Some(Phase::Full), conditions: CONDITIONS, next: Some(Phase::Completed) })]
#[case::waits_for_old_version(Step { phase: Some(Phase::Full), conditions: Conditions { is_old_version_idle: false, since_order: Duration::from_secs(21), ..CONDITIONS }, next: None })]
#[case::completes_when_out_of_time(Step { phase: Some(Phase::Full), conditions: Conditions { is_old_version_idle: false, since_order: Duration::from_secs(23), ..CONDITIONS }, next: Some(Phase::Completed) })]
#[case::doubtful_without_a_load_test(Step { phase: Some(Phase::Full), conditions: Conditions { is_load_tested: false, is_doubtful: true, since_order: Duration::from_millis(23_400), ..CONDITIONS }, next: Some(Phase::RolledBack) })]
#[case::untested_one_is_watched_to_the_end(Step { phase: Some(Phase::Full), conditions: Conditions { is_load_tested: false, since_order: Duration::from_secs(23), since_phase: Duration::from_secs(2), ..CONDITIONS }, next: None })]
#[case::untested_one_completes_before_the_deadline(Step { phase: Some(Phase::Full), conditions: Conditions { is_load_tested: false, since_order: Duration::from_millis(23_400), since_phase: Duration::from_secs(2), ..CONDITIONS }, next: Some(Phase::Completed) })]
#[case::widened_one_completes_in_doubt(Step { phase: Some(Phase::Full), conditions: Conditions { is_load_tested: false, is_load_testable: true, is_doubtful: true, ..CONDITIONS }, next: Some(Phase::Completed) })]
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
        let widening_share = plan::widening_share(duration, CONDITIONS.allowed_exposure);
        let share = phase.map_or(0.0, |phase| Split { widening_share, ..split(phase) }.share());
        let got = PER_SECOND * STEP.as_secs_f64() * share;
        new += got;
        if now >= bad_from {
            bad.push((now, got * bad_share));
        }
        now += STEP;
        since_phase += STEP;
    }
    (new, PER_SECOND * duration.as_secs_f64())
}

/// Load: the requests of a service, all of which would go to one server. A server of a large engine
/// can't be loaded by few requests.
#[rstest]
#[case::enough(50.0, 64, true)]
#[case::too_few(40.0, 64, false)]
#[case::small_engines(10.0, 12, true)]
#[case::none(0.0, 12, false)]
fn load_test_needs_requests_for_half_of_the_slots(
    #[case] in_flight: f64,
    #[case] slots: u32,
    #[case] expected: bool,
) {
    assert_eq!(could_load(in_flight, slots, plan::MAX_WIDENING_SHARE), expected);
}

/// Load: so few requests that no server of the new version is ever loaded. A version that is bad
/// only under load shows no failure before the deadline, and has to stay within the allowed share
/// all the same; a good one has to be completed in time.
#[rstest]
#[case::small_fleet(0.15)]
#[case::large_fleet(0.12)]
fn version_without_a_load_test_stays_within_the_allowed_exposure(#[case] allowed_exposure: f64) {
    // The longest random delay before a phase is written.
    const WRITE_DELAY: Duration = Duration::from_millis(200);
    const STEP: Duration = Duration::from_millis(10);
    for duration in [16, 20, 24, 40].map(Duration::from_secs) {
        let (mut now, mut since_phase, mut due) = (Duration::ZERO, Duration::ZERO, None);
        let (mut phase, mut new) = (None, 0.0);
        while now < duration {
            let conditions = Conditions {
                since_order: now,
                since_phase,
                duration,
                is_load_tested: false,
                is_old_version_idle: false,
                allowed_exposure,
                ..CONDITIONS
            };
            if let Some(next) = next_phase(phase, &conditions) {
                let at = *due.get_or_insert(now + WRITE_DELAY);
                if now >= at {
                    (phase, since_phase, due) = (Some(next), Duration::ZERO, None);
                }
            }
            new += STEP.as_secs_f64() * phase.map_or(0.0, |phase| split(phase).share());
            now += STEP;
            since_phase += STEP;
        }
        assert_eq!(phase, Some(Phase::Completed), "not completed in {duration:?}");
        let share = new / duration.as_secs_f64();
        assert!(share <= allowed_exposure, "{share} of the requests of {duration:?}");
    }
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

/// Load: a version that shows only in the widening phase to be bad, at the end of the time that the
/// evidence takes: 2 s until it is known, and 0.2 s until the roll-back is written.
#[rstest]
fn evidence_of_the_widening_comes_within_the_allowed_exposure(
    #[values(0.12, 0.15)] allowed_exposure: f64,
    #[values(false, true)] is_load_tested: bool,
) {
    const STEP: Duration = Duration::from_millis(10);
    const WRITE_DELAY: Duration = Duration::from_millis(200);
    const EVIDENCE_AGE: Duration = Duration::from_millis(2_000);
    for duration in [8.0, 10.0, 12.0, 12.5, 13.2, 15.0, 16.0, 24.0, 40.0] {
        let duration = Duration::from_secs_f64(duration);
        let widening_share = plan::widening_share(duration, allowed_exposure);
        let (mut now, mut since_phase, mut due) = (Duration::ZERO, Duration::ZERO, None);
        let (mut phase, mut new, mut widened) = (None, 0.0, None);
        while now < duration {
            let is_known = widened.is_some_and(|at| now >= at + EVIDENCE_AGE);
            let conditions = Conditions {
                since_order: now,
                since_phase,
                duration,
                is_bad: is_known,
                is_load_tested,
                is_load_testable: true,
                allowed_exposure,
                ..CONDITIONS
            };
            if let Some(next) = next_phase(phase, &conditions) {
                let at = *due.get_or_insert(now + WRITE_DELAY);
                if now >= at {
                    (phase, since_phase, due) = (Some(next), Duration::ZERO, None);
                    if next == Phase::Widening {
                        widened = Some(now);
                    }
                }
            }
            let share = phase.map_or(0.0, |phase| Split { widening_share, ..split(phase) }.share());
            new += STEP.as_secs_f64() * share;
            now += STEP;
            since_phase += STEP;
        }
        assert_eq!(phase, Some(Phase::RolledBack), "not rolled back in {duration:?}");
        let share = new / duration.as_secs_f64();
        assert!(share <= allowed_exposure, "{share} of the requests of {duration:?}");
    }
}

fn split(phase: Phase) -> Split {
    let widening_share = plan::MAX_WIDENING_SHARE;
    let (service, version) = ("s".into(), "v2".into());
    Split { service, version, phase, widening_share, fills_servers: false }
}

fn ids() -> impl Iterator<Item = std::sync::Arc<str>> {
    (0..2_000).map(|at| format!("id-{at}").into())
}

/// Load: sessions that wander over 300 instances, none of which knows what the others have seen.
/// The users allow three requests a day that change their version in the first half of a roll-out,
/// or return to the old version at any time; this must not happen at any size.
#[test]
fn wandering_sessions_never_change_in_the_first_half_nor_go_back() {
    const INSTANCES: usize = 300;
    let (mut instances, now) = (vec![Exposure::default(); INSTANCES], Instant::now());
    let mut last = vec![Side::Old; ids().count()];
    let mut moved = 0;
    let phases = [Phase::Canary, Phase::Probe, Phase::Widening, Phase::Full, Phase::Completed];
    for (round, phase) in phases.into_iter().enumerate() {
        for (at, session) in ids().enumerate() {
            // Each session continues at another instance, some of which have lost the store.
            let instance = &mut instances[(at * 7 + round * 31) % INSTANCES];
            let is_recent = at % 5 != 0;
            let side =
                instance.assign_side(&split(phase), &session, Some(&session), true, is_recent, now);
            assert!(phase > Phase::Canary || side == Side::Old, "moved in the first half");
            assert!(side >= last[at], "{session} went back in {phase:?}");
            moved += usize::from(side != last[at]);
            last[at] = side;
        }
    }
    assert_eq!(moved, last.len(), "all sessions move once");
}

#[test]
fn probe_exposes_a_small_share_of_the_sessions() {
    let (mut sessions, now) = (Sessions::default(), Instant::now());
    let sides = ids().map(|session| sessions.assign_side(&split(Phase::Probe), &session, now));
    let new = sides.filter(|side| *side == Side::New).count();
    assert!((90..150).contains(&new), "{new} of 2000");
}

#[test]
fn sessions_return_only_when_the_version_is_rolled_back() {
    let (mut sessions, now) = (Sessions::default(), Instant::now());
    let probe = split(Phase::Probe);
    let exposed: Vec<_> =
        ids().filter(|id| sessions.assign_side(&probe, id, now) == Side::New).collect();
    assert!(!exposed.is_empty());
    for session in &exposed {
        assert_eq!(sessions.assign_side(&split(Phase::Full), session, now), Side::New);
        assert_eq!(sessions.assign_side(&split(Phase::RolledBack), session, now), Side::Old);
        assert_eq!(sessions.assign_side(&split(Phase::Canary), session, now), Side::Old);
    }
}

#[test]
fn canary_exposes_a_limited_share_of_the_requests_without_a_session() {
    let (mut exposure, now) = (Exposure::default(), Instant::now());
    let canary = split(Phase::Canary);
    let mut is_new = |id: &RequestId, is_recent| {
        exposure.assign_side(&canary, id, None, true, is_recent, now) == Side::New
    };
    let new: Vec<_> = ids().filter(|id| is_new(id, true)).collect();
    assert!((20..60).contains(&new.len()), "{} of 2000", new.len());
    assert!(!new.iter().any(|id| is_new(id, false)), "the phase may be outdated");
    // Only requests whose hash assigns them to the new version.
    let mut exposure = Exposure::default();
    let sides = new.iter().map(|id| exposure.assign_side(&canary, id, None, true, true, now));
    let exposed = sides.filter(|side| *side == Side::New).count();
    assert!(exposed * 3 < new.len(), "{exposed} of {}", new.len());
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
        load: running.map(|running| ServerLoad {
            running,
            waiting: 0,
            slots: 10,
            slowdown_percent: None,
        }),
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

/// Prompts wait at fewer servers once one version gets all requests; requests without a prompt don't.
#[rstest]
#[case::prompt(Some("m"), 600, false)]
#[case::cached_prompt(Some("m"), 0, false)]
#[case::no_prompt(None, 0, true)]
fn longer_waits_of_prompts_do_not_count_against_the_only_version(
    #[case] model: Option<&'static str>,
    #[case] uncached_tokens: u32,
    #[case] is_bad: bool,
) {
    let mut collector = Collector::default();
    let (service, route) = ("s".into(), "r1".into());
    let model = model.map(Into::into);
    let mut record = |version: &str, is_only_version, millis| {
        let signal = Signal::Started(Duration::from_millis(millis));
        let version = version.into();
        collector.record(&Observation {
            is_only_version,
            model: model.as_ref(),
            uncached_tokens,
            ..observation(&service, &version, &route, None, signal)
        });
    };
    (0..100).for_each(|_| record("v1", false, 40));
    (0..60).for_each(|_| record("v2", true, 300));
    assert_eq!(is_v2_bad(&collector), is_bad);
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
