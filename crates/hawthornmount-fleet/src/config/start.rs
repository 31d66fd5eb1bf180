//! First configuration of a new instance: the newest one among the store's and the peers'.

use {
    super::{Follower, KEY},
    crate::role,
    futures::{StreamExt, stream::FuturesUnordered},
    hawthornmount_core::id::InstanceId,
    hawthornmount_store::Entry,
    std::time::Duration,
    tokio::time::Instant,
};

/// Time to wait for other members before relying on the store alone.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two checks of the member list.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of peers whose revision is requested.
const MAX_PEERS: usize = 5;
/// Timeout of a request to a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a read of the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause before the second attempt; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest pause between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Entry of the store with the time at which it was requested.
struct Stored {
    entry: Entry,
    requested_at: Instant,
}

impl Follower {
    /// Obtains the first configuration. It is published only after both the store and the peers
    /// have answered or timed out, so that an instance does not start on an older revision than its
    /// peers hold.
    pub(super) async fn start(&self) {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let (stored, newest_peer) = tokio::join!(self.fetch_from_store(), self.newest_peer());
            if let Some(peer) = newest_peer {
                self.fetch(&peer, FETCH_TIMEOUT).await;
            }
            if let Some(Stored { entry, requested_at }) = stored {
                let revision = entry.revision;
                self.adopt(revision, entry.value);
                self.tracker.confirm_if_held(revision, requested_at);
            }
            if self.tracker.held() > 0 {
                return;
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    async fn fetch_from_store(&self) -> Option<Stored> {
        let requested_at = Instant::now();
        match tokio::time::timeout(STORE_TIMEOUT, self.store.get(KEY)).await {
            Ok(Ok(entry)) => entry.map(|entry| Stored { entry, requested_at }),
            Ok(Err(error)) => {
                log::warn!("the configuration could not be read from the store; cause={error}");
                None
            }
            Err(_) => {
                log::warn!("reading the configuration from the store timed out");
                None
            }
        }
    }

    /// Returns the peer with the newest revision among those that answered.
    async fn newest_peer(&self) -> Option<InstanceId> {
        let peers = self.peers().await;
        let request_revision = |peer: InstanceId| async {
            let revision = self.revision_of(&peer, FETCH_TIMEOUT).await;
            revision.filter(|revision| *revision > 0).map(|revision| (revision, peer))
        };
        let requests: FuturesUnordered<_> = peers.into_iter().map(request_revision).collect();
        let revisions: Vec<_> = requests.collect().await;
        revisions.into_iter().flatten().max().map(|(_, peer)| peer)
    }

    /// Waits for other members and returns a sample of them, not limited to this data centre. The
    /// sample contains a member with the newest known revision.
    async fn peers(&self) -> Vec<InstanceId> {
        let deadline = Instant::now() + DISCOVERY_TIMEOUT;
        loop {
            let local = self.fleet.local();
            let members = self.fleet.members();
            let others =
                members.iter().filter(|member| member.id != local && role::is_live(member));
            let mut others: Vec<_> =
                others.map(|member| (member.revision, member.id.clone())).collect();
            if !others.is_empty() || Instant::now() >= deadline {
                others.sort_by(|a, b| b.cmp(a));
                return sample_evenly(others);
            }
            tokio::time::sleep(DISCOVERY_INTERVAL).await;
        }
    }
}

/// Returns at most [`MAX_PEERS`] names at even distances from the list, starting with the first.
fn sample_evenly(others: Vec<(u64, InstanceId)>) -> Vec<InstanceId> {
    let step = others.len().div_ceil(MAX_PEERS).max(1);
    others.into_iter().step_by(step).map(|(_, id)| id).collect()
}
