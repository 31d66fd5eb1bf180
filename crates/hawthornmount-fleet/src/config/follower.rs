//! Following of the accepted configuration: from the store where this instance is a watcher of its
//! data centre, else from peers whose heartbeats show a newer revision.

use {
    super::Accepted,
    crate::{Fleet, Message, Responder, Topic, position::Position, role},
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

/// Soft role of the instances that watch the store for their data centre.
pub const ROLE: &str = "config";
/// Watchers in a data centre.
pub const WATCHERS: usize = 2;

/// Instances that stand in for watchers who don't get through.
const SUBSTITUTES: usize = 2;
/// Age of the confirmation past which the first substitute watches too.
const SUBSTITUTE_AGE: Duration = Duration::from_secs(10);
/// Pause between two looks at the role.
const ROLE_PAUSE: Duration = Duration::from_millis(250);
/// Time in which a peer has to hand over its configuration at the first try.
const FETCH_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after a peer did not hand over its configuration.
const FETCH_PAUSE: Duration = Duration::from_millis(50);
/// Part under which drops are counted.
const PART: &str = "config";

/// Question for a newer configuration.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct Fetch {
    have: Revision,
}

/// Answer to [`Fetch`].
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Fetched {
    /// Revision that the peer holds.
    revision: Revision,
    /// The configuration, if it is newer.
    bytes: Option<Vec<u8>>,
}

/// Follower of the accepted configuration.
pub struct Follower {
    pub(super) store: Arc<dyn Store>,
    pub(super) fleet: Arc<dyn Fleet>,
    pub(super) position: Arc<Position>,
    pub(super) metrics: Metrics,
    accepted: Arc<watch::Sender<Option<Accepted>>>,
    refused: Mutex<Revision>,
}

impl Follower {
    /// Creates a follower and lets it answer the peers of `fleet`.
    pub fn new(
        store: Arc<dyn Store>,
        fleet: Arc<dyn Fleet>,
        position: Arc<Position>,
        metrics: Metrics,
    ) -> Self {
        let accepted = Arc::new(watch::Sender::new(None));
        fleet.respond_with(Topic::Config, Arc::new(Source(accepted.clone())));
        Self { store, fleet, position, metrics, accepted, refused: Mutex::new(0) }
    }

    /// Returns a receiver of the newest accepted configuration.
    pub fn subscribe(&self) -> watch::Receiver<Option<Accepted>> {
        self.accepted.subscribe()
    }

    /// Follows; never returns.
    pub async fn run(&self) {
        self.start().await;
        tokio::join!(self.watch_if_chosen(), self.fetch_newer());
    }

    /// Takes a stored configuration if it is newer than the held one. One that this version of the
    /// program can't read is refused, and the held one stays in force.
    pub(super) fn take(&self, revision: Revision, bytes: Bytes) {
        if revision <= self.position.held() || revision <= *self.refused.lock() {
            return;
        }
        match Accepted::read(revision, bytes) {
            Ok(accepted) => self.publish(accepted),
            Err(error) => {
                *self.refused.lock() = revision;
                log::error!("revision {revision} is not taken; cause={error}");
                self.drop_one("refused");
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
            self.position.advance(revision);
        }
    }

    pub(super) fn drop_one(&self, cause: &str) {
        self.metrics.count_dropped(PART, cause);
    }

    async fn watch_if_chosen(&self) {
        loop {
            if self.is_chosen() {
                tokio::select! {
                    () = self.watch() => {}
                    () = self.role_lost() => {}
                }
            }
            tokio::time::sleep(ROLE_PAUSE).await;
        }
    }

    async fn role_lost(&self) {
        while self.is_chosen() {
            tokio::time::sleep(ROLE_PAUSE).await;
        }
    }

    fn is_chosen(&self) -> bool {
        let rank = role::rank(&self.fleet.members(), &self.fleet.local(), ROLE);
        rank.is_some_and(|rank| rank < WATCHERS || self.is_substitute(rank - WATCHERS))
    }

    /// Tells whether this instance stands in for watchers whose word has not come for long; the
    /// number of substitutes does not grow with the fleet.
    fn is_substitute(&self, rank: usize) -> bool {
        let Ok(steps) = u32::try_from(rank + 1) else { return false };
        let age = self.position.confirmed().map_or(Duration::MAX, |at| at.elapsed());
        rank < SUBSTITUTES && age > SUBSTITUTE_AGE * steps
    }

    async fn fetch_newer(&self) {
        let mut timeout = FETCH_TIMEOUT;
        loop {
            let hint = self.position.newer().await;
            if hint.revision <= *self.refused.lock() {
                continue;
            }
            if self.fetch(&hint.peer, timeout).await {
                timeout = FETCH_TIMEOUT;
            } else {
                timeout = (timeout * 2).min(crate::mesh::ASK_TIMEOUT);
                self.drop_one("fetch");
                tokio::time::sleep(FETCH_PAUSE).await;
            }
        }
    }

    /// Asks a peer for a newer configuration and tells whether it answered.
    pub(super) async fn fetch(&self, peer: &InstanceId, timeout: Duration) -> bool {
        let fetch = Fetch { have: self.position.held() };
        let Some(fetched) = self.ask(peer, fetch, timeout).await else { return false };
        if let Some(bytes) = fetched.bytes {
            self.take(fetched.revision, bytes.into());
        }
        true
    }

    /// Asks a peer which revision it holds.
    pub(super) async fn revision_of(
        &self,
        peer: &InstanceId,
        timeout: Duration,
    ) -> Option<Revision> {
        let fetch = Fetch { have: Revision::MAX };
        self.ask(peer, fetch, timeout).await.map(|fetched| fetched.revision)
    }

    async fn ask(&self, peer: &InstanceId, fetch: Fetch, timeout: Duration) -> Option<Fetched> {
        let payload = postcard::to_stdvec(&fetch).ok()?.into();
        let answer = self.fleet.ask(peer, Topic::Config, payload);
        let answer = tokio::time::timeout(timeout, answer).await.ok()?.ok()?;
        postcard::from_bytes(&answer).ok()
    }
}

/// Hands the held configuration to peers.
struct Source(Arc<watch::Sender<Option<Accepted>>>);

#[async_trait]
impl Responder for Source {
    async fn respond(&self, message: Message) -> Bytes {
        let have = postcard::from_bytes::<Fetch>(&message.payload).map_or(0, |fetch| fetch.have);
        let held = self.0.borrow().clone();
        let revision = held.as_ref().map_or(0, |held| held.revision);
        let newer = held.filter(|held| held.revision > have);
        let fetched = Fetched { revision, bytes: newer.map(|held| held.bytes.to_vec()) };
        postcard::to_stdvec(&fetched).unwrap_or_default().into()
    }
}
