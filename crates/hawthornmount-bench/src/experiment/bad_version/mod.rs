//! `bad-version`: counts the answers of a bad version until the last instance stops sending to it,
//! and the false suspensions of good versions. Simulates only the decision, in virtual time: nine
//! instances exchange their evidence by gossip with delayed and lost frames.

mod baseline;
mod simulation;

use {
    super::{Experiment, Failure, Options, Report},
    crate::figure::Outcome,
    baseline::{Breaker, Window},
    simulation::{Behaviour, Detector, Monitors, Onset, Scenario, Summary},
    std::thread,
};

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "bad-version",
    summary: "answers of a bad version until it is stopped; false suspensions of good ones",
    run,
};

/// Number of roll-outs of good versions.
const GOOD_RUNS: u64 = 1_000;
/// Number of roll-outs of good versions for the fixed window and for the circuit breaker.
const BASELINE_GOOD_RUNS: u64 = 200;
/// Number of runs for each bad version.
const BAD_RUNS: u64 = 40;
/// Number of threads that share the runs.
const THREADS: u64 = 4;
/// Highest number of false suspensions in all roll-outs of good versions: one in a thousand.
const MAX_FALSE: f64 = GOOD_RUNS as f64 / 1_000.0;

const GOOD: Behaviour = Behaviour { failure_rate: 0.01, quality: 0.85, latency_factor: 1.0 };

/// A bad version with its target.
struct Bad {
    name: &'static str,
    behaviour: Behaviour,
    /// Target for the 95th percentile of the number of answers until the last instance stops; none
    /// without a target.
    limit: Option<f64>,
    /// Whether only rated answers count.
    only_rated: bool,
}

const BAD: [Bad; 6] = [
    bad("errors_100", Behaviour { failure_rate: 1.0, ..GOOD }, Some(20.0), false),
    bad("errors_20", Behaviour { failure_rate: 0.2, ..GOOD }, Some(150.0), false),
    bad("errors_5", Behaviour { failure_rate: 0.05, ..GOOD }, None, false),
    bad("quality_0.25", Behaviour { quality: GOOD.quality - 0.25, ..GOOD }, Some(200.0), true),
    bad("quality_0.10", Behaviour { quality: GOOD.quality - 0.1, ..GOOD }, None, true),
    bad("latency_2x", Behaviour { latency_factor: 2.0, ..GOOD }, None, false),
];

const fn bad(
    name: &'static str,
    behaviour: Behaviour,
    limit: Option<f64>,
    only_rated: bool,
) -> Bad {
    Bad { name, behaviour, limit, only_rated }
}

fn run(options: Options) -> Result<Report, Failure> {
    let mut outcome = Outcome::new(EXPERIMENT.name, options.seed);
    let good =
        Scenario { candidate: GOOD, stable: GOOD, stable_after_onset: GOOD, onset: Onset::Never };
    let false_count =
        false_suspensions(&good, GOOD_RUNS, options.seed, &|| Box::new(Monitors::new()));
    outcome = outcome.at_most("false_suspensions", false_count, MAX_FALSE);
    outcome = outcome.figure("good_rollouts", GOOD_RUNS as f64);
    let per_thousand = 1_000.0 / BASELINE_GOOD_RUNS as f64;
    let false_count =
        false_suspensions(&good, BASELINE_GOOD_RUNS, options.seed, &|| Box::new(Window::new()));
    outcome = outcome.figure("window.false_per_1000", false_count * per_thousand);
    let false_count =
        false_suspensions(&good, BASELINE_GOOD_RUNS, options.seed, &|| Box::new(Breaker::new()));
    outcome = outcome.figure("breaker.false_per_1000", false_count * per_thousand);
    for bad in &BAD {
        for onset in [Onset::Rollout, Onset::InUse] {
            outcome = measure(outcome, bad, onset, options.seed);
        }
    }
    Ok(Report { outcome, plot: None })
}

fn measure(mut outcome: Outcome, bad: &Bad, onset: Onset, seed: u64) -> Outcome {
    let scenario = match onset {
        Onset::InUse => {
            Scenario { candidate: GOOD, stable: GOOD, stable_after_onset: bad.behaviour, onset }
        }
        _ => Scenario { candidate: bad.behaviour, stable: GOOD, stable_after_onset: GOOD, onset },
    };
    let name = format!("{}.{}", if onset == Onset::InUse { "in_use" } else { "rollout" }, bad.name);
    let summaries = run_all(&scenario, BAD_RUNS, seed, &|| Box::new(Monitors::new()));
    let mut counts: Vec<f64> = summaries
        .iter()
        .map(|summary| if bad.only_rated { summary.rated } else { summary.answers } as f64)
        .collect();
    counts.sort_by(f64::total_cmp);
    let p95 = quantile(&counts, 0.95);
    outcome = match bad.limit {
        Some(limit) => outcome.at_most(&format!("{name}.answers_p95"), p95, limit),
        None => outcome.figure(&format!("{name}.answers_p95"), p95),
    };
    outcome = outcome.figure(&format!("{name}.answers_median"), quantile(&counts, 0.5));
    outcome = outcome.figure(&format!("{name}.answers_max"), quantile(&counts, 1.0));
    outcome = outcome.figure(&format!("{name}.stopped"), fraction_stopped(&summaries));
    outcome = outcome
        .figure(&format!("{name}.bad_served_mean"), mean(&summaries, |summary| summary.bad as f64));
    outcome = outcome
        .figure(&format!("{name}.seconds_mean"), mean(&summaries, |summary| summary.seconds));
    let baselines: [(&str, &MakeDetector); 2] =
        [("window", &|| Box::new(Window::new())), ("breaker", &|| Box::new(Breaker::new()))];
    for (baseline, make_detector) in baselines {
        let summaries = run_all(&scenario, BAD_RUNS, seed, make_detector);
        let bad_served = mean(&summaries, |summary| summary.bad as f64);
        outcome = outcome.figure(&format!("{name}.{baseline}.bad_served_mean"), bad_served);
        outcome =
            outcome.figure(&format!("{name}.{baseline}.stopped"), fraction_stopped(&summaries));
    }
    outcome
}

type MakeDetector = dyn Fn() -> Box<dyn Detector> + Sync;

fn false_suspensions(
    scenario: &Scenario,
    runs: u64,
    seed: u64,
    make_detector: &MakeDetector,
) -> f64 {
    let summaries = run_all(scenario, runs, seed, make_detector);
    summaries.iter().filter(|summary| summary.any_stopped).count() as f64
}

/// Runs a scenario with `runs` seeds on [`THREADS`] threads.
fn run_all(
    scenario: &Scenario,
    runs: u64,
    seed: u64,
    make_detector: &MakeDetector,
) -> Vec<Summary> {
    thread::scope(|scope| {
        let run_share = |thread: u64| {
            let numbers = (0..runs).filter(move |number| number % THREADS == thread);
            let run = move |number| {
                simulation::run(scenario, seed.wrapping_mul(1 << 20) + number, make_detector())
            };
            numbers.map(run).collect::<Vec<Summary>>()
        };
        let threads: Vec<_> = (0..THREADS).map(|at| scope.spawn(move || run_share(at))).collect();
        threads.into_iter().flat_map(|one| one.join().unwrap_or_default()).collect()
    })
}

/// Returns the fraction of the runs in which every instance stopped.
fn fraction_stopped(summaries: &[Summary]) -> f64 {
    summaries.iter().filter(|summary| summary.all_stopped).count() as f64 / summaries.len() as f64
}

fn mean(summaries: &[Summary], value: impl Fn(&Summary) -> f64) -> f64 {
    summaries.iter().map(value).sum::<f64>() / summaries.len() as f64
}

fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * fraction).ceil() as usize).copied().unwrap_or(f64::NAN)
}
