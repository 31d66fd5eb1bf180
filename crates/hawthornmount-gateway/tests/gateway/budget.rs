//! Repeats keep to their share of the requests in every window.

use {
    hawthornmount_gateway::budget::{Budget, Cause},
    proptest::prelude::*,
    std::time::{Duration, Instant},
};

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.9;

/// Instances of the fleet, and the slack that the users state for it.
const INSTANCES: usize = 9;
const SLACK: f64 = 58.0;

/// Plays requests and tries to repeat, in milliseconds from the start, on instances that each see a
/// ninth of them; returns the times of the repeats that were allowed.
fn play(requests: &[u64], tries: &[u64]) -> Vec<u64> {
    let initial_level = Instant::now();
    let budget = || {
        let mut budget = Budget::new(RATIO, WINDOW, initial_level);
        budget.set_slack(SLACK / INSTANCES as f64);
        budget
    };
    let mut fleet: Vec<Budget> = (0..INSTANCES).map(|_| budget()).collect();
    let mut events: Vec<(u64, bool)> = requests.iter().map(|at| (*at, false)).collect();
    events.extend(tries.iter().map(|at| (*at, true)));
    events.sort_unstable();
    let mut retries = Vec::new();
    for (number, (at, is_retry)) in events.into_iter().enumerate() {
        let now = initial_level + Duration::from_millis(at);
        let instance = &mut fleet[number % INSTANCES];
        if !is_retry {
            instance.record_request(now);
        } else if instance.try_take(Cause::Failure, now) {
            retries.push(at);
        }
    }
    retries
}

fn within(times: &[u64], from: u64, until: u64) -> usize {
    times.iter().filter(|at| (from..until).contains(*at)).count()
}

/// Times that come in bursts, as the users' disruptions make them.
fn bursts(most: usize) -> impl Strategy<Value = Vec<u64>> {
    let burst = (0_u64..40_000, 1_u64..4_000, 0..most);
    prop::collection::vec(burst, 1..8).prop_map(|bursts| {
        let spread = |(at, wide, count): (u64, u64, usize)| {
            (0..count as u64).map(move |number| at + number * wide / count as u64)
        };
        bursts.into_iter().flat_map(spread).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn fleet_keeps_to_its_share_in_every_window(requests in bursts(400), tries in bursts(900)) {
        let retries = play(&requests, &tries);
        for end in (10_000..54_000).step_by(250) {
            // The users count the requests of this window, of the one before, or of the one half a
            // window before, whichever has most.
            let most = [0, 5_000, 10_000_u64]
                .map(|back| {
                    let until = end - back;
                    within(&requests, until.saturating_sub(10_000), until)
                })
                .into_iter()
                .max()
                .unwrap_or(0);
            let allowed = RATIO * most as f64 + SLACK;
            prop_assert!(within(&retries, end - 10_000, end) as f64 <= allowed);
        }
    }
}

#[test]
fn repeats_come_back_when_requests_do() {
    let initial_level = Instant::now();
    let mut budget = Budget::new(RATIO, WINDOW, initial_level);
    assert!(!budget.try_take(Cause::Failure, initial_level));
    let later = initial_level + 3 * WINDOW;
    for _ in 0..10 {
        budget.record_request(later);
    }
    assert!(budget.try_take(Cause::Failure, later));
    assert!(!budget.try_take(Cause::Failure, later + 2 * WINDOW));
}

#[test]
fn answers_in_doubt_leave_some_of_the_budget_to_failures() {
    let initial_level = Instant::now();
    let mut budget = Budget::new(RATIO, WINDOW, initial_level);
    let (mut doubts, mut failures) = (0, 0);
    // 100 requests a window; in the third one every answer is in doubt, then every attempt fails.
    for number in 0..300_u32 {
        let now = initial_level + WINDOW / 100 * number;
        budget.record_request(now);
        if number >= 200 {
            doubts += u32::from(budget.try_take(Cause::LowConfidence, now));
        }
    }
    let end = initial_level + WINDOW / 100 * 299;
    failures += (0..100).filter(|_| budget.try_take(Cause::Failure, end)).count() as u32;
    assert!(doubts > 60 && failures > 5 && doubts + failures <= 90, "{doubts} {failures}");
}

#[test]
fn servers_that_fail_all_at_once_are_left_at_once() {
    let initial_level = Instant::now();
    let mut budget = Budget::new(RATIO, WINDOW, initial_level);
    for number in 0..200_u32 {
        budget.record_request(initial_level + WINDOW / 100 * number);
    }
    // Without slack, in the moment after a calm time of 100 requests a window.
    let now = initial_level + 2 * WINDOW;
    let failures = (0..100).filter(|_| budget.try_take(Cause::Failure, now)).count();
    assert!(failures >= 40, "{failures}");
}
