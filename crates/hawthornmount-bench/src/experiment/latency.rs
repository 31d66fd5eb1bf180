//! Latency with the adaptive choice of a server and with simple balancing policies, under delayed
//! load reports and with one slow server.

use {
    super::{Failure, Options, Report, block_on_within},
    crate::{
        figure::Outcome,
        load::{OpenLoop, REQUEST_SEED_STRIDE, Tally},
        plot::{Plot, Point, Series},
        testbed::{AccountSpec, Caller, DataCentre, ModelSpec, Request, Spec, Testbed},
    },
    hawthornmount_policy::{
        Router,
        basic::{Basic, Strategy},
    },
    hawthornmount_standin::engine::Limits,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time after which the experiment fails.
const RUN_TIMEOUT: Duration = Duration::from_secs(150);
/// Average number of requests per second, about two thirds of what the servers can handle.
const REQUESTS_PER_S: f64 = 360.0;
/// Duration of the load before each measurement, which is not counted.
const WARM_UP: Duration = Duration::from_secs(1);
/// Intervals between load reports, each with the duration of its load, in seconds.
const LAGS: [Lag; 3] = [Lag::new(0, 2), Lag::new(1, 2), Lag::new(5, 6)];
/// Deadline of each request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Factor by which the slow server is slower.
const SLOWDOWN: f64 = 5.0;
/// Interval at which the actual load of the servers is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Largest allowed ratio of the adaptive policy's p95 latency to that of the best simple policy.
const MAX_P95_RATIO: f64 = 0.8;
/// Largest allowed ratio of the highest load of a healthy server to their mean load.
const MAX_HERD_RATIO: f64 = 2.0;

/// Interval between load reports, and duration of the load with it.
#[derive(Clone, Copy)]
struct Lag {
    period: Duration,
    duration: Duration,
}

impl Lag {
    const fn new(period: u64, duration: u64) -> Self {
        Self { period: Duration::from_secs(period), duration: Duration::from_secs(duration) }
    }
}

/// Balancing policy whose latency is measured.
struct Policy {
    name: &'static str,
    /// Whether the policy uses load reports. One that doesn't is measured only once, because
    /// the report interval does not affect it.
    reads_reports: bool,
    /// Creates the router; with none, instances use the default router, which is adaptive.
    router: Option<fn() -> Arc<dyn Router>>,
}

const POLICIES: [Policy; 5] = [
    Policy { name: "adaptive", reads_reports: true, router: None },
    Policy {
        name: "random",
        reads_reports: false,
        router: Some(|| Arc::new(Basic::with_strategy(Strategy::Random))),
    },
    Policy {
        name: "round_robin",
        reads_reports: false,
        router: Some(|| Arc::new(Basic::with_strategy(Strategy::RoundRobin))),
    },
    Policy {
        name: "least_reported",
        reads_reports: true,
        router: Some(|| Arc::new(Basic::with_strategy(Strategy::LeastReported))),
    },
    Policy {
        name: "two_choices",
        reads_reports: true,
        router: Some(|| Arc::new(Basic::with_strategy(Strategy::TwoChoices))),
    },
];

struct Measurement {
    tally: Tally,
    /// Highest load of a healthy server divided by their mean load, averaged over time.
    herd: f64,
}

/// Measures all policies with all report intervals.
///
/// # Errors
///
/// Returns a failure if an instance or stand-in can't start.
pub fn run(options: Options) -> Result<Report, Failure> {
    block_on_within(RUN_TIMEOUT, measure_all(options))
}

async fn measure_all(options: Options) -> Result<Report, Failure> {
    let mut outcome = Outcome::new("latency", options.seed);
    let mut series: Vec<Series> =
        POLICIES.iter().map(|one| Series { name: one.name.into(), points: Vec::new() }).collect();
    let mut measurements: Vec<Option<Measurement>> = POLICIES.iter().map(|_| None).collect();
    for lag in LAGS {
        let seconds = lag.period.as_secs();
        let (mut adaptive_p95, mut best_simple_p95) = (f64::MAX, f64::MAX);
        for (at, policy) in POLICIES.iter().enumerate() {
            if policy.reads_reports || measurements[at].is_none() {
                measurements[at] = Some(measure(policy, lag, options.seed).await?);
            }
            let Some(measurement) = &measurements[at] else { continue };
            let p95 = measurement.tally.latency_ms(0.95);
            outcome = add_figures(outcome, policy.name, seconds, measurement);
            series[at].points.push(Point { x: lag.period.as_secs_f64(), y: p95 });
            if policy.router.is_none() {
                adaptive_p95 = p95;
                let name = format!("lag_{seconds}s_adaptive_herd");
                outcome = outcome.at_most(&name, measurement.herd, MAX_HERD_RATIO);
            } else {
                best_simple_p95 = best_simple_p95.min(p95);
            }
        }
        let name = format!("lag_{seconds}s_p95_over_best_simple");
        let ratio = adaptive_p95 / best_simple_p95.max(f64::MIN_POSITIVE);
        outcome = outcome.at_most(&name, ratio, MAX_P95_RATIO);
    }
    let plot = Plot {
        title: "Latency with late load reports and one slow server".into(),
        x_label: "time between reports in s".into(),
        y_label: "p95 in ms".into(),
        series,
    };
    Ok(Report { outcome, plot: Some(plot) })
}

fn add_figures(outcome: Outcome, name: &str, lag: u64, measurement: &Measurement) -> Outcome {
    let tally = &measurement.tally;
    let key = |what: &str| format!("lag_{lag}s_{name}_{what}");
    outcome
        .figure(&key("p50_ms"), tally.latency_ms(0.5))
        .figure(&key("p95_ms"), tally.latency_ms(0.95))
        .figure(&key("p99_ms"), tally.latency_ms(0.99))
        .figure(&key("first_p95_ms"), tally.first_byte_ms(0.95))
        .figure(&key("herd"), measurement.herd)
        .figure(&key("not_answered"), (tally.refused + tally.failed) as f64)
}

fn spec(lag: Duration, router: Option<fn() -> Arc<dyn Router>>) -> Spec {
    Spec {
        data_centres: vec![DataCentre {
            id: "attica-a",
            region: "attica",
            instances: 6,
            engines: 8,
        }],
        models: vec![ModelSpec {
            id: "draft",
            price: 100,
            quality: 1.0,
            first_token: Duration::from_millis(10),
            per_token: Duration::from_millis(2),
        }],
        accounts: vec![AccountSpec { id: "municipal", weight: 1, quality_target: 0.5 }],
        slots: 8,
        limits: Limits { congestion: 1.0, ..Limits::default() },
        report_period: lag,
        router,
    }
}

async fn measure(policy: &Policy, lag: Lag, seed: u64) -> Result<Measurement, Failure> {
    let testbed = Testbed::start(&spec(lag.period, policy.router)).await?;
    if let Some(slow) = testbed.engines().next() {
        slow.set_limits(Limits { slowdown: SLOWDOWN, ..slow.limits() });
    }
    run_load(&testbed, WARM_UP, seed).await;
    let (tally, herd) = tokio::join!(
        run_load(&testbed, lag.duration, seed + 1),
        measure_herd(&testbed, lag.duration)
    );
    Ok(Measurement { tally, herd })
}

async fn run_load(testbed: &Testbed, duration: Duration, seed: u64) -> Tally {
    let load = OpenLoop {
        rate: REQUESTS_PER_S,
        duration,
        seed,
        max_in_flight: 2_000,
        timeout: REQUEST_TIMEOUT,
    };
    let (caller, addresses) = (Caller::new(), testbed.caller_addresses());
    load.run(|number| {
        let mut rng = SmallRng::seed_from_u64(seed.wrapping_add(number * REQUEST_SEED_STRIDE));
        let request = Request {
            account: "municipal",
            task: "notes",
            prompt: format!("Draft note {number}."),
            model: Some("draft"),
            max_tokens: rng.random_range(10..=40),
            stream: rng.random_bool(0.5),
            timeout_ms: u64::try_from(REQUEST_TIMEOUT.as_millis()).unwrap_or(u64::MAX),
        };
        let address = addresses[rng.random_range(0..addresses.len())];
        let caller = caller.clone();
        async move { caller.send(address, request).await.outcome }
    })
    .await
}

/// Returns the ratio of the highest load of a healthy server to the mean load of the healthy
/// servers, averaged over time. A high ratio shows that requests herd on one server. Samples with
/// a mean load below 1 are skipped.
async fn measure_herd(testbed: &Testbed, duration: Duration) -> f64 {
    let end = Instant::now() + duration;
    let (mut sum, mut samples) = (0.0, 0.0);
    while Instant::now() < end {
        let loads: Vec<f64> = testbed.engines().skip(1).map(|one| f64::from(one.load())).collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let largest = loads.iter().copied().fold(0.0, f64::max);
        if mean >= 1.0 {
            sum += largest / mean;
            samples += 1.0;
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    sum / f64::max(samples, 1.0)
}
