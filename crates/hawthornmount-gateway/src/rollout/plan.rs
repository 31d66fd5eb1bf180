//! Decides when a roll-out enters its next phase.
//!
//! Sessions must not change their version in the first half of the roll-out's time. A session can
//! continue at any instance, and that instance can't know whether the session was active before the
//! order. No instance therefore sends a session to the new version in the first half; only requests
//! that belong to no session go there.
//!
//! A new version may turn out bad at once, later, only under load or only on one route. In the
//! second half it therefore gets the sessions in three steps, each of which is short enough that
//! evidence against the version stops the roll-out within the allowed exposure. A version can be
//! faulty only under load. While too few requests are in flight to load one of its servers, widening
//! would show nothing; it then gets all sessions so late that even a bad version stays within the
//! allowed exposure until the deadline. What it shows in that time decides: such a version is completed at
//! the last moment, and only if the evidence leaves no doubt about it. Nothing can bring the other
//! versions back afterwards.

use {super::Phase, std::time::Duration};

/// Share of the requests without a session that go to the new version in the canary phase.
pub const CANARY_SHARE: f64 = 0.02;
/// Share of the sessions that go to the new version in the probe phase. It yields the evidence that
/// stops a bad version before most sessions go to it.
pub const PROBE_SHARE: f64 = 0.06;
/// Number of reporters up to which [`ROUTINE_REPORT_INTERVAL`] applies.
const FEW_REPORTERS: f64 = 9.0;
/// Interval at which one of a few reporters also reports responses that are not slow. It may
/// stop and lose these observations, and the other instances see only a small share of the
/// responses.
const ROUTINE_REPORT_INTERVAL: Duration = Duration::from_millis(2_500);
/// Longest routine report interval; the users' roll-outs take about 24 s.
const MAX_ROUTINE_REPORT_INTERVAL: Duration = Duration::from_secs(20);
/// Largest share of the sessions that go to the new version in the widening phase. It is close to 1
/// because the phase is short, and fewer requests would not put a server under load. It is the same
/// for every request of a session: sessions continue at other instances and must not move back to
/// the old version.
pub const MAX_WIDENING_SHARE: f64 = 0.9;
/// Longest prompt, in tokens, of the requests of a trial, which fills one server of the new version
/// after the other to test it under load. They occupy its slots; longer prompts would only keep it
/// busy with their prefill. The prefill of a prompt of this length takes about 25 ms.
pub const SHORT_PROMPT_TOKENS: u32 = 1_500;

/// Fraction of the roll-out's time that the canary phase takes. Sessions must not change their
/// version in the first half.
const CANARY_FRACTION: f64 = 0.5;
/// Additional time for the canary phase, because others may have seen the order later and count the
/// first half from then.
const CANARY_MARGIN: Duration = Duration::from_millis(250);
/// Shortest canary phase at an instance that has only just seen the roll-out.
const MIN_CANARY_DURATION: Duration = Duration::from_secs(3);
/// Fraction of the roll-out's time that the probe phase takes, limited by [`MAX_PROBE_DURATION`].
const PROBE_FRACTION: f64 = 0.08;
/// Longest probe phase.
const MAX_PROBE_DURATION: Duration = Duration::from_millis(2_000);
/// Shortest roll-out with a probe phase; the other phases need the time of a shorter one.
const MIN_PROBED_DURATION: Duration = Duration::from_millis(12_500);
/// Shortest roll-out in which a version without a load test gets all sessions late. What is left of
/// a shorter one would not suffice to complete it.
const MIN_LATE_DURATION: Duration = Duration::from_secs(16);
/// Time from the start of a phase until its evidence against a version has stopped the roll-out
/// everywhere: a request is late after some 0.5 s; the instance, the one that it follows and that
/// of another data centre look every 0.2 s, and the second reports every 0.6 s; the roll-back takes
/// 0.4 s until it is written and known.
const EVIDENCE_DELAY: Duration = Duration::from_millis(2_100);
/// Fraction of the allowed exposure that the plan uses. The rest allows for traffic that grows
/// towards the deadline.
const PLANNED_EXPOSURE: f64 = 0.85;
/// The same for a version without a load test, which gets all sessions only shortly before the deadline.
const PLANNED_UNTESTED_EXPOSURE: f64 = 0.95;
/// Time before the deadline at which a version without a load test is completed: enough to write that.
const COMPLETION_MARGIN: Duration = Duration::from_millis(700);
/// Latest start of the full phase, as a fraction of the roll-out's time.
const LATEST_FULL_FRACTION: f64 = 0.93;
/// Minimum duration of a full phase that began late.
const MIN_LATE_FULL_DURATION: Duration = Duration::from_millis(600);
/// Fraction of the roll-out's time that the widening phase takes, limited by
/// [`MIN_WIDENING_DURATION`] and [`MAX_WIDENING_DURATION`]. Its requests fill a server within two
/// seconds, and a probed version is widened for at least [`EVIDENCE_DELAY`].
const WIDENING_FRACTION: f64 = 0.17;
/// Shortest widening phase.
const MIN_WIDENING_DURATION: Duration = Duration::from_millis(1_900);
/// Longest widening phase, before [`UNTESTED_WIDENING_FACTOR`] is applied.
const MAX_WIDENING_DURATION: Duration = Duration::from_millis(2_400);
/// Factor by which the widening phase is extended while no server of the new version has been
/// tested under load.
const UNTESTED_WIDENING_FACTOR: f64 = 1.25;
/// Fraction of the roll-out's time that the full phase takes at least, limited by
/// [`MIN_FULL_DURATION`] and [`MAX_FULL_DURATION`]. By then, instances that still run requests on
/// the old version have reported it.
const FULL_FRACTION: f64 = 0.15;
/// Lower limit of the minimum duration of the full phase.
const MIN_FULL_DURATION: Duration = Duration::from_millis(1_900);
/// Upper limit of the minimum duration of the full phase.
const MAX_FULL_DURATION: Duration = Duration::from_millis(3_500);

/// Fraction of the roll-out's time after which it is completed even if streams still run on the old
/// version; they are resumed on the new version in the middle of their responses. Streams of large
/// models last up to ten seconds.
const COMPLETION_FRACTION: f64 = 0.92;

/// Returns the interval at which each of `reporters` reports responses that are not slow. It grows
/// with their number, because each sees a smaller part of the responses and all write to the same
/// store.
pub fn routine_report_interval(reporters: usize) -> Duration {
    ROUTINE_REPORT_INTERVAL
        .mul_f64((reporters as f64 / FEW_REPORTERS).max(1.0))
        .min(MAX_ROUTINE_REPORT_INTERVAL)
}

/// Conditions that determine the next phase.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Time since this instance saw the order.
    pub since_order: Duration,
    /// Time since this instance saw the current phase.
    pub since_phase: Duration,
    /// Time in which the roll-out must complete.
    pub duration: Duration,
    /// Time after which every instance has seen the order. Until then, a session could go to the
    /// new version at one instance and return to the old one at another instance that does not know
    /// of the roll-out.
    pub visibility_delay: Duration,
    /// Whether the evidence speaks against the new version.
    pub is_bad: bool,
    /// Whether the evidence raises doubt about the new version without showing it to be bad.
    pub is_doubtful: bool,
    /// Whether servers of the new version have responded under load.
    pub is_load_tested: bool,
    /// Whether the requests in flight are enough to load a server of the new version in the widening
    /// phase.
    pub is_load_testable: bool,
    /// Whether a server of the new version accepts requests.
    pub has_servers: bool,
    /// Whether no request runs on the old version any more.
    pub is_old_version_idle: bool,
    /// Share of all requests of the roll-out's time that a bad version may get.
    pub allowed_exposure: f64,
    /// Share of them that it may get in addition, because a number of requests is allowed whatever their
    /// rate.
    pub slack_exposure: f64,
}

/// Returns the phase that is due next, or `None` if the current phase continues.
pub fn next_phase(phase: Option<Phase>, conditions: &Conditions) -> Option<Phase> {
    let Some(phase) = phase else {
        let is_visible = conditions.since_order >= conditions.visibility_delay;
        return (conditions.has_servers && is_visible).then_some(Phase::Canary);
    };
    if conditions.is_bad && !phase.is_over() {
        return Some(Phase::RolledBack);
    }
    match phase {
        Phase::Canary => {
            let canary_end = conditions.duration.mul_f64(CANARY_FRACTION) + CANARY_MARGIN;
            let is_due = conditions.since_order >= canary_end
                && conditions.since_phase >= MIN_CANARY_DURATION;
            let is_probed = conditions.duration >= MIN_PROBED_DURATION;
            is_due.then_some(if is_probed { Phase::Probe } else { Phase::Widening })
        }
        Phase::Probe => {
            let duration = probe_duration(conditions.duration);
            let is_early = conditions.is_load_tested
                || conditions.is_load_testable
                || conditions.duration < MIN_LATE_DURATION;
            if is_early && conditions.since_phase >= duration {
                return Some(Phase::Widening);
            }
            (conditions.since_order >= untested_full_start(conditions)).then_some(Phase::Full)
        }
        Phase::Widening => {
            let min_duration = clamped_fraction(
                conditions.duration,
                WIDENING_FRACTION,
                MIN_WIDENING_DURATION,
                MAX_WIDENING_DURATION,
            );
            let min_duration = if conditions.is_load_tested {
                min_duration
            } else {
                min_duration.mul_f64(UNTESTED_WIDENING_FACTOR)
            };
            (conditions.since_phase >= min_duration).then_some(Phase::Full)
        }
        Phase::Full => {
            let min_duration = clamped_fraction(
                conditions.duration,
                FULL_FRACTION,
                MIN_FULL_DURATION,
                MAX_FULL_DURATION,
            );
            // If its servers could be loaded, the widening phase has shown what it could.
            let is_tested = conditions.is_load_tested || conditions.is_load_testable;
            let completion = if is_tested {
                conditions.duration.mul_f64(COMPLETION_FRACTION)
            } else {
                conditions.duration.saturating_sub(COMPLETION_MARGIN)
            };
            let is_out_of_time = conditions.since_order >= completion;
            let is_done = conditions.since_phase >= min_duration
                && (conditions.is_old_version_idle || is_out_of_time);
            let is_last_moment = is_out_of_time && conditions.since_phase >= MIN_LATE_FULL_DURATION;
            let end = if is_tested || !conditions.is_doubtful {
                Phase::Completed
            } else {
                Phase::RolledBack
            };
            (is_done || is_last_moment).then_some(end)
        }
        Phase::Completed | Phase::RolledBack => None,
    }
}

/// Returns the share of the sessions that go to the new version in the widening phase: a version
/// that shows only then to be bad gets no more than the canary and probe phases leave of the allowed
/// exposure until the evidence has stopped the roll-out.
pub fn widening_share(duration: Duration, allowed_exposure: f64) -> f64 {
    let canary = duration.mul_f64(CANARY_FRACTION * CANARY_SHARE);
    let probe = probe_duration(duration).mul_f64(PROBE_SHARE);
    let exposure = duration.mul_f64(allowed_exposure * PLANNED_EXPOSURE);
    let rest = exposure.saturating_sub(canary + probe);
    let share = rest.as_secs_f64() / EVIDENCE_DELAY.as_secs_f64();
    share.clamp(PROBE_SHARE, MAX_WIDENING_SHARE)
}

fn probe_duration(duration: Duration) -> Duration {
    duration.mul_f64(PROBE_FRACTION).min(MAX_PROBE_DURATION)
}

/// Returns the time after the order at which a version without a load test gets all sessions: from
/// then to the deadline it gets what the probe phase leaves of the allowed exposure.
fn untested_full_start(conditions: &Conditions) -> Duration {
    let allowed_exposure = conditions.allowed_exposure + conditions.slack_exposure;
    let exposure = allowed_exposure * PLANNED_UNTESTED_EXPOSURE;
    let rest = (exposure - PROBE_SHARE * (1.0 - CANARY_FRACTION)) / (1.0 - PROBE_SHARE);
    let fraction = (1.0 - rest).clamp(CANARY_FRACTION, LATEST_FULL_FRACTION);
    conditions.duration.mul_f64(fraction)
}

fn clamped_fraction(duration: Duration, fraction: f64, min: Duration, max: Duration) -> Duration {
    duration.mul_f64(fraction).clamp(min, max)
}
