//! A mixed load over HTTP, generated from a seed.

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

/// Maximum number of requests in flight.
const CONCURRENCY: usize = 24;

/// A request with its outcome.
#[derive(Clone, Debug)]
pub struct Completed {
    /// Request that was sent.
    pub call: Call,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// Sends `count` requests to the instances in turn and returns their outcomes in order of
/// completion. Calls `progress` with the number of completed requests after each one.
pub async fn run(
    addresses: &[SocketAddr],
    count: usize,
    seed: u64,
    mut progress: impl FnMut(usize),
) -> Vec<Completed> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let calls = generate_calls(&mut rng, count);
    let caller = Caller::new();
    let exchanges: Vec<_> = calls
        .into_iter()
        .enumerate()
        .map(|(index, call)| caller.clone().send(addresses[index % addresses.len()], call))
        .collect();
    let mut completed = Vec::with_capacity(count);
    let mut responses = stream::iter(exchanges).buffer_unordered(CONCURRENCY);
    while let Some(request) = responses.next().await {
        completed.push(request);
        progress(completed.len());
    }
    completed
}
