//! The first configuration of a new instance: the highest of the store and its peers.

use {
    super::{Follower, KEY},
    crate::role,
    futures::{StreamExt, stream::FuturesUnordered},
    hawthornmount_core::id::InstanceId,
    hawthornmount_store::Entry,
    std::time::Duration,
    tokio::time::Instant,
};

/// Time in which other members may show up before the store's answer alone counts.
const PEERS_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two looks at the members.
const PEERS_PAUSE: Duration = Duration::from_millis(20);
/// Peers that are asked.
const PEERS: usize = 5;
/// Time in which a peer has to answer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which the store has to answer.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before the second try; each later one is twice as long.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two tries.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// What the store holds, and when it was asked.
struct Stored {
    entry: Entry,
    asked: Instant,
}

impl Follower {
    /// Takes the first configuration. Both sources are heard before it is published, so that an
    /// instance never starts on an older revision than its peers hold.
    pub(super) async fn start(&self) {
        let mut pause = RETRY_PAUSE;
        loop {
            let (stored, best_peer) = tokio::join!(self.stored(), self.best_peer());
            if let Some(peer) = best_peer {
                self.fetch(&peer, FETCH_TIMEOUT).await;
            }
            if let Some(Stored { entry, asked }) = stored {
                let revision = entry.revision;
                self.take(revision, entry.value);
                self.tracker.confirm_if_held(revision, asked);
            }
            if self.tracker.held() > 0 {
                return;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
        }
    }

    async fn stored(&self) -> Option<Stored> {
        let asked = Instant::now();
        match tokio::time::timeout(STORE_TIMEOUT, self.store.get(KEY)).await {
            Ok(Ok(entry)) => entry.map(|entry| Stored { entry, asked }),
            Ok(Err(error)) => {
                log::warn!("the store gives no configuration; cause={error}");
                None
            }
            Err(_) => {
                log::warn!("the store gives no configuration in time");
                None
            }
        }
    }

    /// Returns a peer that holds the highest revision of those that were asked.
    async fn best_peer(&self) -> Option<InstanceId> {
        let peers = self.peers().await;
        let ask = |peer: InstanceId| async {
            let revision = self.revision_of(&peer, FETCH_TIMEOUT).await;
            revision.filter(|revision| *revision > 0).map(|revision| (revision, peer))
        };
        let asked: FuturesUnordered<_> = peers.into_iter().map(ask).collect();
        let answers: Vec<_> = asked.collect().await;
        answers.into_iter().flatten().max().map(|(_, peer)| peer)
    }

    /// Waits for other members and returns some of them, those of other data centres among them.
    async fn peers(&self) -> Vec<InstanceId> {
        let deadline = Instant::now() + PEERS_TIMEOUT;
        loop {
            let local = self.fleet.local();
            let members = self.fleet.members();
            let others = members.iter().filter(|one| one.id != local && role::is_live(one));
            let mut others: Vec<_> = others.map(|one| (one.revision, one.id.clone())).collect();
            if !others.is_empty() || Instant::now() >= deadline {
                others.sort_by(|a, b| b.cmp(a));
                return spaced(others);
            }
            tokio::time::sleep(PEERS_PAUSE).await;
        }
    }
}

/// Returns at most [`PEERS`] names, evenly spaced over the list and the first among them.
fn spaced(others: Vec<(u64, InstanceId)>) -> Vec<InstanceId> {
    let step = others.len().div_ceil(PEERS).max(1);
    others.into_iter().step_by(step).map(|(_, id)| id).collect()
}
