//! Roll-outs of a plain service whose few requests load none of its servers, played without a network.

use {
    hawthornmount_core::id::{ServiceId, VersionId},
    hawthornmount_gateway::{
        load::Load,
        rollout::{
            Phase, Split,
            evidence::{Collector, Observation, Report, Signal},
            plan::{self, Conditions, next_phase},
            verdict::{self, Verdict},
        },
        route::RouteId,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    rstest::rstest,
    std::time::Duration,
};

const STEP: Duration = Duration::from_millis(5);
/// Time from the order to its deadline.
const DURATION: Duration = Duration::from_secs(24);
/// Time that is played after the deadline.
const AFTERMATH: Duration = Duration::from_secs(20);
const ALLOWED_EXPOSURE: f64 = 0.15;
/// Requests that a bad version may get in addition.
const EXPOSURE_SLACK: f64 = 30.0;
/// Number of bad answers after which a bad version may get requests for `ROLLBACK_TIME` only.
const BAD_ANSWERS: usize = 50;
const ROLLBACK_TIME: Duration = Duration::from_secs(5);
/// Factor by which an instance may take the rate of requests for too small.
const RATE_MARGIN: f64 = 1.35;
/// Time after which the reader that decides knows what an instance has seen: instances and readers report
/// bad answers each 0.2 s, and look each 0.2 s.
const REPORT_TIME: Duration = Duration::from_millis(600);
/// Longest time until a phase is written.
const WRITE_TIME: Duration = Duration::from_millis(400);
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(27);
const ROUND_TRIP: Duration = Duration::from_millis(16);

/// What is wrong with the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Half of its requests fail.
    Errors,
    /// Half of its requests take eight times as long.
    Slow,
    /// Half of its requests fail while half of a server's slots are in use.
    UnderLoad,
}

#[derive(Clone, Copy, Debug)]
struct Fleet {
    servers: usize,
    per_second: f64,
}

/// Three, 75 and 300 instances, with the servers and requests that they have.
const SMALL: Fleet = Fleet { servers: 3, per_second: 29.0 };
const GROWN: Fleet = Fleet { servers: 6, per_second: 95.0 };
const LARGE: Fleet = Fleet { servers: 24, per_second: 380.0 };

struct Outcome {
    phase: Phase,
    /// Requests that the new version got until the deadline, and all requests until then.
    new: f64,
    all: f64,
    /// Requests that it got too late after its bad answers.
    late: usize,
}

/// A request that runs at a server.
struct Run {
    is_new: bool,
    server: usize,
    ends: Duration,
    time: Duration,
    is_bad: bool,
    is_trial: bool,
    running: u32,
}

fn play(fleet: Fleet, fault: Fault, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (service, route): (ServiceId, RouteId) = ("s".into(), "r".into());
    let (old, new): (VersionId, VersionId) = ("v1".into(), "v2".into());
    let mut collector = Collector::default();
    let (mut runs, mut known): (Vec<Run>, Vec<(Duration, Run)>) = (Vec::new(), Vec::new());
    let (mut phase, mut entered, mut due) = (None, Duration::ZERO, None);
    let (mut is_bad, mut bad_answers, mut fills_servers) = (false, Vec::new(), false);
    let mut outcome = Outcome { phase: Phase::Canary, new: 0.0, all: 0.0, late: 0 };
    let widening_share = plan::widening_share(DURATION, ALLOWED_EXPOSURE);
    let mut now = Duration::ZERO;
    while now < DURATION + AFTERMATH {
        now += STEP;
        for run in runs.extract_if(.., |run| run.ends <= now) {
            if run.is_new && run.is_bad {
                bad_answers.push(now);
            }
            known.push((now + REPORT_TIME, run));
        }
        for (_, run) in known.extract_if(.., |(at, _)| *at <= now) {
            let is_failed = run.is_bad && fault != Fault::Slow;
            let load =
                Load { running: run.running, waiting: 0, slots: SLOTS, slowdown_percent: None };
            collector.record(&Observation {
                service: &service,
                version: if run.is_new { &new } else { &old },
                route: &route,
                model: None,
                is_trial: run.is_trial,
                is_only_version: phase.is_some_and(|phase| phase >= Phase::Full),
                uncached_tokens: 0,
                load: Some(load),
                signal: if is_failed { Signal::Failed } else { Signal::Started(run.time) },
            });
        }
        let report = Report {
            failures: collector.failures(&service, &new),
            latencies: collector.latencies(&service, &new),
            slow: collector.slow(&service, &new),
            ..Report::default()
        };
        let Verdict { regression, is_doubtful, is_load_tested } = verdict::judge(&[&report]);
        is_bad |= regression.is_some();
        let conditions = Conditions {
            since_order: now,
            since_phase: now - entered,
            duration: DURATION,
            visibility_delay: Duration::from_secs(2),
            is_bad,
            is_doubtful,
            is_load_tested,
            is_load_testable: false,
            has_servers: true,
            is_old_version_idle: true,
            allowed_exposure: ALLOWED_EXPOSURE,
            slack_exposure: EXPOSURE_SLACK
                / (fleet.per_second * RATE_MARGIN * DURATION.as_secs_f64()),
        };
        if let Some(next) = next_phase(phase, &conditions) {
            let (planned, at) = *due.get_or_insert((next, now + WRITE_TIME));
            if planned != next {
                due = None;
            } else if now >= at {
                fills_servers = next == Phase::Full && phase == Some(Phase::Probe);
                (phase, entered, due) = (Some(next), now, None);
            }
        }
        if rng.random::<f64>() >= fleet.per_second * STEP.as_secs_f64() {
            continue;
        }
        let split = phase.map(|phase| Split {
            service: service.clone(),
            version: new.clone(),
            phase,
            widening_share,
            fills_servers,
        });
        let has_session = rng.random::<f64>() < 0.9;
        let share = match (&split, phase) {
            (_, Some(Phase::Canary)) if has_session => 0.0,
            (Some(split), _) => split.share(),
            (None, _) => 0.0,
        };
        let is_new = rng.random::<f64>() < share;
        if now <= DURATION {
            outcome.all += 1.0;
            outcome.new += f64::from(u32::from(is_new));
        }
        let is_late = bad_answers.get(BAD_ANSWERS - 1).is_some_and(|at| now > *at + ROLLBACK_TIME);
        outcome.late += usize::from(is_new && is_late);
        let used = |server: usize| {
            let at = runs.iter().filter(|run| run.is_new == is_new && run.server == server);
            at.count() as u32
        };
        let is_trial = is_new && split.as_ref().is_some_and(|split| split.is_trial(true));
        let unfilled = (0..fleet.servers).find(|server| used(*server) < SLOTS);
        let drawn = [(); 2].map(|()| rng.random_range(0..fleet.servers));
        let spread = drawn.into_iter().min_by_key(|server| used(*server)).expect("two");
        let server = unfilled.filter(|_| is_trial).unwrap_or(spread);
        let running = used(server) + 1;
        let is_hit = is_new && rng.random::<f64>() < 0.5;
        let is_bad = match fault {
            Fault::None => false,
            Fault::Errors | Fault::Slow => is_hit,
            Fault::UnderLoad => is_hit && 2 * running >= SLOTS,
        };
        let factor = if is_bad && fault == Fault::Slow { 8 } else { 1 };
        let work = WORK.mul_f64(rng.random_range(0.7..1.3)) * factor;
        let time = work + ROUND_TRIP;
        runs.push(Run { is_new, server, ends: now + work, time, is_bad, is_trial, running });
    }
    outcome.phase = phase.expect("the roll-out begins");
    outcome
}

/// Load: so few requests that no server of the service is loaded, at fleets of 3, 75 and 300 instances.
#[rstest]
fn bad_version_that_was_never_loaded_is_not_completed(
    #[values(SMALL, GROWN, LARGE)] fleet: Fleet,
    #[values(Fault::Errors, Fault::Slow, Fault::UnderLoad)] fault: Fault,
) {
    for seed in 1..=10 {
        let Outcome { phase, new, all, late } = play(fleet, fault, seed);
        assert_eq!(phase, Phase::RolledBack, "{fleet:?}, seed {seed}");
        assert!(new <= ALLOWED_EXPOSURE * all + EXPOSURE_SLACK, "{new} of {all}, seed {seed}");
        assert_eq!(late, 0, "{fleet:?}, seed {seed}");
    }
}

/// Load: as above, with a good version.
#[rstest]
fn good_version_that_was_never_loaded_is_completed(#[values(SMALL, GROWN, LARGE)] fleet: Fleet) {
    for seed in 1..=10 {
        let Outcome { phase, .. } = play(fleet, Fault::None, seed);
        assert_eq!(phase, Phase::Completed, "{fleet:?}, seed {seed}");
    }
}
