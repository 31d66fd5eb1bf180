//! The load's arrivals and latencies.

use {
    hawthornmount_bench::load::{OpenLoop, Outcome},
    rstest::rstest,
    std::time::Duration,
};

struct Case {
    max_in_flight: usize,
    least_p99_ms: f64,
    most_p99_ms: f64,
}

/// Each request takes 20 ms and 100 arrive in a second: one at a time, the queue's wait has to
/// show in the latency.
#[rstest]
#[case::room(Case { max_in_flight: 1_000, least_p99_ms: 20.0, most_p99_ms: 25.0 })]
#[case::queue(Case { max_in_flight: 1, least_p99_ms: 900.0, most_p99_ms: 1_300.0 })]
#[tokio::test(start_paused = true)]
async fn latency_counts_from_the_intended_time(#[case] case: Case) {
    let open = OpenLoop {
        rate: 100.0,
        duration: Duration::from_secs(1),
        seed: 3,
        max_in_flight: case.max_in_flight,
        timeout: Duration::from_secs(60),
    };
    let tally = open
        .run(|_| async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            Outcome::Answered { first_byte: None }
        })
        .await;
    assert_eq!(tally.total() as usize, open.arrivals().len());
    let p99 = tally.latency_ms(0.99);
    assert!(p99 >= case.least_p99_ms && p99 <= case.most_p99_ms, "p99 is {p99} ms");
}

#[test]
fn arrivals_follow_from_the_seed() {
    let open = OpenLoop {
        rate: 1_000.0,
        duration: Duration::from_secs(2),
        seed: 9,
        max_in_flight: 1,
        timeout: Duration::from_secs(1),
    };
    let arrivals = open.arrivals();
    assert_eq!(arrivals, open.arrivals());
    assert!(arrivals.is_sorted());
    assert!((1_800..2_200).contains(&arrivals.len()), "{} arrivals", arrivals.len());
    assert_ne!(arrivals, OpenLoop { seed: 10, ..open }.arrivals());
}
