//! Mixed load of the experiment.

use {
    super::Fleet,
    crate::load::{Open, Outcome as LoadOutcome, Tally},
    hawthornmount_demo::{
        check::promise::Sent,
        load::{Ask, Caller, Done, Kind, Outcome, asks},
    },
    parking_lot::Mutex,
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Requests per second.
const REQUESTS_PER_S: f64 = 120.0;
/// Highest number of requests in flight.
const MAX_IN_FLIGHT: usize = 512;
/// Time limit of one request including its retries.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of requests of the load after which callers start new sessions.
const NEW_SESSIONS_EVERY: usize = 600;
/// Number of times that a caller retries a submission without an answer.
const MAX_RETRIES: usize = 2;
/// Pause before a submission is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Sends the load and returns each request with its outcome.
pub async fn run(fleet: Arc<Fleet>, seed: u64, duration: Duration) -> (Vec<Sent>, Tally) {
    let open = Open {
        rate: REQUESTS_PER_S,
        duration,
        seed,
        in_flight: MAX_IN_FLIGHT,
        timeout: REQUEST_TIMEOUT,
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    let asks = asks(&mut rng, open.arrivals().len());
    let sent = Arc::new(Mutex::new(Vec::new()));
    let caller = Caller::new();
    let call = |number: u64| {
        let index = usize::try_from(number).unwrap_or(usize::MAX);
        let ask = with_session_part(&asks[index], index / NEW_SESSIONS_EVERY);
        let rng = SmallRng::seed_from_u64(seed ^ number);
        send(fleet.clone(), caller.clone(), ask, rng, sent.clone())
    };
    let tally = open.run(call).await;
    let sent = std::mem::take(&mut *sent.lock());
    (sent, tally)
}

/// Sends one request, and retries a submission that got no answer.
async fn send(
    fleet: Arc<Fleet>,
    caller: Caller,
    ask: Ask,
    mut rng: SmallRng,
    sent: Arc<Mutex<Vec<Sent>>>,
) -> LoadOutcome {
    let mut outcome = LoadOutcome::Failed;
    for _ in 0..=MAX_RETRIES {
        let Some(target) = fleet.pick(&mut rng) else { return LoadOutcome::Failed };
        let started = Instant::now();
        let done = caller.clone().ask(target.address, ask.clone()).await;
        outcome = load_outcome(&done, started);
        sent.lock().push(Sent { instance: target.id, at: started, ended: Instant::now(), done });
        let is_submission = matches!(ask.kind, Kind::Submission(_));
        if !is_submission || matches!(outcome, LoadOutcome::Answered { .. }) {
            break;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    outcome
}

fn load_outcome(done: &Done, started: Instant) -> LoadOutcome {
    match &done.outcome {
        Outcome::Answered(answered) => {
            LoadOutcome::Answered { first: Some((started + answered.first).into()) }
        }
        Outcome::Refused(_) => LoadOutcome::Refused,
        Outcome::Failed => LoadOutcome::Failed,
    }
}

/// Returns the request with the number of the part of the run added to its session id.
fn with_session_part(ask: &Ask, part: usize) -> Ask {
    let session = ask.session.as_ref().map(|session| format!("{session}-{part}").into());
    Ask { session, ..ask.clone() }
}
