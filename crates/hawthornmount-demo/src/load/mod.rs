//! A mixed load of callers over real HTTP, from a seed.

mod caller;
mod plan;

pub use {
    caller::{Answered, Caller, Outcome, Refused, prompt},
    plan::{ACCOUNTS, Account, Call, Kind, generate_calls},
};

use {
    futures::{StreamExt, stream},
    rand::{SeedableRng, rngs::SmallRng},
    std::net::SocketAddr,
};

/// Requests at a time.
const CONCURRENCY: usize = 24;

/// A request with what came of it.
#[derive(Clone, Debug)]
pub struct Completed {
    /// What was asked.
    pub call: Call,
    /// What came of it.
    pub outcome: Outcome,
}

/// Sends `count` requests to the instances in turn and returns what came of each; `progress` is
/// told the number of ended requests.
pub async fn run(
    addresses: &[SocketAddr],
    count: usize,
    seed: u64,
    mut progress: impl FnMut(usize),
) -> Vec<Completed> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let calls = generate_calls(&mut rng, count);
    let caller = Caller::new();
    let calls: Vec<_> = calls
        .into_iter()
        .enumerate()
        .map(|(at, call)| caller.clone().send(addresses[at % addresses.len()], call))
        .collect();
    let mut done = Vec::with_capacity(count);
    let mut ended = stream::iter(calls).buffer_unordered(CONCURRENCY);
    while let Some(one) = ended.next().await {
        done.push(one);
        progress(done.len());
    }
    done
}
