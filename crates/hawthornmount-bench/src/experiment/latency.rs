//! Latency of the server choice against simple rules, with late load reports and a slow server.

use {
    super::{Failure, Options, Report, block_on_within},
    crate::{
        figure::Outcome,
        load::{OpenLoop, Tally},
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

/// Longest time of the experiment.
const LIMIT: Duration = Duration::from_secs(150);
/// Requests a second: about two thirds of what the servers can do.
const RATE: f64 = 360.0;
/// Time over which the first requests are not counted.
const WARM_UP: Duration = Duration::from_secs(1);
/// Times between load reports, with the time of the load.
const LAGS: [Lag; 3] = [Lag::new(0, 2), Lag::new(1, 2), Lag::new(5, 6)];
/// Deadline of a request.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Slowdown of one server.
const SLOWDOWN: f64 = 5.0;
/// Pause between two looks at the servers' true load.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
/// Largest latency over the best simple rule's.
const MAX_RATIO: f64 = 0.8;
/// Largest load of a server over the mean of the healthy ones.
const MAX_HERD: f64 = 2.0;

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

struct Contender {
    name: &'static str,
    /// Whether the rule reads load reports; one that does not is measured once.
    reads_reports: bool,
    router: Option<fn() -> Arc<dyn Router>>,
}

const CONTENDERS: [Contender; 5] = [
    Contender { name: "adaptive", reads_reports: true, router: None },
    Contender {
        name: "random",
        reads_reports: false,
        router: Some(|| Arc::new(Basic::with_strategy(Strategy::Random))),
    },
    Contender {
        name: "round_robin",
        reads_reports: false,
        router: Some(|| Arc::new(Basic::with_strategy(Strategy::RoundRobin))),
    },
    Contender {
        name: "least_reported",
        reads_reports: true,
        router: Some(|| Arc::new(Basic::with_strategy(Strategy::LeastReported))),
    },
    Contender {
        name: "two_choices",
        reads_reports: true,
        router: Some(|| Arc::new(Basic::with_strategy(Strategy::TwoChoices))),
    },
];

struct Measured {
    tally: Tally,
    herd: f64,
}

/// Measures all rules at all lags.
///
/// # Errors
///
/// Returns a failure if an instance or stand-in can't start.
pub fn run(options: Options) -> Result<Report, Failure> {
    block_on_within(LIMIT, measure_all(options))
}

async fn measure_all(options: Options) -> Result<Report, Failure> {
    let mut outcome = Outcome::new("latency", options.seed);
    let mut series: Vec<Series> =
        CONTENDERS.iter().map(|one| Series { name: one.name.into(), points: Vec::new() }).collect();
    let mut kept: Vec<Option<Measured>> = CONTENDERS.iter().map(|_| None).collect();
    for lag in LAGS {
        let seconds = lag.period.as_secs();
        let (mut own, mut best) = (f64::MAX, f64::MAX);
        for (at, contender) in CONTENDERS.iter().enumerate() {
            if contender.reads_reports || kept[at].is_none() {
                kept[at] = Some(measure(contender, lag, options.seed).await?);
            }
            let Some(measured) = &kept[at] else { continue };
            let p95 = measured.tally.latency_ms(0.95);
            outcome = add(outcome, contender.name, seconds, measured);
            series[at].points.push(Point { x: lag.period.as_secs_f64(), y: p95 });
            if contender.router.is_none() {
                own = p95;
                let name = format!("lag_{seconds}s_adaptive_herd");
                outcome = outcome.at_most(&name, measured.herd, MAX_HERD);
            } else {
                best = best.min(p95);
            }
        }
        let name = format!("lag_{seconds}s_p95_over_best_simple");
        let ratio = own / best.max(f64::MIN_POSITIVE);
        outcome = outcome.at_most(&name, ratio, MAX_RATIO);
    }
    let plot = Plot {
        title: "Latency with late load reports and one slow server".into(),
        x_label: "time between reports in s".into(),
        y_label: "p95 in ms".into(),
        series,
    };
    Ok(Report { outcome, plot: Some(plot) })
}

fn add(outcome: Outcome, name: &str, lag: u64, measured: &Measured) -> Outcome {
    let tally = &measured.tally;
    let key = |what: &str| format!("lag_{lag}s_{name}_{what}");
    outcome
        .figure(&key("p50_ms"), tally.latency_ms(0.5))
        .figure(&key("p95_ms"), tally.latency_ms(0.95))
        .figure(&key("p99_ms"), tally.latency_ms(0.99))
        .figure(&key("first_p95_ms"), tally.first_byte_ms(0.95))
        .figure(&key("herd"), measured.herd)
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

async fn measure(contender: &Contender, lag: Lag, seed: u64) -> Result<Measured, Failure> {
    let testbed = Testbed::start(&spec(lag.period, contender.router)).await?;
    if let Some(slow) = testbed.engines().next() {
        slow.set_limits(Limits { slowdown: SLOWDOWN, ..slow.limits() });
    }
    run_load(&testbed, WARM_UP, seed).await;
    let (tally, herd) =
        tokio::join!(run_load(&testbed, lag.duration, seed + 1), watch(&testbed, lag.duration));
    Ok(Measured { tally, herd })
}

async fn run_load(testbed: &Testbed, duration: Duration, seed: u64) -> Tally {
    let open = OpenLoop { rate: RATE, duration, seed, max_in_flight: 2_000, timeout: TIMEOUT };
    let (caller, addresses) = (Caller::new(), testbed.caller_addresses());
    open.run(|number| {
        let mut rng = SmallRng::seed_from_u64(seed.wrapping_add(number * 7_919));
        let asked = Request {
            account: "municipal",
            task: "notes",
            prompt: format!("Draft note {number}."),
            model: Some("draft"),
            max_tokens: rng.random_range(10..=40),
            stream: rng.random_bool(0.5),
            timeout_ms: u64::try_from(TIMEOUT.as_millis()).unwrap_or(u64::MAX),
        };
        let address = addresses[rng.random_range(0..addresses.len())];
        let caller = caller.clone();
        async move { caller.send(address, asked).await.outcome }
    })
    .await
}

/// Returns the mean over time of the largest load of a healthy server over their mean.
async fn watch(testbed: &Testbed, duration: Duration) -> f64 {
    let end = Instant::now() + duration;
    let (mut sum, mut looks) = (0.0, 0.0);
    while Instant::now() < end {
        let loads: Vec<f64> = testbed.engines().skip(1).map(|one| f64::from(one.load())).collect();
        let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
        let largest = loads.iter().copied().fold(0.0, f64::max);
        if mean >= 1.0 {
            sum += largest / mean;
            looks += 1.0;
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
    sum / f64::max(looks, 1.0)
}
