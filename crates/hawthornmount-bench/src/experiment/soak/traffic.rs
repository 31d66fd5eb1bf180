//! Mixed load of the experiment.

use {
    super::Fleet,
    crate::load::{OpenLoop, Outcome as LoadOutcome, Tally},
    hawthornmount_demo::{
        check::invariant::Exchange,
        load::{Call, Caller, Completed, Kind, Outcome, generate_calls},
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
/// Number of times that a caller retries a submission that was refused or failed.
const MAX_RETRIES: usize = 2;
/// Pause before a submission is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Sends the load and returns each request with its outcome.
pub async fn run(fleet: Arc<Fleet>, seed: u64, duration: Duration) -> (Vec<Exchange>, Tally) {
    let open = OpenLoop {
        rate: REQUESTS_PER_S,
        duration,
        seed,
        max_in_flight: MAX_IN_FLIGHT,
        timeout: REQUEST_TIMEOUT,
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    let calls = generate_calls(&mut rng, open.arrivals().len());
    let exchanges = Arc::new(Mutex::new(Vec::new()));
    let caller = Caller::new();
    let send_numbered = |number: u64| {
        let index = usize::try_from(number).unwrap_or(usize::MAX);
        let call = with_session_part(&calls[index], index / NEW_SESSIONS_EVERY);
        let rng = SmallRng::seed_from_u64(seed ^ number);
        send(fleet.clone(), caller.clone(), call, rng, exchanges.clone())
    };
    let tally = open.run(send_numbered).await;
    let exchanges = std::mem::take(&mut *exchanges.lock());
    (exchanges, tally)
}

/// Sends one request, and retries a submission that was refused or failed.
async fn send(
    fleet: Arc<Fleet>,
    caller: Caller,
    call: Call,
    mut rng: SmallRng,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
) -> LoadOutcome {
    let mut outcome = LoadOutcome::Failed;
    for _ in 0..=MAX_RETRIES {
        let Some(target) = fleet.pick(&mut rng) else { return LoadOutcome::Failed };
        let started = Instant::now();
        let completed = caller.clone().send(target.address, call.clone()).await;
        outcome = load_outcome(&completed, started);
        exchanges.lock().push(Exchange {
            instance: target.id,
            at: started,
            ended: Instant::now(),
            completed,
        });
        let is_submission = matches!(call.kind, Kind::Submission(_));
        if !is_submission || matches!(outcome, LoadOutcome::Answered { .. }) {
            break;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    outcome
}

fn load_outcome(completed: &Completed, started: Instant) -> LoadOutcome {
    match &completed.outcome {
        Outcome::Answered(answered) => {
            LoadOutcome::Answered { first_byte: Some((started + answered.first_byte).into()) }
        }
        Outcome::Refused(_) => LoadOutcome::Refused,
        Outcome::Failed => LoadOutcome::Failed,
    }
}

/// Returns the request with the number of the part of the run added to its session id.
fn with_session_part(call: &Call, part: usize) -> Call {
    let session = call.session.as_ref().map(|session| format!("{session}-{part}").into());
    Call { session, ..call.clone() }
}
