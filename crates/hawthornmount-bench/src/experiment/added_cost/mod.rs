//! Measures what the router adds to a completion in comparison with direct requests to the engine
//! and with a plain pass-through. All paths are measured in one run and with equal connections.

mod caller;
mod filters;
mod passthrough;
mod setup;

use {
    super::{Failure, Options, Report, block_on_within},
    crate::{
        figure::Outcome,
        load::{ClosedLoop, OpenLoop, Tally},
        usage,
    },
    caller::Caller,
    setup::Setup,
    std::{net::SocketAddr, time::Duration},
    tokio::runtime::Runtime,
};

/// Time limit of the experiment.
const RUN_TIMEOUT: Duration = Duration::from_secs(180);
/// Number of threads of the callers.
const CALLER_THREADS: usize = 3;
/// Number of concurrent callers at saturation.
const CALLERS: usize = 1_024;
/// Number of rounds at saturation. Each round measures the paths one after another.
const ROUNDS: usize = 2;
/// Duration of one measurement if none is given.
const DEFAULT_DURATION: Duration = Duration::from_secs(2);
/// Duration of the warm-up of each path.
const WARM_UP: Duration = Duration::from_millis(500);
/// Delay of the engine's first token at half load.
const FIRST_TOKEN_DELAY: Duration = Duration::from_millis(20);
/// Delay between the engine's tokens at half load.
const TOKEN_DELAY: Duration = Duration::from_millis(1);
/// Highest number of requests in flight at half load.
const MAX_IN_FLIGHT: usize = 4_096;
/// Time limit of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Lowest ratio of the router's requests per second to the pass-through's.
const MIN_RATE_RATIO: f64 = 0.7;
/// Highest ratio of the router's p99 at half load to the pass-through's.
const MAX_P99_RATIO: f64 = 1.5;
/// Highest time by which the first token may come later than through the pass-through, in
/// milliseconds.
const MAX_FIRST_TOKEN_ADDED_MS: f64 = 1.0;

/// A path to the engine.
#[derive(Clone, Copy)]
struct Path {
    name: &'static str,
    address: SocketAddr,
    /// Name of the threads that serve the path.
    threads: &'static str,
}

/// Totals of one path at saturation; times are in seconds.
#[derive(Clone, Copy, Default)]
struct Totals {
    /// Number of complete answers.
    answers: f64,
    elapsed_s: f64,
    /// CPU time of the threads of the path.
    cpu_s: f64,
    /// CPU time of the control thread.
    control_cpu_s: f64,
    /// Number of requests that failed or were refused.
    failed: u64,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns a failure if a component can't start or if the experiment exceeds its time limit.
pub fn run(options: Options) -> Result<Report, Failure> {
    let callers = setup::named_runtime("callers", CALLER_THREADS)?;
    let duration = options.duration.unwrap_or(DEFAULT_DURATION);
    let outcome = block_on_within(RUN_TIMEOUT, measure(options.seed, duration, &callers));
    callers.shutdown_background();
    Ok(Report { outcome: outcome?, plot: None })
}

async fn measure(seed: u64, duration: Duration, callers: &Runtime) -> Result<Outcome, Failure> {
    let setup = Setup::start().await?;
    let paths = [
        Path { name: "direct", address: setup.direct, threads: "platform" },
        Path { name: "pass", address: setup.passthrough, threads: "pass" },
        Path { name: "router", address: setup.router.caller_address(), threads: "traffic" },
    ];
    setup.set_token_delays(Duration::ZERO, Duration::ZERO);
    let mut totals = [Totals::default(); 3];
    for path in paths {
        saturate(callers, path, WARM_UP).await?;
    }
    for _ in 0..ROUNDS {
        for (total, path) in totals.iter_mut().zip(paths) {
            total.add(saturate(callers, path, duration).await?);
        }
    }
    let mut outcome = Outcome::new("added-cost", seed);
    for (total, path) in totals.iter().zip(paths) {
        outcome = total.add_figures(outcome, path.name);
    }
    let [_, passthrough, router] = totals;
    outcome = outcome
        .at_least("rate of the pass-through's", router.rate() / passthrough.rate(), MIN_RATE_RATIO)
        .figure(
            "control thread, percent of a core",
            100.0 * router.control_cpu_s / router.elapsed_s,
        );
    for row in &filters::mean_times(setup.router.components()).await {
        outcome = outcome.figure(&format!("filter {}, us", row.id), row.value);
    }
    setup.set_token_delays(FIRST_TOKEN_DELAY, TOKEN_DELAY);
    let rate = router.rate() / 2.0;
    let buffered = [
        measure_half_load(callers, paths[0], false, rate, duration, seed).await?,
        measure_half_load(callers, paths[1], false, rate, duration, seed).await?,
        measure_half_load(callers, paths[2], false, rate, duration, seed).await?,
    ];
    // A streamed answer takes about 20 writes, so streams are requested at a tenth of the rate.
    let stream_rate = rate / 10.0;
    let streamed = [
        measure_half_load(callers, paths[0], true, stream_rate, duration, seed).await?,
        measure_half_load(callers, paths[1], true, stream_rate, duration, seed).await?,
        measure_half_load(callers, paths[2], true, stream_rate, duration, seed).await?,
    ];
    setup.stop();
    Ok(add_latencies(
        outcome.figure("half load, requests a second", rate),
        &buffered,
        &streamed,
        paths,
    ))
}

fn add_latencies(
    mut outcome: Outcome,
    buffered: &[Tally; 3],
    streamed: &[Tally; 3],
    paths: [Path; 3],
) -> Outcome {
    for ((buffered, streamed), path) in buffered.iter().zip(streamed).zip(paths) {
        let name = path.name;
        let failed = buffered.failed + buffered.refused + streamed.failed + streamed.refused;
        outcome = outcome
            .figure(&format!("{name} p50, ms"), buffered.latency_ms(0.5))
            .figure(&format!("{name} p99, ms"), buffered.latency_ms(0.99))
            .figure(&format!("{name} first token p50, ms"), streamed.first_byte_ms(0.5))
            .figure(&format!("{name} first token p95, ms"), streamed.first_byte_ms(0.95))
            .at_most(&format!("{name} not answered at half load"), failed as f64, 0.0);
    }
    let [_, passthrough, router] = buffered;
    let added_ms =
        |quantile: f64| streamed[2].first_byte_ms(quantile) - streamed[1].first_byte_ms(quantile);
    outcome
        .at_most("p99 of the pass-through's", p99_ratio(router, passthrough), MAX_P99_RATIO)
        .at_most("first token later p50, ms", added_ms(0.5), MAX_FIRST_TOKEN_ADDED_MS)
        .at_most("first token later p95, ms", added_ms(0.95), MAX_FIRST_TOKEN_ADDED_MS)
}

fn p99_ratio(router: &Tally, passthrough: &Tally) -> f64 {
    router.latency_ms(0.99) / passthrough.latency_ms(0.99)
}

async fn saturate(callers: &Runtime, path: Path, duration: Duration) -> Result<Totals, Failure> {
    let caller = Caller::new(path.address, false, false);
    let closed = ClosedLoop { callers: CALLERS, duration, timeout: REQUEST_TIMEOUT };
    let (cpu_s, control_cpu_s) = (usage::cpu_seconds(path.threads), usage::cpu_seconds("control"));
    let task =
        callers.spawn(async move { closed.run(move |number| caller.clone().send(number)).await });
    let tally = task.await.map_err(|error| Failure::new(&error))?;
    Ok(Totals {
        answers: tally.answered() as f64,
        elapsed_s: tally.elapsed.as_secs_f64(),
        cpu_s: usage::cpu_seconds(path.threads) - cpu_s,
        control_cpu_s: usage::cpu_seconds("control") - control_cpu_s,
        failed: tally.failed + tally.refused,
    })
}

async fn measure_half_load(
    callers: &Runtime,
    path: Path,
    stream: bool,
    rate: f64,
    duration: Duration,
    seed: u64,
) -> Result<Tally, Failure> {
    let open =
        OpenLoop { rate, duration, seed, max_in_flight: MAX_IN_FLIGHT, timeout: REQUEST_TIMEOUT };
    let warm_up = OpenLoop { duration: WARM_UP, ..open };
    let caller = Caller::new(path.address, stream, false);
    let task = callers.spawn(async move {
        warm_up.run(|number| caller.clone().send(number)).await;
        open.run(|number| caller.clone().send(number)).await
    });
    task.await.map_err(|error| Failure::new(&error))
}

impl Totals {
    fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.elapsed_s += other.elapsed_s;
        self.cpu_s += other.cpu_s;
        self.control_cpu_s += other.control_cpu_s;
        self.failed += other.failed;
    }

    fn rate(self) -> f64 {
        self.answers / self.elapsed_s
    }

    fn add_figures(self, outcome: Outcome, name: &str) -> Outcome {
        outcome
            .figure(&format!("{name} requests a second"), self.rate())
            .figure(&format!("{name} requests a core second"), self.answers / self.cpu_s)
            .at_most(&format!("{name} not answered at saturation"), self.failed as f64, 0.0)
    }
}
