//! Cost of the learned cascade at the quality target, compared with fixed choices and an oracle.
//!
//! The stand-in engines derive the quality of each answer from the seed, the prompt and the
//! version. The learned cascade runs on real instances and is charged for every run of the engines,
//! including those whose answer was discarded or that served only for learning. The costs of the
//! other choices are calculated from the same random draws.

use {
    super::{Failure, Options, Report, block_on_within},
    crate::{
        figure::Outcome,
        load::{self, OpenLoop},
        plot::{Plot, Point, Series},
        testbed::{AccountSpec, Caller, DataCentre, ModelSpec, Request, Spec, Testbed},
    },
    hawthornmount_standin::engine::{BYTES_PER_TOKEN, Limits, quality_sample, task_mark},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Time after which the experiment fails.
const RUN_TIMEOUT: Duration = Duration::from_secs(60);
/// Average number of requests per second.
const REQUESTS_PER_S: f64 = 250.0;
/// Duration of the load without streams, unless the options give one.
const DURATION: Duration = Duration::from_secs(12);
/// Duration of the load of streams, during which the cascade still learns. Its cost counts in full,
/// but in separate figures.
const STREAM_DURATION: Duration = Duration::from_secs(6);
/// Number of the first streamed request, so that the prompts of the two loads differ.
const FIRST_STREAM_NUMBER: u64 = 1_000_000;
/// Deadline of each request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of tokens of each answer.
const ANSWER_TOKENS: u64 = 16;
/// Probability of a good answer that the account requires.
const QUALITY_TARGET: f64 = 0.9;
/// Largest allowed ratio of the learned cascade's cost to the oracle's cost.
const MAX_COST_OVER_ORACLE: f64 = 1.15;
/// Largest allowed ratio of the learned cascade's cost to that of the most expensive model.
const MAX_COST_OVER_COSTLIEST: f64 = 0.6;
/// Kinds of task.
const TASKS: [Task; 3] = [
    Task { id: "lookup", good_probabilities: [0.97, 0.98, 0.99] },
    Task { id: "notes", good_probabilities: [0.80, 0.93, 0.98] },
    Task { id: "dossier", good_probabilities: [0.55, 0.85, 0.97] },
];
/// Models with their prices per thousand tokens in micro-units, ordered from the cheapest to the
/// most expensive.
const MODELS: [(&str, u64); 3] = [("small", 100), ("medium", 400), ("large", 2_000)];

struct Task {
    id: &'static str,
    /// Probability of a good answer, by the index of the model.
    good_probabilities: [f64; 3],
}

/// Total cost in micro-units and number of good answers over a number of requests.
#[derive(Clone, Copy, Default)]
struct Totals {
    cost: f64,
    good: f64,
    count: f64,
}

impl Totals {
    fn add(&mut self, cost: f64, good: bool) {
        self.cost += cost;
        self.good += f64::from(u8::from(good));
        self.count += 1.0;
    }

    fn quality(&self) -> f64 {
        self.good / f64::max(self.count, 1.0)
    }

    fn mean_cost(&self) -> f64 {
        self.cost / f64::max(self.count, 1.0)
    }
}

/// Measures cost and quality of the learned cascade and of the alternatives.
///
/// # Errors
///
/// Returns a failure if an instance or stand-in can't start.
pub fn run(options: Options) -> Result<Report, Failure> {
    block_on_within(RUN_TIMEOUT, measure(options))
}

async fn measure(options: Options) -> Result<Report, Failure> {
    let seed = options.seed;
    let testbed = Testbed::start(&spec()).await?;
    for engine in testbed.engines() {
        engine.set_quality_seed(seed);
        for (at, (model, _)) in MODELS.iter().enumerate() {
            for task in &TASKS {
                engine.set_task_quality(&release(model), task.id, task.good_probabilities[at]);
            }
        }
    }
    let duration = options.duration.unwrap_or(DURATION);
    let answered = run_load(&testbed, seed, duration, false).await;
    let learned_cost = engine_cost(&testbed);
    let stream_answers = run_load(&testbed, seed + 1, STREAM_DURATION, true).await;
    let stream_cost = engine_cost(&testbed) - learned_cost;

    let simulated = |choose: &dyn Fn(&[bool; 3]) -> (f64, bool)| simulate(&answered, seed, choose);
    let cheapest = simulated(&|good| (price(0), good[0]));
    let costliest = simulated(&|good| (price(2), good[2]));
    let cascade = simulated(&|good| {
        let last = good.iter().position(|good| *good).unwrap_or(2);
        ((0..=last).map(price).sum(), good[last])
    });
    let oracle = simulated(&|good| {
        let best = good.iter().position(|good| *good);
        (price(best.unwrap_or(0)), best.is_some())
    });
    let learned = Totals { cost: learned_cost, ..delivered(&answered, seed) };
    let stream = Totals { cost: stream_cost, ..delivered(&stream_answers, seed) };
    let stream_costliest = simulate(&stream_answers, seed, &|good| (price(2), good[2]));
    let outcome = Outcome::new("cascade-cost", seed)
        .at_least("quality", learned.quality(), QUALITY_TARGET)
        .at_most("cost_over_oracle", learned.mean_cost() / oracle.mean_cost(), MAX_COST_OVER_ORACLE)
        .at_most(
            "cost_over_costliest",
            learned.mean_cost() / costliest.mean_cost(),
            MAX_COST_OVER_COSTLIEST,
        )
        .figure("requests", learned.count)
        .figure("cost", learned.mean_cost())
        .figure("cheapest_cost", cheapest.mean_cost())
        .figure("cheapest_quality", cheapest.quality())
        .figure("costliest_cost", costliest.mean_cost())
        .figure("costliest_quality", costliest.quality())
        .figure("fixed_cascade_cost", cascade.mean_cost())
        .figure("fixed_cascade_quality", cascade.quality())
        .figure("oracle_cost", oracle.mean_cost())
        .figure("oracle_quality", oracle.quality())
        .at_least("stream_quality", stream.quality(), QUALITY_TARGET)
        .figure("stream_cost", stream.mean_cost())
        .figure("stream_cost_over_costliest", stream.mean_cost() / stream_costliest.mean_cost());
    let point = |name: &str, sum: Totals| Series {
        name: name.into(),
        points: vec![
            Point { x: 0.0, y: sum.quality() },
            Point { x: sum.mean_cost(), y: sum.quality() },
        ],
    };
    let plot = Plot {
        title: "Quality over cost".into(),
        x_label: "cost of a request in micro-units".into(),
        y_label: "part of the answers that are good".into(),
        series: vec![
            point("learned", learned),
            point("cheapest", cheapest),
            point("costliest", costliest),
            point("fixed cascade", cascade),
            point("oracle", oracle),
        ],
    };
    Ok(Report { outcome, plot: Some(plot) })
}

fn spec() -> Spec {
    let model = |(id, price): (&'static str, u64)| ModelSpec {
        id,
        price,
        quality: 0.5,
        first_token: Duration::from_millis(5),
        per_token: Duration::from_millis(1),
    };
    Spec {
        data_centres: vec![DataCentre {
            id: "attica-a",
            region: "attica",
            instances: 2,
            engines: 4,
        }],
        models: MODELS.map(model).to_vec(),
        accounts: vec![AccountSpec { id: "municipal", weight: 1, quality_target: QUALITY_TARGET }],
        slots: 16,
        limits: Limits::default(),
        report_period: Duration::from_secs(1),
        router: None,
    }
}

fn release(model: &str) -> hawthornmount_standin::engine::Loaded {
    hawthornmount_standin::engine::Loaded { model: model.into(), version: "v1".into() }
}

fn task(number: u64) -> &'static Task {
    &TASKS[usize::try_from(number % TASKS.len() as u64).unwrap_or(0)]
}

/// Returns the prompt of a request. All prompts have the same length, and therefore the same price.
fn prompt(number: u64) -> String {
    let task = task(number);
    let text = format!("{}Request {number:08}.", task_mark(task.id));
    format!("{text:.<48}")
}

/// Release that answered each request, by the number of the request.
type Answers = BTreeMap<u64, Arc<str>>;

async fn run_load(testbed: &Testbed, seed: u64, duration: Duration, stream: bool) -> Answers {
    let load = OpenLoop {
        rate: REQUESTS_PER_S,
        duration,
        seed,
        max_in_flight: 1_000,
        timeout: REQUEST_TIMEOUT,
    };
    let (caller, addresses) = (Caller::new(), testbed.caller_addresses());
    let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
    let first_number = if stream { FIRST_STREAM_NUMBER } else { 0 };
    load.run(|number| {
        let number = first_number + number;
        let request = Request {
            account: "municipal",
            task: task(number).id,
            prompt: prompt(number),
            model: None,
            max_tokens: ANSWER_TOKENS,
            stream,
            timeout_ms: u64::try_from(REQUEST_TIMEOUT.as_millis()).unwrap_or(u64::MAX),
        };
        let at = usize::try_from(number).unwrap_or(0) % addresses.len();
        let (caller, address, sender) = (caller.clone(), addresses[at], sender.clone());
        async move {
            let reply = caller.send(address, request).await;
            if matches!(reply.outcome, load::Outcome::Answered { .. }) {
                let _ = sender.send((number, reply.release));
            }
            reply.outcome
        }
    })
    .await;
    drop(sender);
    let mut answers = Answers::new();
    while let Some((number, release)) = receiver.recv().await {
        answers.insert(number, release);
    }
    answers
}

/// Returns the price of one request that is run by a model, in micro-units.
fn price(model: usize) -> f64 {
    let prompt_tokens = prompt(0).len() as f64 / BYTES_PER_TOKEN as f64;
    MODELS[model].1 as f64 * (prompt_tokens + ANSWER_TOKENS as f64) / 1_000.0
}

/// Returns the price of everything that the engines have run so far, in micro-units.
fn engine_cost(testbed: &Testbed) -> f64 {
    let cost = |model: &str| MODELS.iter().position(|(id, _)| *id == model).map_or(0.0, price);
    testbed.engines().flat_map(|engine| engine.runs()).map(|run| cost(&run.loaded.model)).sum()
}

/// Returns for each model whether its answer to the request is good.
fn are_good(number: u64, seed: u64) -> [bool; 3] {
    let good_probabilities = task(number).good_probabilities;
    std::array::from_fn(|at| {
        quality_sample(seed, &prompt(number), &release(MODELS[at].0)) < good_probabilities[at]
    })
}

/// Returns cost and quality as if each answered request had been served as `choose` decides, given
/// for each model whether its answer would be good.
fn simulate(answers: &Answers, seed: u64, choose: &dyn Fn(&[bool; 3]) -> (f64, bool)) -> Totals {
    let mut sum = Totals::default();
    for number in answers.keys() {
        let (cost, good) = choose(&are_good(*number, seed));
        sum.add(cost, good);
    }
    sum
}

/// Returns the quality of the answers that the callers received, without their cost.
fn delivered(answers: &Answers, seed: u64) -> Totals {
    let mut sum = Totals::default();
    for (number, release) in answers {
        let model = release.split('@').next().unwrap_or_default();
        let at = MODELS.iter().position(|(id, _)| *id == model).unwrap_or(0);
        sum.add(0.0, are_good(*number, seed)[at]);
    }
    sum
}
