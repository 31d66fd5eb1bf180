//! What the router adds to a completion, against the engine asked directly and against a bare
//! pass-through, in one run and with the same connections.

mod caller;
mod filters;
mod passthrough;
mod path;

use {
    super::{Failure, Options, Report, block_on_within},
    crate::{
        figure::Result as Outcome,
        load::{Closed, Open, Tally},
        usage,
    },
    caller::Caller,
    path::Paths,
    std::{net::SocketAddr, time::Duration},
    tokio::runtime::Runtime,
};

/// Time that the run may take.
const LIMIT: Duration = Duration::from_secs(180);
/// Threads of the callers.
const CALLER_THREADS: usize = 3;
/// Callers at saturation.
const CALLERS: usize = 1_024;
/// Rounds at saturation; the ways take turns.
const ROUNDS: usize = 2;
/// Time of one measurement without a given duration.
const DEFAULT_DURATION: Duration = Duration::from_secs(2);
/// Time of the warm-up of each way.
const WARM_UP: Duration = Duration::from_millis(500);
/// Engine's time to the first token at half load.
const FIRST_TOKEN: Duration = Duration::from_millis(20);
/// Engine's time between tokens at half load.
const PER_TOKEN: Duration = Duration::from_millis(1);
/// Requests in flight at the most at half load.
const IN_FLIGHT: usize = 4_096;
/// Time that one request may take.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Least part of the pass-through's requests a second.
const LEAST_RATE: f64 = 0.7;
/// Most that the p99 at half load may be of the pass-through's.
const MOST_P99: f64 = 1.5;
/// Most that the first token may come later, in milliseconds.
const MOST_FIRST_TOKEN_MS: f64 = 1.0;

/// One way to the engine.
#[derive(Clone, Copy)]
struct Way {
    name: &'static str,
    address: SocketAddr,
    threads: &'static str,
}

/// Whole answers a second of one way, and for each second of its threads.
#[derive(Clone, Copy, Default)]
struct Rate {
    answers: f64,
    elapsed: f64,
    processor: f64,
    control: f64,
    wrong: u64,
}

/// Runs the experiment.
///
/// # Errors
///
/// Returns a failure if something can't start or the time is over.
pub fn run(options: Options) -> Result<Report, Failure> {
    let callers = path::threads("callers", CALLER_THREADS)?;
    let duration = options.duration.unwrap_or(DEFAULT_DURATION);
    let outcome = block_on_within(LIMIT, measure(options.seed, duration, &callers));
    callers.shutdown_background();
    Ok(Report { outcome: outcome?, plot: None })
}

async fn measure(seed: u64, duration: Duration, callers: &Runtime) -> Result<Outcome, Failure> {
    let paths = Paths::start().await?;
    let ways = [
        Way { name: "direct", address: paths.direct, threads: "platform" },
        Way { name: "pass", address: paths.pass, threads: "pass" },
        Way { name: "router", address: paths.router.callers(), threads: "traffic" },
    ];
    paths.set_times(Duration::ZERO, Duration::ZERO);
    let mut rates = [Rate::default(); 3];
    for way in ways {
        saturate(callers, way, WARM_UP).await?;
    }
    for _ in 0..ROUNDS {
        for (rate, way) in rates.iter_mut().zip(ways) {
            rate.add(saturate(callers, way, duration).await?);
        }
    }
    let mut outcome = Outcome::new("added-cost", seed);
    for (rate, way) in rates.iter().zip(ways) {
        outcome = rate.figures(outcome, way.name);
    }
    let [_, pass, router] = rates;
    outcome = outcome
        .at_least("rate of the pass-through's", router.rate() / pass.rate(), LEAST_RATE)
        .figure("control thread, percent of a core", 100.0 * router.control / router.elapsed);
    for row in &filters::times(paths.router.parts()).await {
        outcome = outcome.figure(&format!("filter {}, us", row.id), row.value);
    }
    paths.set_times(FIRST_TOKEN, PER_TOKEN);
    let rate = router.rate() / 2.0;
    let whole = [
        half(callers, ways[0], false, rate, duration, seed).await?,
        half(callers, ways[1], false, rate, duration, seed).await?,
        half(callers, ways[2], false, rate, duration, seed).await?,
    ];
    // A streamed answer is some 20 writes, so the streams arrive at a tenth of the rate.
    let streams = rate / 10.0;
    let first = [
        half(callers, ways[0], true, streams, duration, seed).await?,
        half(callers, ways[1], true, streams, duration, seed).await?,
        half(callers, ways[2], true, streams, duration, seed).await?,
    ];
    paths.end();
    Ok(latencies(outcome.figure("half load, requests a second", rate), &whole, &first, ways))
}

fn latencies(
    mut outcome: Outcome,
    whole: &[Tally; 3],
    first: &[Tally; 3],
    ways: [Way; 3],
) -> Outcome {
    for ((whole, first), way) in whole.iter().zip(first).zip(ways) {
        let name = way.name;
        let wrong = whole.failed + whole.refused + first.failed + first.refused;
        outcome = outcome
            .figure(&format!("{name} p50, ms"), whole.latency_ms(0.5))
            .figure(&format!("{name} p99, ms"), whole.latency_ms(0.99))
            .figure(&format!("{name} first token p50, ms"), first.first_ms(0.5))
            .figure(&format!("{name} first token p95, ms"), first.first_ms(0.95))
            .at_most(&format!("{name} not answered at half load"), wrong as f64, 0.0);
    }
    let [_, pass, router] = whole;
    let later = |quantile: f64| first[2].first_ms(quantile) - first[1].first_ms(quantile);
    outcome
        .at_most("p99 of the pass-through's", ratio(router, pass), MOST_P99)
        .at_most("first token later p50, ms", later(0.5), MOST_FIRST_TOKEN_MS)
        .at_most("first token later p95, ms", later(0.95), MOST_FIRST_TOKEN_MS)
}

fn ratio(router: &Tally, pass: &Tally) -> f64 {
    router.latency_ms(0.99) / pass.latency_ms(0.99)
}

async fn saturate(callers: &Runtime, way: Way, duration: Duration) -> Result<Rate, Failure> {
    let caller = Caller::new(way.address, false, false);
    let closed = Closed { callers: CALLERS, duration, timeout: TIMEOUT };
    let (processor, control) = (usage::processor(way.threads), usage::processor("control"));
    let task =
        callers.spawn(async move { closed.run(move |number| caller.clone().ask(number)).await });
    let tally = task.await.map_err(|error| Failure::new(&error))?;
    Ok(Rate {
        answers: tally.answered() as f64,
        elapsed: tally.elapsed.as_secs_f64(),
        processor: usage::processor(way.threads) - processor,
        control: usage::processor("control") - control,
        wrong: tally.failed + tally.refused,
    })
}

async fn half(
    callers: &Runtime,
    way: Way,
    stream: bool,
    rate: f64,
    duration: Duration,
    seed: u64,
) -> Result<Tally, Failure> {
    let open = Open { rate, duration, seed, in_flight: IN_FLIGHT, timeout: TIMEOUT };
    let warm = Open { duration: WARM_UP, ..open };
    let caller = Caller::new(way.address, stream, false);
    let task = callers.spawn(async move {
        warm.run(|number| caller.clone().ask(number)).await;
        open.run(|number| caller.clone().ask(number)).await
    });
    task.await.map_err(|error| Failure::new(&error))
}

impl Rate {
    fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.elapsed += other.elapsed;
        self.processor += other.processor;
        self.control += other.control;
        self.wrong += other.wrong;
    }

    fn rate(self) -> f64 {
        self.answers / self.elapsed
    }

    fn figures(self, outcome: Outcome, name: &str) -> Outcome {
        outcome
            .figure(&format!("{name} requests a second"), self.rate())
            .figure(&format!("{name} requests a core second"), self.answers / self.processor)
            .at_most(&format!("{name} not answered at saturation"), self.wrong as f64, 0.0)
    }
}
