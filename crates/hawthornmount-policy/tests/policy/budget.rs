use {
    hawthornmount_policy::budget::{Budget, backoff},
    rstest::rstest,
    std::time::{Duration, Instant},
};

struct Case {
    percent: u32,
    successes: u32,
    requested: u32,
    granted: u32,
}

#[rstest]
#[case::initial_balance_is_one_retry(Case {
    percent: 0, successes: 100, requested: 50, granted: 1,
})]
#[case::ten_percent_of_successes(Case { percent: 10, successes: 50, requested: 50, granted: 6 })]
#[case::balance_is_bounded(Case { percent: 10, successes: 10_000, requested: 50, granted: 10 })]
fn retries_are_limited_to_a_share_of_the_successes(#[case] case: Case) {
    let now = Instant::now();
    let mut budget = Budget::new(case.percent);
    for _ in 0..case.successes {
        budget.record_success();
    }
    let granted = (0..case.requested).filter(|_| budget.try_acquire(now)).count();
    assert_eq!(granted, case.granted as usize);
}

#[test]
fn retries_stay_within_ten_percent_of_requests_when_failures_follow_successes() {
    let mut now = Instant::now();
    let mut budget = Budget::new(10);
    let (mut requests, mut retries) = (0, 0);
    for _ in 0..2_000 {
        now += Duration::from_millis(1);
        requests += 1;
        budget.record_success();
        retries += u32::from(budget.try_acquire(now));
    }
    for _ in 0..2_000 {
        now += Duration::from_millis(1);
        requests += 1;
        retries += u32::from(budget.try_acquire(now));
    }
    assert!(f64::from(retries) <= 0.1 * f64::from(requests), "{retries} of {requests}");
}

#[rstest]
#[case(1, Duration::from_millis(10))]
#[case(3, Duration::from_millis(40))]
#[case(40, Duration::from_millis(500))]
fn backoff_is_jittered_below_an_exponential_bound(#[case] attempt: usize, #[case] bound: Duration) {
    assert_eq!(backoff(attempt, 0.0), Duration::ZERO);
    assert!(backoff(attempt, 1.0) <= bound);
    assert!(backoff(attempt, 0.5) < backoff(attempt, 1.0));
}
