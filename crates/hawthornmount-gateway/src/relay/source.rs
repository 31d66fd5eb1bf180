//! Choice of the source of the store's content: another instance or the store itself.
//!
//! Load: hundreds of instances that all need every change. The instances of a data centre share one
//! order, so nearly all of them follow the first, and only that one reads the store. If it fails,
//! each of them notices by itself and tries the next; whoever finds none before itself reads the
//! store. An instance follows only those before it, unless the store has failed it, so requests
//! don't run in a circle.

use {
    crate::membership::Peer,
    hawthornmount_core::id::InstanceId,
    std::time::{Duration, Instant},
};

/// Time for which an instance is skipped after its first failure; each further one doubles it.
const PEER_BACKOFF: Duration = Duration::from_secs(1);
/// Longest time for which an instance is skipped.
const MAX_PEER_BACKOFF: Duration = Duration::from_secs(32);
/// Time for which the store is skipped after its first failure; each further one doubles it.
const STORE_BACKOFF: Duration = Duration::from_millis(250);
/// Longest time for which the store is skipped.
const MAX_STORE_BACKOFF: Duration = Duration::from_secs(1);
/// Instances that may fail one after the other before the store is read.
const MAX_FAILED_PEERS: usize = 2;

/// Where the content comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// The store.
    Store,
    /// Another instance.
    Peer(Peer),
}

#[derive(Clone, Debug)]
struct Failure {
    id: InstanceId,
    count: u32,
    skipped_until: Instant,
}

/// Chooses the source, given the instances that failed.
#[derive(Clone, Debug, Default)]
pub struct Selector {
    failures: Vec<Failure>,
    store_failures: u32,
    store_skipped_until: Option<Instant>,
    /// Instances that failed since the last success.
    failed_in_a_row: usize,
}

impl Selector {
    /// Returns the source to use next. `peers` are the other instances in their order, of which the
    /// first `before` come before this instance.
    pub fn choose(&self, peers: &[Peer], before: usize, now: Instant) -> Source {
        let is_usable = |peer: &&Peer| !self.is_skipped(&peer.id, now);
        let (before, after) = peers.split_at(before.min(peers.len()));
        if self.failed_in_a_row < MAX_FAILED_PEERS
            && let Some(peer) = before.iter().find(is_usable)
        {
            return Source::Peer(peer.clone());
        }
        let is_store_usable = self.store_skipped_until.is_none_or(|until| now >= until);
        if is_store_usable {
            return Source::Store;
        }
        // The store has failed this instance, but may answer others.
        let peer = before.iter().chain(after).find(is_usable);
        peer.map_or(Source::Store, |peer| Source::Peer(peer.clone()))
    }

    /// Returns how long to wait before the store is read again, if no source is usable.
    pub fn store_delay(&self, now: Instant) -> Duration {
        self.store_skipped_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Records that an instance did not answer, or had no recent confirmation.
    pub fn peer_failed(&mut self, id: &InstanceId, now: Instant) {
        let at = match self.failures.binary_search_by(|failure| failure.id.cmp(id)) {
            Ok(at) => at,
            Err(at) => {
                let failure = Failure { id: id.clone(), count: 0, skipped_until: now };
                self.failures.insert(at, failure);
                at
            }
        };
        let failure = &mut self.failures[at];
        failure.skipped_until = now + backoff(PEER_BACKOFF, failure.count, MAX_PEER_BACKOFF);
        failure.count += 1;
        self.failed_in_a_row += 1;
    }

    /// Records that an instance gave a recent confirmation.
    pub fn peer_succeeded(&mut self, id: &InstanceId) {
        if let Ok(at) = self.failures.binary_search_by(|failure| failure.id.cmp(id)) {
            self.failures.remove(at);
        }
        self.failed_in_a_row = 0;
    }

    /// Records that the store did not answer.
    pub fn store_failed(&mut self, now: Instant) {
        let time = backoff(STORE_BACKOFF, self.store_failures, MAX_STORE_BACKOFF);
        self.store_skipped_until = Some(now + time);
        self.store_failures += 1;
        self.failed_in_a_row = 0;
    }

    /// Records that the store answered.
    pub fn store_succeeded(&mut self) {
        self.store_failures = 0;
        self.store_skipped_until = None;
        self.failed_in_a_row = 0;
    }

    fn is_skipped(&self, id: &InstanceId, now: Instant) -> bool {
        let found = self.failures.binary_search_by(|failure| failure.id.cmp(id));
        found.is_ok_and(|at| now < self.failures[at].skipped_until)
    }
}

fn backoff(first: Duration, failures: u32, longest: Duration) -> Duration {
    (first * 2_u32.pow(failures.min(8))).min(longest)
}
