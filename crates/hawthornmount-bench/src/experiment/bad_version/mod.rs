//! `bad-version`: answers of a bad version until the last instance stops sending to it, and false
//! suspensions of good versions, by the decision alone: nine judges, with gossip that is late and
//! loses frames, in virtual time.

mod baseline;
mod simulation;

use {
    super::{Experiment, Failure, Options, Report},
    crate::figure::Result as Outcome,
    baseline::{Breaker, Window},
    simulation::{Ending, Guard, Judges, Kind, Scene, When},
    std::thread,
};

/// The experiment.
pub const EXPERIMENT: Experiment = Experiment {
    name: "bad-version",
    summary: "answers of a bad version until it is stopped; false suspensions of good ones",
    run,
};

/// Roll-outs of good versions.
const GOOD_RUNS: u64 = 1_000;
/// Roll-outs of good versions in which the fixed window and the breaker are tried.
const BASELINE_GOOD_RUNS: u64 = 200;
/// Runs of each bad version.
const BAD_RUNS: u64 = 40;
/// Threads that share the runs.
const THREADS: u64 = 4;
/// False suspensions that are allowed in all roll-outs of good versions.
const MAX_FALSE: f64 = GOOD_RUNS as f64 / 1_000.0;

const GOOD: Kind = Kind { failures: 0.01, quality: 0.85, slowness: 1.0 };

/// A kind of bad version with its target.
struct Bad {
    name: &'static str,
    kind: Kind,
    /// Answers in which the last instance has to stop, if there is a target.
    limit: Option<f64>,
    /// Whether the limit counts rated answers.
    rated: bool,
}

const BAD: [Bad; 6] = [
    bad("errors_100", Kind { failures: 1.0, ..GOOD }, Some(20.0), false),
    bad("errors_20", Kind { failures: 0.2, ..GOOD }, Some(150.0), false),
    bad("errors_5", Kind { failures: 0.05, ..GOOD }, None, false),
    bad("quality_0.25", Kind { quality: GOOD.quality - 0.25, ..GOOD }, Some(200.0), true),
    bad("quality_0.10", Kind { quality: GOOD.quality - 0.1, ..GOOD }, None, true),
    bad("latency_2x", Kind { slowness: 2.0, ..GOOD }, None, false),
];

const fn bad(name: &'static str, kind: Kind, limit: Option<f64>, rated: bool) -> Bad {
    Bad { name, kind, limit, rated }
}

fn run(options: Options) -> Result<Report, Failure> {
    let mut outcome = Outcome::new(EXPERIMENT.name, options.seed);
    let good = Scene { candidate: GOOD, stable: GOOD, turned: GOOD, when: When::Good };
    let wrong = false_stops(&good, GOOD_RUNS, options.seed, &|| Box::new(Judges::new()));
    outcome = outcome.at_most("false_suspensions", wrong, MAX_FALSE);
    outcome = outcome.figure("good_rollouts", GOOD_RUNS as f64);
    let per_thousand = 1_000.0 / BASELINE_GOOD_RUNS as f64;
    let wrong = false_stops(&good, BASELINE_GOOD_RUNS, options.seed, &|| Box::new(Window::new()));
    outcome = outcome.figure("window.false_per_1000", wrong * per_thousand);
    let wrong = false_stops(&good, BASELINE_GOOD_RUNS, options.seed, &|| Box::new(Breaker::new()));
    outcome = outcome.figure("breaker.false_per_1000", wrong * per_thousand);
    for bad in &BAD {
        for when in [When::Rollout, When::InUse] {
            outcome = measure(outcome, bad, when, options.seed);
        }
    }
    Ok(Report { outcome, plot: None })
}

fn measure(mut outcome: Outcome, bad: &Bad, when: When, seed: u64) -> Outcome {
    let scene = match when {
        When::InUse => Scene { candidate: GOOD, stable: GOOD, turned: bad.kind, when },
        _ => Scene { candidate: bad.kind, stable: GOOD, turned: GOOD, when },
    };
    let name = format!("{}.{}", if when == When::InUse { "in_use" } else { "rollout" }, bad.name);
    let ends = endings(&scene, BAD_RUNS, seed, &|| Box::new(Judges::new()));
    let mut counts: Vec<f64> =
        ends.iter().map(|end| if bad.rated { end.rated } else { end.answers } as f64).collect();
    counts.sort_by(f64::total_cmp);
    let p95 = quantile(&counts, 0.95);
    outcome = match bad.limit {
        Some(limit) => outcome.at_most(&format!("{name}.answers_p95"), p95, limit),
        None => outcome.figure(&format!("{name}.answers_p95"), p95),
    };
    outcome = outcome.figure(&format!("{name}.answers_median"), quantile(&counts, 0.5));
    outcome = outcome.figure(&format!("{name}.answers_max"), quantile(&counts, 1.0));
    outcome = outcome.figure(&format!("{name}.stopped"), stopped(&ends));
    outcome = outcome.figure(&format!("{name}.bad_served_mean"), mean(&ends, |end| end.bad as f64));
    outcome = outcome.figure(&format!("{name}.seconds_mean"), mean(&ends, |end| end.seconds));
    let baselines: [(&str, &Make); 2] =
        [("window", &|| Box::new(Window::new())), ("breaker", &|| Box::new(Breaker::new()))];
    for (baseline, make) in baselines {
        let ends = endings(&scene, BAD_RUNS, seed, make);
        let bad_served = mean(&ends, |end| end.bad as f64);
        outcome = outcome.figure(&format!("{name}.{baseline}.bad_served_mean"), bad_served);
        outcome = outcome.figure(&format!("{name}.{baseline}.stopped"), stopped(&ends));
    }
    outcome
}

type Make = dyn Fn() -> Box<dyn Guard> + Sync;

fn false_stops(scene: &Scene, runs: u64, seed: u64, make: &Make) -> f64 {
    let ends = endings(scene, runs, seed, make);
    ends.iter().filter(|end| end.any_stopped).count() as f64
}

/// Runs a scene with as many seeds, on a few threads.
fn endings(scene: &Scene, runs: u64, seed: u64, make: &Make) -> Vec<Ending> {
    thread::scope(|scope| {
        let part = |thread: u64| {
            let numbers = (0..runs).filter(move |number| number % THREADS == thread);
            let run =
                move |number| simulation::run(scene, seed.wrapping_mul(1 << 20) + number, make());
            numbers.map(run).collect::<Vec<Ending>>()
        };
        let threads: Vec<_> = (0..THREADS).map(|at| scope.spawn(move || part(at))).collect();
        threads.into_iter().flat_map(|one| one.join().unwrap_or_default()).collect()
    })
}

/// Returns the part of the runs in which every instance stopped.
fn stopped(ends: &[Ending]) -> f64 {
    ends.iter().filter(|end| end.all_stopped).count() as f64 / ends.len() as f64
}

fn mean(ends: &[Ending], value: impl Fn(&Ending) -> f64) -> f64 {
    ends.iter().map(value).sum::<f64>() / ends.len() as f64
}

fn quantile(sorted: &[f64], part: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get((last as f64 * part).ceil() as usize).copied().unwrap_or(f64::NAN)
}
