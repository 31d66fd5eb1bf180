//! Goodput under more load than the servers can handle, after a load spike, and by account.

use {
    super::{Failure, Options, Report, block_on_within},
    crate::{
        figure::Outcome,
        load::{self, OpenLoop, REQUEST_SEED_STRIDE},
        plot::{Plot, Point, Series},
        testbed::{AccountSpec, Caller, DataCentre, ModelSpec, Request, Spec, Testbed},
    },
    hawthornmount_standin::engine::Limits,
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Time after which the experiment fails.
const RUN_TIMEOUT: Duration = Duration::from_secs(100);
/// Number of engines.
const ENGINES: usize = 4;
/// Number of requests that each engine runs concurrently.
const SLOTS: u32 = 6;
/// Time that a full engine takes for a request, not including its wait in the queue.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Number of tokens of each answer.
const ANSWER_TOKENS: u64 = 40;
/// Deadline of each request.
const DEADLINE: Duration = Duration::from_millis(1_000);
/// Loads as multiples of the capacity.
const LOAD_FACTORS: [f64; 5] = [0.5, 1.0, 1.5, 2.0, 3.0];
/// Duration of each load.
const DURATION: Duration = Duration::from_secs(4);
/// Load before and after the spike, as a multiple of the capacity.
const USUAL_LOAD: f64 = 0.7;
/// Load during the spike, as a multiple of the capacity.
const SPIKE_LOAD: f64 = 3.0 * USUAL_LOAD;
/// Duration of the load before the spike.
const BEFORE_DURATION: Duration = Duration::from_secs(3);
/// Duration of the spike.
const SPIKE_DURATION: Duration = Duration::from_secs(3);
/// Duration of the load after the spike.
const AFTER_DURATION: Duration = Duration::from_secs(7);
/// Length of the time windows in which the recovery is evaluated.
const RECOVERY_WINDOW: Duration = Duration::from_millis(500);
/// Smallest share of requests answered in time in a window that counts as normal.
const NORMAL_RATIO: f64 = 0.95;
/// Accounts with their shares of the load. The first is the large one.
const ACCOUNTS: [(&str, f64); 4] =
    [("large", 0.82), ("small-a", 0.06), ("small-b", 0.06), ("small-c", 0.06)];

/// Weight of the large account; the small accounts have a weight of 1.
const LARGE_WEIGHT: u32 = 3;
/// Largest ratio of engine runs to requests answered in time, at twice the capacity.
const MAX_RUNS_PER_ANSWER: f64 = 1.1;
/// Smallest share that a small account must get of the load that it asked for or is guaranteed, at
/// twice the capacity.
const MIN_SMALL_SHARE: f64 = 0.95;
/// Smallest ratio of the goodput at twice the capacity to the peak goodput.
const MIN_GOODPUT_OVER_PEAK: f64 = 0.95;
/// Longest time from the end of a spike until the share of answers in time is normal again.
const MAX_RECOVERY_S: f64 = 5.0;

/// Request that has ended.
#[derive(Clone, Copy)]
struct Completed {
    /// Index of the account in [`ACCOUNTS`].
    account: usize,
    /// Intended start, relative to the start of the load.
    at: Duration,
    in_time: bool,
}

/// Measures goodput by load, recovery after a spike, and shares of the accounts.
///
/// # Errors
///
/// Returns a failure if an instance or stand-in can't start.
pub fn run(options: Options) -> Result<Report, Failure> {
    block_on_within(RUN_TIMEOUT, measure(options))
}

async fn measure(options: Options) -> Result<Report, Failure> {
    let mut outcome = Outcome::new("overload", options.seed);
    let mut points = Vec::new();
    let (mut peak, mut at_twice) = (0.0_f64, 0.0);
    for load in LOAD_FACTORS {
        let testbed = Testbed::start(&spec()).await?;
        let done = run_load(&testbed, load, DURATION, options.seed).await;
        let goodput = goodput_per_s(&done, DURATION);
        let runs_per_answer = testbed.run_count() as f64
            / done.iter().filter(|one| one.in_time).count().max(1) as f64;
        outcome = outcome.figure(&format!("goodput_at_{load}"), goodput);
        points.push(Point { x: load, y: goodput });
        peak = peak.max(goodput);
        if load == 2.0 {
            at_twice = goodput;
            outcome = outcome.at_most("runs_per_answer_at_2", runs_per_answer, MAX_RUNS_PER_ANSWER);
            let share = smallest_share(&done, load);
            outcome = outcome.at_least("small_account_share_at_2", share, MIN_SMALL_SHARE);
        }
    }
    outcome =
        outcome.at_least("goodput_at_2_over_peak", at_twice / peak.max(1.0), MIN_GOODPUT_OVER_PEAK);
    let testbed = Testbed::start(&spec()).await?;
    let before = run_load(&testbed, USUAL_LOAD, BEFORE_DURATION, options.seed).await;
    let spike = run_load(&testbed, SPIKE_LOAD, SPIKE_DURATION, options.seed + 1).await;
    let after = run_load(&testbed, USUAL_LOAD, AFTER_DURATION, options.seed + 2).await;
    outcome = outcome
        .figure("in_time_before_spike", in_time_ratio(&before))
        .figure("in_time_in_spike", in_time_ratio(&spike))
        .at_most("recovery_s", recovery(&after).as_secs_f64(), MAX_RECOVERY_S);
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
        weight: if id == "large" { LARGE_WEIGHT } else { 1 },
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

/// Returns the number of requests per second that the engines can handle.
fn capacity() -> f64 {
    ENGINES as f64 * f64::from(SLOTS) / SERVICE_TIME.as_secs_f64()
}

async fn run_load(
    testbed: &Testbed,
    load_factor: f64,
    duration: Duration,
    seed: u64,
) -> Vec<Completed> {
    let rate = capacity() * load_factor;
    let load = OpenLoop { rate, duration, seed, max_in_flight: 4_000, timeout: DEADLINE * 2 };
    let arrivals = load.arrivals();
    let (caller, addresses) = (Caller::new(), testbed.caller_addresses());
    let done = Arc::new(Mutex::new(Vec::new()));
    let started = Instant::now();
    load.run(|number| {
        let mut rng = SmallRng::seed_from_u64(seed.wrapping_add(number * REQUEST_SEED_STRIDE));
        let account = pick_account(rng.random());
        let request = Request {
            account: ACCOUNTS[account].0,
            task: "notes",
            prompt: format!("Draft note {number}."),
            model: Some("draft"),
            max_tokens: ANSWER_TOKENS,
            stream: false,
            timeout_ms: u64::try_from(DEADLINE.as_millis()).unwrap_or(u64::MAX),
        };
        let address = addresses[rng.random_range(0..addresses.len())];
        let at = arrivals[usize::try_from(number).unwrap_or(0)];
        let (caller, done) = (caller.clone(), done.clone());
        async move {
            let outcome = caller.send(address, request).await.outcome;
            let in_time = started + at + DEADLINE >= Instant::now();
            let in_time = in_time && matches!(outcome, load::Outcome::Answered { .. });
            done.lock().push(Completed { account, at, in_time });
            outcome
        }
    })
    .await;
    std::mem::take(&mut *done.lock())
}

/// Maps a uniform random number in 0..1 to the index of an account, so that each account gets its
/// share of the load.
fn pick_account(mut number: f64) -> usize {
    for (at, (_, part)) in ACCOUNTS.iter().enumerate() {
        if number < *part {
            return at;
        }
        number -= part;
    }
    0
}

/// Returns the number of requests per second that were answered in time.
fn goodput_per_s(done: &[Completed], duration: Duration) -> f64 {
    done.iter().filter(|one| one.in_time).count() as f64 / duration.as_secs_f64()
}

/// Returns the share of the requests that were answered in time.
fn in_time_ratio(done: &[Completed]) -> f64 {
    done.iter().filter(|one| one.in_time).count() as f64 / done.len().max(1) as f64
}

/// Returns the lowest ratio, among the small accounts, of the load that was answered in time to the
/// load that the account asked for or is guaranteed by its weight, whichever is smaller.
fn smallest_share(done: &[Completed], load: f64) -> f64 {
    let total_weight = f64::from(LARGE_WEIGHT) + (ACCOUNTS.len() - 1) as f64;
    let share = |account: usize| {
        let own: Vec<Completed> =
            done.iter().copied().filter(|one| one.account == account).collect();
        let asked = ACCOUNTS[account].1 * load;
        let granted = in_time_ratio(&own) * asked;
        granted / asked.min(1.0 / total_weight)
    };
    (1..ACCOUNTS.len()).map(share).fold(f64::MAX, f64::min)
}

/// Returns the time from the start of the load after the spike until the end of the last window
/// that is not normal.
fn recovery(done: &[Completed]) -> Duration {
    let windows =
        u32::try_from(AFTER_DURATION.as_millis() / RECOVERY_WINDOW.as_millis()).unwrap_or(u32::MAX);
    let is_normal = |window: u32| {
        let span = RECOVERY_WINDOW * window..RECOVERY_WINDOW * (window + 1);
        let inside: Vec<Completed> =
            done.iter().copied().filter(|one| span.contains(&one.at)).collect();
        in_time_ratio(&inside) >= NORMAL_RATIO
    };
    let last_bad = (0..windows).rev().find(|window| !is_normal(*window));
    last_bad.map_or(Duration::ZERO, |window| RECOVERY_WINDOW * (window + 1))
}
