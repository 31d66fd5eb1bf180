//! Retries stay within their ratio to the requests in every window.

use {
    hawthornmount_gateway::budget::{Budget, Cause},
    proptest::prelude::*,
    std::time::{Duration, Instant},
};

const WINDOW: Duration = Duration::from_secs(10);
const RATIO: f64 = 0.9;

const INSTANCES: usize = 9;
/// Retries that a window of the whole fleet allows in addition to the ratio.
const SLACK: f64 = 58.0;

/// Runs requests and attempted retries, given in milliseconds from the start, on instances that
/// each receive a ninth of them; returns the times of the retries that were allowed.
fn run_fleet(requests: &[u64], attempts: &[u64]) -> Vec<u64> {
    let start = Instant::now();
    let budget = || {
        let mut budget = Budget::new(RATIO, WINDOW, start);
        budget.set_slack(SLACK / INSTANCES as f64);
        budget
    };
    let mut fleet: Vec<Budget> = (0..INSTANCES).map(|_| budget()).collect();
    let mut events: Vec<(u64, bool)> = requests.iter().map(|at| (*at, false)).collect();
    events.extend(attempts.iter().map(|at| (*at, true)));
    events.sort_unstable();
    let mut retries = Vec::new();
    for (number, (at, is_retry)) in events.into_iter().enumerate() {
        let now = start + Duration::from_millis(at);
        let instance = &mut fleet[number % INSTANCES];
        if !is_retry {
            instance.record_request(now);
        } else if instance.try_take(Cause::Failure, now) {
            retries.push(at);
        }
    }
    retries
}

fn count_between(times: &[u64], from: u64, until: u64) -> usize {
    times.iter().filter(|at| (from..until).contains(*at)).count()
}

/// Generates times that come in bursts, as disruptions cause them.
fn bursts(max_size: usize) -> impl Strategy<Value = Vec<u64>> {
    let burst = (0_u64..40_000, 1_u64..4_000, 0..max_size);
    prop::collection::vec(burst, 1..8).prop_map(|bursts| {
        let spread = |(at, length, count): (u64, u64, usize)| {
            (0..count as u64).map(move |number| at + number * length / count as u64)
        };
        bursts.into_iter().flat_map(spread).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn fleet_stays_within_ratio_in_every_window(requests in bursts(400), attempts in bursts(900)) {
        let retries = run_fleet(&requests, &attempts);
        for end in (10_000..54_000).step_by(250) {
            // The limit refers to the requests of this window, of the window that begins half a
            // window earlier or of the window before, whichever has the most.
            let most = [0, 5_000, 10_000_u64]
                .map(|back| {
                    let until = end - back;
                    count_between(&requests, until.saturating_sub(10_000), until)
                })
                .into_iter()
                .max()
                .unwrap_or(0);
            let allowed = RATIO * most as f64 + SLACK;
            prop_assert!(count_between(&retries, end - 10_000, end) as f64 <= allowed);
        }
    }
}

#[test]
fn retries_are_available_again_when_requests_resume() {
    let start = Instant::now();
    let mut budget = Budget::new(RATIO, WINDOW, start);
    assert!(!budget.try_take(Cause::Failure, start));
    let later = start + 3 * WINDOW;
    for _ in 0..10 {
        budget.record_request(later);
    }
    assert!(budget.try_take(Cause::Failure, later));
    assert!(!budget.try_take(Cause::Failure, later + 2 * WINDOW));
}

#[test]
fn low_confidence_retries_leave_a_reserve_for_failures() {
    let start = Instant::now();
    let mut budget = Budget::new(RATIO, WINDOW, start);
    let (mut low_confidence, mut failures) = (0, 0);
    // 100 requests in each window; in the third one every response has low confidence, then every
    // attempt fails.
    for number in 0..300_u32 {
        let now = start + WINDOW / 100 * number;
        budget.record_request(now);
        if number >= 200 {
            low_confidence += u32::from(budget.try_take(Cause::LowConfidence, now));
        }
    }
    let end = start + WINDOW / 100 * 299;
    failures += (0..100).filter(|_| budget.try_take(Cause::Failure, end)).count() as u32;
    assert!(
        low_confidence > 60 && failures > 5 && low_confidence + failures <= 90,
        "{low_confidence} {failures}"
    );
}

#[test]
fn simultaneous_failures_can_be_retried_without_new_requests() {
    let start = Instant::now();
    let mut budget = Budget::new(RATIO, WINDOW, start);
    for number in 0..200_u32 {
        budget.record_request(start + WINDOW / 100 * number);
    }
    // No slack, directly after two windows with 100 requests each and no retries.
    let now = start + 2 * WINDOW;
    let failures = (0..100).filter(|_| budget.try_take(Cause::Failure, now)).count();
    assert!(failures >= 40, "{failures}");
}
