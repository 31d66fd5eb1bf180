//! The soak's mixed load.

use {
    super::Fleet,
    crate::load::{OpenLoop, Outcome as Counted, Tally},
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

/// Requests a second.
const RATE: f64 = 120.0;
/// Requests in flight at the most.
const IN_FLIGHT: usize = 512;
/// Time that one request may take with its repetitions.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Requests after which callers begin new sessions.
const SESSION_EVERY: usize = 600;
/// Times that a caller sends a submission again that it has no answer to.
const REPETITIONS: usize = 2;
/// Pause before a submission is sent again.
const PAUSE: Duration = Duration::from_millis(200);

/// Sends the load and returns each request with what came of it.
pub async fn run(fleet: Arc<Fleet>, seed: u64, duration: Duration) -> (Vec<Exchange>, Tally) {
    let open = OpenLoop { rate: RATE, duration, seed, max_in_flight: IN_FLIGHT, timeout: TIMEOUT };
    let mut rng = SmallRng::seed_from_u64(seed);
    let asks = generate_calls(&mut rng, open.arrivals().len());
    let sent = Arc::new(Mutex::new(Vec::new()));
    let caller = Caller::new();
    let call = |number: u64| {
        let at = usize::try_from(number).unwrap_or(usize::MAX);
        let ask = renewed(&asks[at], at / SESSION_EVERY);
        let rng = SmallRng::seed_from_u64(seed ^ number);
        one(fleet.clone(), caller.clone(), ask, rng, sent.clone())
    };
    let tally = open.run(call).await;
    let sent = std::mem::take(&mut *sent.lock());
    (sent, tally)
}

/// Sends one request, and a submission again if no answer came.
async fn one(
    fleet: Arc<Fleet>,
    caller: Caller,
    ask: Call,
    mut rng: SmallRng,
    sent: Arc<Mutex<Vec<Exchange>>>,
) -> Counted {
    let mut counted = Counted::Failed;
    for _ in 0..=REPETITIONS {
        let Some(target) = fleet.pick(&mut rng) else { return Counted::Failed };
        let at = Instant::now();
        let done = caller.clone().send(target.address, ask.clone()).await;
        counted = count(&done, at);
        sent.lock().push(Exchange {
            instance: target.life,
            at,
            ended: Instant::now(),
            completed: done,
        });
        let is_submission = matches!(ask.kind, Kind::Submission(_));
        if !is_submission || matches!(counted, Counted::Answered { .. }) {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    counted
}

fn count(done: &Completed, at: Instant) -> Counted {
    match &done.outcome {
        Outcome::Answered(answered) => {
            Counted::Answered { first_byte: Some((at + answered.first_byte).into()) }
        }
        Outcome::Refused(_) => Counted::Refused,
        Outcome::Failed => Counted::Failed,
    }
}

/// Returns the request with the session's name of this part of the run.
fn renewed(ask: &Call, part: usize) -> Call {
    let session = ask.session.as_ref().map(|session| format!("{session}-{part}").into());
    Call { session, ..ask.clone() }
}
