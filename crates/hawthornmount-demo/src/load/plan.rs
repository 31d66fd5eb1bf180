//! Generates the requests of the load.

use {
    rand::{RngExt, rngs::SmallRng},
    std::sync::Arc,
};

/// Number of sessions of each account.
const SESSIONS_PER_ACCOUNT: u32 = 12;
/// Interval, in submissions, at which the previous submission is sent again.
const REPEAT_INTERVAL: usize = 3;
/// Values of `max_tokens` from which a request's value is drawn.
const MAX_TOKENS: [u64; 3] = [8, 16, 32];

/// Client account of the example configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Account {
    /// Name of the account.
    pub id: &'static str,
    /// API key of the account.
    pub key: &'static str,
}

/// Client accounts of the example configuration.
pub const ACCOUNTS: [Account; 2] = [
    Account { id: "municipal", key: "demo-municipal" },
    Account { id: "rural", key: "demo-rural" },
];

/// Kind of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// A completion in one piece.
    Json,
    /// A completion as a stream.
    Stream,
    /// A status lookup at the plain service.
    Lookup,
    /// A submission to the plain service with an idempotency key.
    Submission(Arc<str>),
}

/// A request of the load.
#[derive(Clone, Debug)]
pub struct Call {
    /// Account of the caller.
    pub account: Account,
    /// Kind of the request.
    pub kind: Kind,
    /// Session that the request belongs to.
    pub session: Option<Arc<str>>,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u64,
}

/// Generates `count` requests.
pub fn generate_calls(rng: &mut SmallRng, count: usize) -> Vec<Call> {
    let run: u32 = rng.random();
    let mut submissions = Vec::new();
    (0..count).map(|_| generate_call(rng, run, &mut submissions)).collect()
}

fn generate_call(rng: &mut SmallRng, run: u32, submissions: &mut Vec<Call>) -> Call {
    let account = ACCOUNTS[rng.random_range(0..ACCOUNTS.len())];
    let max_tokens = MAX_TOKENS[rng.random_range(0..MAX_TOKENS.len())];
    let session = format!("session-{run:x}-{}", rng.random_range(0..SESSIONS_PER_ACCOUNT));
    let base = Call { account, kind: Kind::Json, session: None, max_tokens };
    match rng.random_range(0..100) {
        0..40 => base,
        40..65 => Call { kind: Kind::Stream, ..base },
        65..80 => Call { session: Some(session.into()), ..base },
        80..90 => Call { kind: Kind::Lookup, ..base },
        _ => submission(base, run, submissions),
    }
}

/// Returns a new submission, or the previous one again after every [`REPEAT_INTERVAL`] submissions.
fn submission(base: Call, run: u32, submissions: &mut Vec<Call>) -> Call {
    let number = submissions.len();
    let repeats = number > 0 && number.is_multiple_of(REPEAT_INTERVAL);
    let call = match submissions.last() {
        Some(last) if repeats => last.clone(),
        _ => Call { kind: Kind::Submission(format!("grant-{run:x}-{number}").into()), ..base },
    };
    submissions.push(call.clone());
    call
}
