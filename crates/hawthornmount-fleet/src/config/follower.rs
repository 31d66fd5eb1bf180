//! Follows the accepted configuration: from the store if this instance is a watcher of its data
//! centre, and from peers whose digests show a newer revision.

use {
    super::Accepted,
    crate::{Fleet, Message, Responder, Topic, revision::Tracker, role},
    async_trait::async_trait,
    bytes::Bytes,
    hawthornmount_core::{
        id::{InstanceId, Revision},
        metrics::Metrics,
    },
    hawthornmount_store::Store,
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Role of the instances that watch the store for their data centre.
pub const ROLE: &str = "config";
/// Regular watchers of the store in each data centre.
pub const WATCHERS_PER_DATA_CENTRE: usize = 2;

/// Instances of a data centre that watch too if the regular watchers can't reach the store.
const BACKUP_WATCHERS: usize = 2;
/// Age of the last confirmation above which the first backup watcher becomes active; each further
/// one waits for as long again.
const BACKUP_ACTIVATION_AGE: Duration = Duration::from_secs(10);
/// Interval between two checks of the role assignment.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of the first fetch of a configuration from a peer; it doubles with each failure in a
/// row, up to the timeout of a request.
const INITIAL_FETCH_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after a failed fetch.
const FETCH_BACKOFF: Duration = Duration::from_millis(50);
/// Label `part` of the metric that counts drops.
const PART: &str = "config";

/// Request for a configuration that is newer than `have`.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct Fetch {
    have: Revision,
}

/// Response to [`Fetch`].
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Fetched {
    /// Revision that the peer holds.
    revision: Revision,
    /// Encoded record, if it is newer than the requested revision.
    bytes: Option<Vec<u8>>,
}

/// Follows the accepted configuration and serves it to peers.
pub struct Follower {
    pub(super) store: Arc<dyn Store>,
    pub(super) fleet: Arc<dyn Fleet>,
    pub(super) tracker: Arc<Tracker>,
    pub(super) metrics: Metrics,
    accepted: Arc<watch::Sender<Option<Accepted>>>,
    /// Newest revision whose record this instance could not decode; 0 if there is none.
    rejected: Mutex<Revision>,
}

impl Follower {
    /// Creates a follower and registers it as the responder to configuration requests of peers.
    pub fn new(
        store: Arc<dyn Store>,
        fleet: Arc<dyn Fleet>,
        tracker: Arc<Tracker>,
        metrics: Metrics,
    ) -> Self {
        let accepted = Arc::new(watch::Sender::new(None));
        fleet.respond_with(Topic::Config, Arc::new(Server(accepted.clone())));
        Self { store, fleet, tracker, metrics, accepted, rejected: Mutex::new(0) }
    }

    /// Returns a receiver of the newest accepted configuration.
    pub fn subscribe(&self) -> watch::Receiver<Option<Accepted>> {
        self.accepted.subscribe()
    }

    /// Follows the accepted configuration; never returns.
    pub async fn run(&self) {
        self.start().await;
        tokio::join!(self.watch_while_assigned(), self.fetch_newer());
    }

    /// Adopts a stored configuration if it is newer than the held one. One that this version of the
    /// program can't decode is rejected, and the held one stays in force.
    pub(super) fn adopt(&self, revision: Revision, bytes: Bytes) {
        if revision <= self.tracker.held() || revision <= *self.rejected.lock() {
            return;
        }
        match Accepted::decode(revision, bytes) {
            Ok(accepted) => self.publish(accepted),
            Err(error) => {
                *self.rejected.lock() = revision;
                log::error!("configuration revision {revision} rejected; cause={error}");
                self.count_drop("refused");
            }
        }
    }

    fn publish(&self, accepted: Accepted) {
        let revision = accepted.revision;
        let is_newer = self.accepted.send_if_modified(|held| {
            let newer = held.as_ref().is_none_or(|held| held.revision < revision);
            if newer {
                *held = Some(accepted);
            }
            newer
        });
        if is_newer {
            self.tracker.advance(revision);
        }
    }

    pub(super) fn count_drop(&self, cause: &str) {
        self.metrics.count_drop(PART, cause);
    }

    async fn watch_while_assigned(&self) {
        loop {
            if self.is_watcher() {
                tokio::select! {
                    () = self.watch() => {}
                    () = self.role_lost() => {}
                }
            }
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
        }
    }

    async fn role_lost(&self) {
        while self.is_watcher() {
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
        }
    }

    fn is_watcher(&self) -> bool {
        let rank = role::rank(&self.fleet.members(), &self.fleet.local(), ROLE);
        rank.is_some_and(|rank| {
            rank < WATCHERS_PER_DATA_CENTRE
                || self.is_active_backup(rank - WATCHERS_PER_DATA_CENTRE)
        })
    }

    /// Returns whether this instance watches as a backup because the held revision has not been
    /// confirmed for long. The number of backup watchers does not grow with the fleet.
    fn is_active_backup(&self, backup_rank: usize) -> bool {
        let Ok(order) = u32::try_from(backup_rank + 1) else { return false };
        let age = self.tracker.confirmed().map_or(Duration::MAX, |at| at.elapsed());
        backup_rank < BACKUP_WATCHERS && age > BACKUP_ACTIVATION_AGE * order
    }

    async fn fetch_newer(&self) {
        let mut timeout = INITIAL_FETCH_TIMEOUT;
        loop {
            let hint = self.tracker.next_hint().await;
            if hint.revision <= *self.rejected.lock() {
                continue;
            }
            if self.fetch(&hint.peer, timeout).await {
                timeout = INITIAL_FETCH_TIMEOUT;
            } else {
                timeout = (timeout * 2).min(crate::mesh::REQUEST_TIMEOUT);
                self.count_drop("fetch");
                tokio::time::sleep(FETCH_BACKOFF).await;
            }
        }
    }

    /// Fetches a newer configuration from a peer and returns whether the peer answered.
    pub(super) async fn fetch(&self, peer: &InstanceId, timeout: Duration) -> bool {
        let fetch = Fetch { have: self.tracker.held() };
        let Some(fetched) = self.send_fetch(peer, fetch, timeout).await else { return false };
        if let Some(bytes) = fetched.bytes {
            self.adopt(fetched.revision, bytes.into());
        }
        true
    }

    /// Requests the revision that a peer holds. As no revision is newer than the maximum, the peer
    /// does not send its configuration.
    pub(super) async fn revision_of(
        &self,
        peer: &InstanceId,
        timeout: Duration,
    ) -> Option<Revision> {
        let fetch = Fetch { have: Revision::MAX };
        self.send_fetch(peer, fetch, timeout).await.map(|fetched| fetched.revision)
    }

    async fn send_fetch(
        &self,
        peer: &InstanceId,
        fetch: Fetch,
        timeout: Duration,
    ) -> Option<Fetched> {
        let payload = postcard::to_stdvec(&fetch).ok()?.into();
        let response = self.fleet.request(peer, Topic::Config, payload);
        let response = tokio::time::timeout(timeout, response).await.ok()?.ok()?;
        postcard::from_bytes(&response).ok()
    }
}

/// Responder that serves the held configuration to peers.
struct Server(Arc<watch::Sender<Option<Accepted>>>);

#[async_trait]
impl Responder for Server {
    async fn respond(&self, message: Message) -> Bytes {
        let have = postcard::from_bytes::<Fetch>(&message.payload).map_or(0, |fetch| fetch.have);
        let held = self.0.borrow().clone();
        let revision = held.as_ref().map_or(0, |held| held.revision);
        let newer = held.filter(|held| held.revision > have);
        let fetched = Fetched { revision, bytes: newer.map(|held| held.bytes.to_vec()) };
        postcard::to_stdvec(&fetched).unwrap_or_default().into()
    }
}
