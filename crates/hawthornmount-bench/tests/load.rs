//! Tests of the arrivals and latencies of the open-loop load.

use {
    hawthornmount_bench::load::{OpenLoop, Outcome},
    rstest::rstest,
    std::time::Duration,
};

struct Case {
    max_in_flight: usize,
    min_p99_ms: f64,
    max_p99_ms: f64,
}

/// Requests take 20 ms each and arrive at 100 per second, so that a queue builds up if only one may
/// be in flight. The wait in the queue must count as latency; otherwise slow responses would hide
/// the latency of the requests behind them (coordinated omission).
#[rstest]
#[case::without_queueing(Case { max_in_flight: 1_000, min_p99_ms: 20.0, max_p99_ms: 25.0 })]
#[case::with_queueing(Case { max_in_flight: 1, min_p99_ms: 900.0, max_p99_ms: 1_300.0 })]
#[tokio::test(start_paused = true)]
async fn latency_counts_from_the_intended_start(#[case] case: Case) {
    let load = OpenLoop {
        rate: 100.0,
        duration: Duration::from_secs(1),
        seed: 3,
        max_in_flight: case.max_in_flight,
        timeout: Duration::from_secs(60),
    };
    let tally = load
        .run(|_| async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            Outcome::Answered { first_byte: None }
        })
        .await;
    assert_eq!(tally.total() as usize, load.arrivals().len());
    let p99 = tally.latency_ms(0.99);
    assert!(p99 >= case.min_p99_ms && p99 <= case.max_p99_ms, "p99 is {p99} ms");
}

#[test]
fn arrivals_are_determined_by_the_seed() {
    let load = OpenLoop {
        rate: 1_000.0,
        duration: Duration::from_secs(2),
        seed: 9,
        max_in_flight: 1,
        timeout: Duration::from_secs(1),
    };
    let arrivals = load.arrivals();
    assert_eq!(arrivals, load.arrivals());
    assert!(arrivals.is_sorted());
    assert!((1_800..2_200).contains(&arrivals.len()), "{} arrivals", arrivals.len());
    assert_ne!(arrivals, OpenLoop { seed: 10, ..load }.arrivals());
}
