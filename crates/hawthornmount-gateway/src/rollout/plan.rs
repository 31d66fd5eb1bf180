//! Decides when a roll-out enters its next phase.
//!
//! A new version may turn out bad at once, later, only under load or only on one route. It
//! therefore gets a small share of the sessions until half of the roll-out's time has passed, and
//! then all of them in two steps. Each step is short enough that evidence against the version stops
//! the roll-out within the allowed exposure.

use {super::Phase, std::time::Duration};

/// Share of the new sessions that go to the new version in the canary phase. The users allow a bad
/// version 0.12 to 0.15 of all requests over the whole roll-out. A session that was active before
/// the order and continues at another instance counts as new there, so a larger share would move
/// too many such sessions.
const CANARY_SHARE: f64 = 0.02;
/// Number of instances up to which [`CANARY_SHARE`] applies; the users run six and nine. In a
/// larger fleet there are more requests, so a smaller share yields as much evidence, and more
/// sessions continue at another instance.
const SMALL_FLEET_INSTANCES: f64 = 9.0;
/// Interval at which an instance of a small fleet also reports responses that are not slow. It may
/// stop and lose these observations, and the other instances see only a small share of the
/// responses.
const ROUTINE_REPORT_INTERVAL: Duration = Duration::from_millis(2_500);
/// Longest routine report interval; the users' roll-outs take about 24 s.
const MAX_ROUTINE_REPORT_INTERVAL: Duration = Duration::from_secs(20);
/// Share of the sessions that go to the new version in the widening phase. It is close to 1 because
/// the phase is short, and fewer requests would not put a server under load. It is the same for
/// every request of a session: sessions continue at other instances and must not move back to the
/// old version.
pub const WIDENING_SHARE: f64 = 0.9;
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
/// Fraction of the roll-out's time that the widening phase takes, limited by
/// [`MIN_WIDENING_DURATION`] and [`MAX_WIDENING_DURATION`]. Its requests fill a server within two
/// seconds, and evidence takes up to one second to reach the other instances.
const WIDENING_FRACTION: f64 = 0.12;
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

/// Returns the share of the new sessions in the canary phase for a fleet of `instances` instances.
pub fn canary_share(instances: usize) -> f64 {
    CANARY_SHARE * (SMALL_FLEET_INSTANCES / instances.max(1) as f64).min(1.0)
}

/// Returns the largest share of the new sessions in the canary phase.
pub const fn most_canary_share() -> f64 {
    CANARY_SHARE
}

/// Returns the interval at which an instance reports responses that are not slow. It grows with the
/// fleet, because each instance sees a smaller part of the responses and all instances write to the
/// same store.
pub fn routine_report_interval(instances: usize) -> Duration {
    ROUTINE_REPORT_INTERVAL
        .mul_f64((instances as f64 / SMALL_FLEET_INSTANCES).max(1.0))
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
    /// Whether servers of the new version have responded under load.
    pub is_load_tested: bool,
    /// Whether a server of the new version accepts requests.
    pub has_servers: bool,
    /// Whether no request runs on the old version any more.
    pub is_old_version_idle: bool,
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
            is_due.then_some(Phase::Widening)
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
            let is_out_of_time =
                conditions.since_order >= conditions.duration.mul_f64(COMPLETION_FRACTION);
            (conditions.since_phase >= min_duration
                && (conditions.is_old_version_idle || is_out_of_time))
                .then_some(Phase::Completed)
        }
        Phase::Completed | Phase::RolledBack => None,
    }
}

fn clamped_fraction(duration: Duration, fraction: f64, min: Duration, max: Duration) -> Duration {
    duration.mul_f64(fraction).clamp(min, max)
}
