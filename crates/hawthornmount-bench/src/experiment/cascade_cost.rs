//! Cost of the learned cascade at the quality target, against fixed choices and an oracle.
//!
//! The stand-in engines fix the quality of each answer by the seed, the prompt and the version.
//! The learned cascade runs on real instances and is charged with every run of the engines, also
//! those that were dropped or only there to learn; the others are worked out from the same draws.

use {
    super::{Failure, Options, Report, block_on_within},
    crate::{
        figure::Result as Outcome,
        lab::{AccountPlan, Asked, Caller, Lab, ModelPlan, Place, Plan},
        load::{Open, Outcome as Sent},
        plot::{Plot, Point, Series},
    },
    hawthornmount_standin::engine::{Limits, quality_sample, task_mark},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Longest time of the experiment.
const LIMIT: Duration = Duration::from_secs(60);
/// Requests a second.
const RATE: f64 = 250.0;
/// Time of the load.
const DURATION: Duration = Duration::from_secs(12);
/// Time of the load while the cascade still learns; charged all the same, but told apart.
const STREAM_DURATION: Duration = Duration::from_secs(6);
/// Time that a request may take.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Tokens of each answer.
const TOKENS: u64 = 16;
/// Chance of a good answer that the account asks for.
const TARGET: f64 = 0.9;
/// Largest cost over the oracle's.
const MAX_OVER_ORACLE: f64 = 1.15;
/// Largest cost over that of the costliest model.
const MAX_OVER_COSTLIEST: f64 = 0.6;
/// Kinds of task with the chance of a good answer of each model.
const TASKS: [Task; 3] = [
    Task { id: "lookup", chances: [0.97, 0.98, 0.99] },
    Task { id: "notes", chances: [0.80, 0.93, 0.98] },
    Task { id: "dossier", chances: [0.55, 0.85, 0.97] },
];
/// Models from cheap to costly.
const MODELS: [(&str, u64); 3] = [("small", 100), ("medium", 400), ("large", 2_000)];

struct Task {
    id: &'static str,
    chances: [f64; 3],
}

/// Cost and quality over requests.
#[derive(Clone, Copy, Default)]
struct Sum {
    cost: f64,
    good: f64,
    count: f64,
}

impl Sum {
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

/// Measures the cascade.
///
/// # Errors
///
/// Returns a failure if an instance or stand-in can't start.
pub fn run(options: Options) -> Result<Report, Failure> {
    block_on_within(LIMIT, measure(options))
}

async fn measure(options: Options) -> Result<Report, Failure> {
    let seed = options.seed;
    let lab = Lab::start(&plan()).await?;
    for engine in lab.engines() {
        engine.set_quality_seed(seed);
        for (at, (model, _)) in MODELS.iter().enumerate() {
            for task in &TASKS {
                engine.set_task_quality(&loaded(model), task.id, task.chances[at]);
            }
        }
    }
    let duration = options.duration.unwrap_or(DURATION);
    let rated = load(&lab, seed, duration, false).await;
    let spent = spent(&lab);
    let streamed = load(&lab, seed + 1, STREAM_DURATION, true).await;
    let streamed_cost = self::spent(&lab) - spent;

    let fixed = |choose: &dyn Fn(&[bool; 3]) -> (f64, bool)| sum(&rated, seed, choose);
    let cheapest = fixed(&|good| (price(0), good[0]));
    let costliest = fixed(&|good| (price(2), good[2]));
    let cascade = fixed(&|good| {
        let end = good.iter().position(|good| *good).unwrap_or(2);
        ((0..=end).map(price).sum(), good[end])
    });
    let oracle = fixed(&|good| {
        let best = good.iter().position(|good| *good);
        (price(best.unwrap_or(0)), best.is_some())
    });
    let ours = Sum { cost: spent, ..delivered(&rated, seed) };
    let stream = Sum { cost: streamed_cost, ..delivered(&streamed, seed) };
    let informed = sum(&streamed, seed, &|good| (price(2), good[2]));
    let outcome = Outcome::new("cascade-cost", seed)
        .at_least("quality", ours.quality(), TARGET)
        .at_most("cost_over_oracle", ours.mean_cost() / oracle.mean_cost(), MAX_OVER_ORACLE)
        .at_most(
            "cost_over_costliest",
            ours.mean_cost() / costliest.mean_cost(),
            MAX_OVER_COSTLIEST,
        )
        .figure("requests", ours.count)
        .figure("cost", ours.mean_cost())
        .figure("cheapest_cost", cheapest.mean_cost())
        .figure("cheapest_quality", cheapest.quality())
        .figure("costliest_cost", costliest.mean_cost())
        .figure("costliest_quality", costliest.quality())
        .figure("fixed_cascade_cost", cascade.mean_cost())
        .figure("fixed_cascade_quality", cascade.quality())
        .figure("oracle_cost", oracle.mean_cost())
        .figure("oracle_quality", oracle.quality())
        .at_least("stream_quality", stream.quality(), TARGET)
        .figure("stream_cost", stream.mean_cost())
        .figure("stream_cost_over_costliest", stream.mean_cost() / informed.mean_cost());
    let point = |name: &str, sum: Sum| Series {
        name: name.into(),
        points: vec![
            Point { x: 0.0, y: sum.quality() },
            Point { x: sum.mean_cost(), y: sum.quality() },
        ],
    };
    let plot = Plot {
        title: "Quality over cost".into(),
        x: "cost of a request in micro-units".into(),
        y: "part of the answers that are good".into(),
        series: vec![
            point("learned", ours),
            point("cheapest", cheapest),
            point("costliest", costliest),
            point("fixed cascade", cascade),
            point("oracle", oracle),
        ],
    };
    Ok(Report { outcome, plot: Some(plot) })
}

fn plan() -> Plan {
    let model = |(id, price): (&'static str, u64)| ModelPlan {
        id,
        price,
        quality: 0.5,
        first_token: Duration::from_millis(5),
        per_token: Duration::from_millis(1),
    };
    Plan {
        places: vec![Place { id: "attica-a", region: "attica", instances: 2, engines: 4 }],
        models: MODELS.map(model).to_vec(),
        accounts: vec![AccountPlan { id: "municipal", weight: 1, quality_target: TARGET }],
        slots: 16,
        limits: Limits::default(),
        report_period: Duration::from_secs(1),
        router: None,
    }
}

fn loaded(model: &str) -> hawthornmount_standin::engine::Loaded {
    hawthornmount_standin::engine::Loaded { model: model.into(), version: "v1".into() }
}

fn task(number: u64) -> &'static Task {
    &TASKS[usize::try_from(number % TASKS.len() as u64).unwrap_or(0)]
}

/// Returns the prompt of a request; all have the same length.
fn prompt(number: u64) -> String {
    let task = task(number);
    let text = format!("{}Request {number:08}.", task_mark(task.id));
    format!("{text:.<48}")
}

/// Answers by the number of their request.
type Answers = BTreeMap<u64, Arc<str>>;

async fn load(lab: &Lab, seed: u64, duration: Duration, stream: bool) -> Answers {
    let open = Open { rate: RATE, duration, seed, in_flight: 1_000, timeout: TIMEOUT };
    let (caller, addresses) = (Caller::new(), lab.callers());
    let (sender, mut receiver) = tokio::sync::mpsc::unbounded_channel();
    let first = if stream { 1_000_000 } else { 0 };
    open.run(|number| {
        let number = first + number;
        let asked = Asked {
            account: "municipal",
            task: task(number).id,
            prompt: prompt(number),
            model: None,
            max_tokens: TOKENS,
            stream,
            timeout_ms: u64::try_from(TIMEOUT.as_millis()).unwrap_or(u64::MAX),
        };
        let at = usize::try_from(number).unwrap_or(0) % addresses.len();
        let (caller, address, sender) = (caller.clone(), addresses[at], sender.clone());
        async move {
            let reply = caller.ask(address, asked).await;
            if matches!(reply.outcome, Sent::Answered { .. }) {
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

/// Returns the price of a request with a model.
fn price(model: usize) -> f64 {
    let prompt = prompt(0).len() as f64 / 4.0;
    MODELS[model].1 as f64 * (prompt + TOKENS as f64) / 1_000.0
}

/// Returns the price of everything that the engines ran.
fn spent(lab: &Lab) -> f64 {
    let cost = |model: &str| MODELS.iter().position(|(id, _)| *id == model).map_or(0.0, price);
    lab.engines().flat_map(|engine| engine.runs()).map(|run| cost(&run.loaded.model)).sum()
}

fn good(number: u64, seed: u64) -> [bool; 3] {
    let chances = task(number).chances;
    std::array::from_fn(|at| {
        quality_sample(seed, &prompt(number), &loaded(MODELS[at].0)) < chances[at]
    })
}

/// Returns cost and quality if each answered request had gone the way that `choose` gives.
fn sum(answers: &Answers, seed: u64, choose: &dyn Fn(&[bool; 3]) -> (f64, bool)) -> Sum {
    let mut sum = Sum::default();
    for number in answers.keys() {
        let (cost, good) = choose(&good(*number, seed));
        sum.add(cost, good);
    }
    sum
}

/// Returns the quality of what the callers got.
fn delivered(answers: &Answers, seed: u64) -> Sum {
    let mut sum = Sum::default();
    for (number, release) in answers {
        let model = release.split('@').next().unwrap_or_default();
        let at = MODELS.iter().position(|(id, _)| *id == model).unwrap_or(0);
        sum.add(0.0, good(*number, seed)[at]);
    }
    sum
}
