//! Goodput under more load than the servers can do, after a spike, and by account.

use {
    super::{Failure, Options, Report, block_on_within},
    crate::{
        figure::Outcome,
        load::{self, OpenLoop},
        plot::{Plot, Point, Series},
        testbed::{AccountSpec, Caller, DataCentre, ModelSpec, Request, Spec, Testbed},
    },
    hawthornmount_standin::engine::Limits,
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Longest time of the experiment.
const LIMIT: Duration = Duration::from_secs(100);
/// Engines and their slots.
const ENGINES: usize = 4;
const SLOTS: u32 = 6;
/// Time of a request at a full engine, without waiting.
const SERVICE: Duration = Duration::from_millis(100);
/// Tokens of an answer.
const TOKENS: u64 = 40;
/// Deadline of a request.
const DEADLINE: Duration = Duration::from_millis(1_000);
/// Loads against the capacity.
const LOADS: [f64; 5] = [0.5, 1.0, 1.5, 2.0, 3.0];
/// Time of each load.
const DURATION: Duration = Duration::from_secs(4);
/// Load before and after the spike, and the spike.
const USUAL: f64 = 0.7;
const SPIKE: f64 = 3.0 * USUAL;
/// Time of the load before the spike, of the spike, and after it.
const BEFORE: Duration = Duration::from_secs(3);
const SPIKED: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_secs(7);
/// Width of a window in which the recovery is looked at.
const WINDOW: Duration = Duration::from_millis(500);
/// Part of the requests that is answered in time when things are normal.
const NORMAL: f64 = 0.95;
/// Accounts with their parts of the load; the first is the large one.
const ACCOUNTS: [(&str, f64); 4] =
    [("large", 0.82), ("small-a", 0.06), ("small-b", 0.06), ("small-c", 0.06)];

/// A request that has ended.
#[derive(Clone, Copy)]
struct Done {
    account: usize,
    /// Intended time from the start of the load.
    at: Duration,
    in_time: bool,
}

/// Measures goodput, recovery and shares.
///
/// # Errors
///
/// Returns a failure if an instance or stand-in can't start.
pub fn run(options: Options) -> Result<Report, Failure> {
    block_on_within(LIMIT, measure(options))
}

async fn measure(options: Options) -> Result<Report, Failure> {
    let mut outcome = Outcome::new("overload", options.seed);
    let mut points = Vec::new();
    let (mut peak, mut at_double) = (0.0_f64, 0.0);
    for load in LOADS {
        let testbed = Testbed::start(&spec()).await?;
        let done = run_load(&testbed, load, DURATION, options.seed).await;
        let goodput = rate(&done, DURATION);
        let attempts = testbed.run_count() as f64
            / done.iter().filter(|one| one.in_time).count().max(1) as f64;
        outcome = outcome.figure(&format!("goodput_at_{load}"), goodput);
        points.push(Point { x: load, y: goodput });
        peak = peak.max(goodput);
        if load == 2.0 {
            at_double = goodput;
            outcome = outcome.at_most("runs_per_answer_at_2", attempts, 1.1);
            let share = smallest_share(&done, load);
            outcome = outcome.at_least("small_account_share_at_2", share, 0.95);
        }
    }
    outcome = outcome.at_least("goodput_at_2_over_peak", at_double / peak.max(1.0), 0.95);
    let testbed = Testbed::start(&spec()).await?;
    let before = run_load(&testbed, USUAL, BEFORE, options.seed).await;
    let spike = run_load(&testbed, SPIKE, SPIKED, options.seed + 1).await;
    let after = run_load(&testbed, USUAL, AFTER, options.seed + 2).await;
    outcome = outcome
        .figure("in_time_before_spike", part(&before))
        .figure("in_time_in_spike", part(&spike))
        .at_most("recovery_s", recovery(&after).as_secs_f64(), 5.0);
    let plot = Plot {
        title: "Goodput under overload".into(),
        x_label: "load over capacity".into(),
        y_label: "answers in time a second".into(),
        series: vec![Series { name: "goodput".into(), points }],
    };
    Ok(Report { outcome, plot: Some(plot) })
}

fn spec() -> Spec {
    let account = |(id, _): (&'static str, f64)| AccountSpec {
        id,
        weight: if id == "large" { 3 } else { 1 },
        quality_target: 0.5,
    };
    Spec {
        data_centres: vec![DataCentre {
            id: "attica-a",
            region: "attica",
            instances: 3,
            engines: ENGINES,
        }],
        models: vec![ModelSpec {
            id: "draft",
            price: 100,
            quality: 1.0,
            first_token: Duration::from_millis(20),
            per_token: Duration::from_millis(2),
        }],
        accounts: ACCOUNTS.map(account).to_vec(),
        slots: SLOTS,
        limits: Limits::default(),
        report_period: Duration::from_millis(250),
        router: None,
    }
}

/// Returns the requests a second that the engines can do.
fn capacity() -> f64 {
    ENGINES as f64 * f64::from(SLOTS) / SERVICE.as_secs_f64()
}

async fn run_load(testbed: &Testbed, load: f64, duration: Duration, seed: u64) -> Vec<Done> {
    let rate = capacity() * load;
    let open = OpenLoop { rate, duration, seed, max_in_flight: 4_000, timeout: DEADLINE * 2 };
    let arrivals = open.arrivals();
    let (caller, addresses) = (Caller::new(), testbed.caller_addresses());
    let done = Arc::new(Mutex::new(Vec::new()));
    let started = Instant::now();
    open.run(|number| {
        let mut rng = SmallRng::seed_from_u64(seed.wrapping_add(number * 7_919));
        let account = pick(rng.random());
        let asked = Request {
            account: ACCOUNTS[account].0,
            task: "notes",
            prompt: format!("Draft note {number}."),
            model: Some("draft"),
            max_tokens: TOKENS,
            stream: false,
            timeout_ms: u64::try_from(DEADLINE.as_millis()).unwrap_or(u64::MAX),
        };
        let address = addresses[rng.random_range(0..addresses.len())];
        let at = arrivals[usize::try_from(number).unwrap_or(0)];
        let (caller, done) = (caller.clone(), done.clone());
        async move {
            let outcome = caller.send(address, asked).await.outcome;
            let in_time = started + at + DEADLINE >= Instant::now();
            let in_time = in_time && matches!(outcome, load::Outcome::Answered { .. });
            done.lock().push(Done { account, at, in_time });
            outcome
        }
    })
    .await;
    std::mem::take(&mut *done.lock())
}

/// Returns an account by a number from 0 to 1.
fn pick(mut number: f64) -> usize {
    for (at, (_, part)) in ACCOUNTS.iter().enumerate() {
        if number < *part {
            return at;
        }
        number -= part;
    }
    0
}

fn rate(done: &[Done], duration: Duration) -> f64 {
    done.iter().filter(|one| one.in_time).count() as f64 / duration.as_secs_f64()
}

fn part(done: &[Done]) -> f64 {
    done.iter().filter(|one| one.in_time).count() as f64 / done.len().max(1) as f64
}

/// Returns the least of what a small account got over what it asked for or may have at the least.
fn smallest_share(done: &[Done], load: f64) -> f64 {
    let weights = 3.0 + (ACCOUNTS.len() - 1) as f64;
    let share = |account: usize| {
        let own: Vec<Done> = done.iter().copied().filter(|one| one.account == account).collect();
        let asked = ACCOUNTS[account].1 * load;
        let granted = part(&own) * asked;
        granted / asked.min(1.0 / weights)
    };
    (1..ACCOUNTS.len()).map(share).fold(f64::MAX, f64::min)
}

/// Returns the time from the start after which every window is normal again.
fn recovery(done: &[Done]) -> Duration {
    let windows = u32::try_from(AFTER.as_millis() / WINDOW.as_millis()).unwrap_or(u32::MAX);
    let is_normal = |window: u32| {
        let span = WINDOW * window..WINDOW * (window + 1);
        let inside: Vec<Done> = done.iter().copied().filter(|one| span.contains(&one.at)).collect();
        part(&inside) >= NORMAL
    };
    let last_bad = (0..windows).rev().find(|window| !is_normal(*window));
    last_bad.map_or(Duration::ZERO, |window| WINDOW * (window + 1))
}
