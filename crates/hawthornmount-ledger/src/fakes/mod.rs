//! Fakes for tests: a store that fails on demand, and an in-process fleet.

use {
    crate::{Claim, Usage},
    async_trait::async_trait,
    bytes::Bytes,
    hawthornmount_core::{
        id::{InstanceId, Revision},
        snapshot::{Liveness, Member},
    },
    hawthornmount_fleet::{Error as FleetError, Fleet, Message, Responder, Topic},
    hawthornmount_store::{
        Commit, Entry, Error, LeaseId, Page, Result, Store, Txn, Watch, memory::Memory,
    },
    parking_lot::Mutex,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::mpsc,
};

/// Faults in the calls of one instance to the store.
#[derive(Debug, Default)]
pub struct Faults {
    /// Fails every call.
    pub down: AtomicBool,
    /// Number of transactions that take effect and whose answers are then lost.
    pub lose: AtomicU64,
    /// Number of transactions that are delayed until [`Flaky::release`] and reported as lost, as if
    /// the writer were paused.
    pub hold: AtomicU64,
    /// Number of transactions that were tried.
    pub writes: AtomicU64,
}

/// Store that fails on demand.
pub struct Flaky {
    inner: Arc<Memory>,
    pub faults: Faults,
    held: Mutex<Vec<Txn>>,
    delay: Duration,
}

impl Flaky {
    pub fn new(inner: &Arc<Memory>, delay: Duration) -> Arc<Self> {
        let inner = inner.clone();
        Arc::new(Self { inner, faults: Faults::default(), held: Mutex::default(), delay })
    }

    /// Commits the delayed transactions and returns their results.
    pub async fn release(&self) -> Vec<Commit> {
        let held = std::mem::take(&mut *self.held.lock());
        let mut commits = Vec::new();
        for txn in held {
            commits.push(self.inner.commit(txn).await.expect("the memory store answers"));
        }
        commits
    }

    /// Delays the call, and fails it if the store is down.
    async fn check_reachable(&self) -> Result<()> {
        tokio::time::sleep(self.delay).await;
        if self.faults.down.load(Ordering::SeqCst) {
            return Err(Error::Unreachable { cause: "down".into() });
        }
        Ok(())
    }
}

/// Decrements a counter. Returns whether it was above zero.
fn take_one(count: &AtomicU64) -> bool {
    count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
}

fn lost() -> Error {
    Error::ResponseLost { cause: "lost".into() }
}

#[async_trait]
impl Store for Flaky {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        self.check_reachable().await?;
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page> {
        self.check_reachable().await?;
        self.inner.list(prefix, after, limit).await
    }

    async fn commit(&self, txn: Txn) -> Result<Commit> {
        self.faults.writes.fetch_add(1, Ordering::SeqCst);
        self.check_reachable().await?;
        if take_one(&self.faults.hold) {
            self.held.lock().push(txn);
            return Err(lost());
        }
        let commit = self.inner.commit(txn).await;
        if take_one(&self.faults.lose) { Err(lost()) } else { commit }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        self.inner.grant(ttl).await
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration> {
        self.inner.keep_alive(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<()> {
        self.inner.revoke(lease).await
    }

    async fn watch(&self, prefix: &str, from: Revision) -> Result<Watch> {
        self.inner.watch(prefix, from).await
    }
}

/// State of one member.
struct Node {
    id: InstanceId,
    topics: Vec<(Topic, Arc<dyn Responder>)>,
    /// Whether it is cut off from the others.
    cut: bool,
}

/// In-process fleet.
#[derive(Default)]
pub struct Mesh {
    members: Mutex<Vec<Member>>,
    nodes: Mutex<Vec<Node>>,
    delay: Mutex<Duration>,
}

/// Member of a [`Mesh`].
pub struct Peer {
    mesh: Arc<Mesh>,
    id: InstanceId,
}

impl Mesh {
    pub fn join(self: &Arc<Self>, id: &str, data_centre: &str) -> Arc<Peer> {
        self.members.lock().push(Member {
            id: id.into(),
            incarnation: 1,
            data_centre: data_centre.into(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            liveness: Liveness::Alive,
            revision: 0,
        });
        self.nodes.lock().push(Node { id: id.into(), topics: Vec::new(), cut: false });
        Arc::new(Peer { mesh: self.clone(), id: id.into() })
    }

    /// Cuts an instance off from the others, or connects it again.
    pub fn cut(&self, id: &str, cut: bool) {
        let mut nodes = self.nodes.lock();
        nodes.iter_mut().filter(|node| *node.id == *id).for_each(|node| node.cut = cut);
    }

    /// Sets the time until a request reaches its peer.
    pub fn set_delay(&self, delay: Duration) {
        *self.delay.lock() = delay;
    }

    fn responder(&self, from: &str, peer: &str, topic: Topic) -> Option<Arc<dyn Responder>> {
        let nodes = self.nodes.lock();
        if nodes.iter().any(|node| *node.id == *from && node.cut) {
            return None;
        }
        let node = nodes.iter().find(|node| *node.id == *peer && !node.cut)?;
        let found = node.topics.iter().find(|(registered, _)| *registered == topic)?;
        Some(found.1.clone())
    }
}

#[async_trait]
impl Fleet for Peer {
    fn members(&self) -> Arc<[Member]> {
        self.mesh.members.lock().clone().into()
    }

    fn local(&self) -> InstanceId {
        self.id.clone()
    }

    fn broadcast(&self, _topic: Topic, _payload: Bytes) -> std::result::Result<(), FleetError> {
        Ok(())
    }

    async fn request(
        &self,
        peer: &InstanceId,
        topic: Topic,
        payload: Bytes,
    ) -> std::result::Result<Bytes, FleetError> {
        let delay = *self.mesh.delay.lock();
        tokio::time::sleep(delay).await;
        let responder = self
            .mesh
            .responder(&self.id, peer, topic)
            .ok_or_else(|| FleetError::NotMember { peer: peer.clone() })?;
        Ok(responder.respond(Message { from: self.id.clone(), payload }).await)
    }

    fn subscribe(&self, _topic: Topic, _sender: mpsc::Sender<Message>) {}

    fn respond_with(&self, topic: Topic, responder: Arc<dyn Responder>) {
        let mut nodes = self.mesh.nodes.lock();
        let node = nodes.iter_mut().find(|node| node.id == self.id).expect("a member");
        node.topics.push((topic, responder));
    }
}

pub fn claim(key: &str, attempt: &str) -> Claim {
    Claim {
        account: "oikos".into(),
        key: key.into(),
        attempt: attempt.into(),
        digest: "body".into(),
        until_ms: u64::MAX,
    }
}

pub fn usage(request: &str, account: &str) -> Usage {
    Usage {
        request: request.into(),
        account: account.into(),
        model: "draft".into(),
        version: "v1".into(),
        prompt_tokens: 3,
        completion_tokens: 4,
        billed: 7,
        cost: 9,
        at_ms: 1,
    }
}
