//! What the callers ask.

use {
    rand::{RngExt, rngs::SmallRng},
    std::sync::Arc,
};

/// Sessions of each account.
const SESSIONS: u32 = 12;
/// Every how many submissions the one before is sent again.
const REPEAT_EVERY: usize = 3;
/// Tokens of an answer.
const MAX_TOKENS: [u64; 3] = [8, 16, 32];

/// An account of the example folder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Account {
    /// Name.
    pub id: &'static str,
    /// Key.
    pub key: &'static str,
}

/// The accounts of the example folder.
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
    /// A status lookup.
    Lookup,
    /// A submission under a key.
    Submission(Arc<str>),
}

/// One request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Account of the caller.
    pub account: Account,
    /// Kind of the request.
    pub kind: Kind,
    /// Session of the caller.
    pub session: Option<Arc<str>>,
    /// Largest number of tokens of the answer.
    pub max_tokens: u64,
}

/// Returns `count` requests.
pub fn generate_calls(rng: &mut SmallRng, count: usize) -> Vec<Call> {
    let run: u32 = rng.random();
    let mut submissions = Vec::new();
    (0..count).map(|_| generate_call(rng, run, &mut submissions)).collect()
}

fn generate_call(rng: &mut SmallRng, run: u32, submissions: &mut Vec<Call>) -> Call {
    let account = ACCOUNTS[rng.random_range(0..ACCOUNTS.len())];
    let max_tokens = MAX_TOKENS[rng.random_range(0..MAX_TOKENS.len())];
    let session = format!("session-{run:x}-{}", rng.random_range(0..SESSIONS));
    let plain = Call { account, kind: Kind::Json, session: None, max_tokens };
    match rng.random_range(0..100) {
        0..40 => plain,
        40..65 => Call { kind: Kind::Stream, ..plain },
        65..80 => Call { session: Some(session.into()), ..plain },
        80..90 => Call { kind: Kind::Lookup, ..plain },
        _ => submission(plain, run, submissions),
    }
}

/// Returns a new submission, or now and then the last one again.
fn submission(plain: Call, run: u32, submissions: &mut Vec<Call>) -> Call {
    let number = submissions.len();
    let again = number > 0 && number.is_multiple_of(REPEAT_EVERY);
    let call = match submissions.last() {
        Some(last) if again => last.clone(),
        _ => Call { kind: Kind::Submission(format!("grant-{run:x}-{number}").into()), ..plain },
    };
    submissions.push(call.clone());
    call
}
