//! When a roll-out enters its next phase.
//!
//! Answers the load of versions that turn bad at once, later, under load or on one route: the new
//! version gets little until half of the time has passed, then all of it in two steps that are
//! each short enough for evidence against it to stop it inside the allowed exposure.

use {super::Phase, std::time::Duration};

/// Share of the new sessions in the first phase; the users allow a bad version 0.12 to 0.15 of all
/// requests over the whole roll-out. Sessions that were active at the order and go on at another
/// instance count as new there, so a larger share would move too many of them.
const CANARY_SHARE: f64 = 0.02;
/// Instances up to which that share is used; the users have six and nine. A larger fleet has more
/// requests, so a smaller share gives as much evidence, and more of its sessions go on at other
/// instances.
const SMALL_FLEET: f64 = 9.0;
/// Pause after which an instance of a small fleet also tells answers that are not slow: it may die and
/// forget them, and the others' share of them is small.
const ROUTINE_REPORT_INTERVAL: Duration = Duration::from_millis(2_500);
/// Longest such pause; the users' roll-outs take some 24 s.
const MAX_ROUTINE_REPORT_INTERVAL: Duration = Duration::from_secs(20);
/// Share of the sessions in the second phase: nearly all, since the fewer requests there are, the less
/// they fill a server, and the phase is short. It is the same for every request of a session, since
/// sessions go on at other instances and must not move back.
pub const WIDENING_SHARE: f64 = 0.9;
/// Longest prompt of the requests that fill a server on trial, in tokens: they take its places, while
/// longer ones would only make it read. An engine reads it in some 25 ms.
pub const SHORT_PROMPT_TOKENS: u32 = 1_500;

/// Part of the roll-out's time that the first phase takes. Sessions must not change their version
/// in the first half.
const CANARY_PART: f64 = 0.5;
/// Time past that part, for clocks that started late.
const CANARY_MARGIN: Duration = Duration::from_millis(250);
/// Shortest first phase of an instance that has just learnt of the roll-out.
const MIN_CANARY: Duration = Duration::from_secs(3);
/// Part of the roll-out's time that the second phase takes, and its bounds: its requests fill a
/// server within two seconds, and evidence takes up to a second to arrive.
const WIDENING_PART: f64 = 0.12;
const MIN_WIDENING: Duration = Duration::from_millis(1_900);
const MAX_WIDENING: Duration = Duration::from_millis(2_400);
/// How much longer the second phase takes while no server of the new version was filled.
const UNTESTED_FACTOR: f64 = 1.25;
/// Part of the roll-out's time that the last phase takes at least, and its bounds: instances that
/// still run old requests have said so by then.
const FULL_PART: f64 = 0.15;
const MIN_FULL: Duration = Duration::from_millis(1_900);
const MAX_FULL: Duration = Duration::from_millis(3_500);

/// Part of the roll-out's time after which it is completed though streams still run on the old
/// version: they are resumed on the new one inside their answers. Streams of large models last up to
/// ten seconds.
const LAST_PART: f64 = 0.92;

/// Returns the share of the new sessions in the first phase for a fleet of this many instances.
pub fn canary_share(instances: usize) -> f64 {
    CANARY_SHARE * (SMALL_FLEET / instances.max(1) as f64).min(1.0)
}

/// Returns the largest share of the new sessions in the first phase.
pub const fn most_canary_share() -> f64 {
    CANARY_SHARE
}

/// Returns the pause after which an instance tells answers that are not slow. It grows with the fleet:
/// each instance sees a smaller part of the answers, and all of them write to one store.
pub fn routine_report_interval(instances: usize) -> Duration {
    ROUTINE_REPORT_INTERVAL
        .mul_f64((instances as f64 / SMALL_FLEET).max(1.0))
        .min(MAX_ROUTINE_REPORT_INTERVAL)
}

/// What the next phase depends on.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Time since the order was seen.
    pub since_order: Duration,
    /// Time since the present phase was seen.
    pub since_phase: Duration,
    /// Time in which the roll-out is to end.
    pub duration: Duration,
    /// Time after which every instance has seen the order. A session must not go to the new version
    /// at one instance and back to the old one at another that does not know of the roll-out.
    pub visibility_delay: Duration,
    /// Whether the evidence speaks against the new version.
    pub is_bad: bool,
    /// Whether servers of the new version were seen under load.
    pub is_load_tested: bool,
    /// Whether a server of the new version takes requests.
    pub has_servers: bool,
    /// Whether no request runs on the old version any more.
    pub is_old_version_idle: bool,
}

/// Returns the phase that follows, if it is time for it.
pub fn next(phase: Option<Phase>, conditions: &Conditions) -> Option<Phase> {
    let Some(phase) = phase else {
        let is_known = conditions.since_order >= conditions.visibility_delay;
        return (conditions.has_servers && is_known).then_some(Phase::Canary);
    };
    if conditions.is_bad && !phase.is_over() {
        return Some(Phase::RolledBack);
    }
    match phase {
        Phase::Canary => {
            let half = conditions.duration.mul_f64(CANARY_PART) + CANARY_MARGIN;
            let is_due = conditions.since_order >= half && conditions.since_phase >= MIN_CANARY;
            is_due.then_some(Phase::Widening)
        }
        Phase::Widening => {
            let time = part(conditions.duration, WIDENING_PART, MIN_WIDENING, MAX_WIDENING);
            let time = if conditions.is_load_tested { time } else { time.mul_f64(UNTESTED_FACTOR) };
            (conditions.since_phase >= time).then_some(Phase::Full)
        }
        Phase::Full => {
            let time = part(conditions.duration, FULL_PART, MIN_FULL, MAX_FULL);
            let is_last = conditions.since_order >= conditions.duration.mul_f64(LAST_PART);
            (conditions.since_phase >= time && (conditions.is_old_version_idle || is_last))
                .then_some(Phase::Completed)
        }
        Phase::Completed | Phase::RolledBack => None,
    }
}

fn part(duration: Duration, part: f64, least: Duration, most: Duration) -> Duration {
    duration.mul_f64(part).clamp(least, most)
}
