//! Fakes for tests: a store that fails on demand and a fleet inside the process.

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

/// Faults of one instance's way to the store.
#[derive(Debug, Default)]
pub struct Faults {
    /// Refuses every call.
    pub down: AtomicBool,
    /// Loses the answers of this many transactions after they took effect.
    pub lose: AtomicU64,
    /// Holds this many transactions back until [`Flaky::release`], as a pause of the writer does.
    pub hold: AtomicU64,
    /// Transactions that were tried.
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

    /// Lets the transactions that were held back reach the store.
    pub async fn release(&self) -> Vec<Commit> {
        let held = std::mem::take(&mut *self.held.lock());
        let mut commits = Vec::new();
        for txn in held {
            commits.push(self.inner.commit(txn).await.expect("the memory store answers"));
        }
        commits
    }

    async fn reach(&self) -> Result<()> {
        tokio::time::sleep(self.delay).await;
        if self.faults.down.load(Ordering::SeqCst) {
            return Err(Error::Unreachable { cause: "down".into() });
        }
        Ok(())
    }
}

fn take(count: &AtomicU64) -> bool {
    count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
}

fn lost() -> Error {
    Error::ResponseLost { cause: "lost".into() }
}

#[async_trait]
impl Store for Flaky {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        self.reach().await?;
        self.inner.get(key).await
    }

    async fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page> {
        self.reach().await?;
        self.inner.list(prefix, after, limit).await
    }

    async fn commit(&self, txn: Txn) -> Result<Commit> {
        self.faults.writes.fetch_add(1, Ordering::SeqCst);
        self.reach().await?;
        if take(&self.faults.hold) {
            self.held.lock().push(txn);
            return Err(lost());
        }
        let commit = self.inner.commit(txn).await;
        if take(&self.faults.lose) { Err(lost()) } else { commit }
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

struct Seat {
    id: InstanceId,
    topics: Vec<(Topic, Arc<dyn Responder>)>,
    cut: bool,
}

/// Instances inside the process.
#[derive(Default)]
pub struct Mesh {
    members: Mutex<Vec<Member>>,
    seats: Mutex<Vec<Seat>>,
}

/// One instance of a [`Mesh`].
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
        self.seats.lock().push(Seat { id: id.into(), topics: Vec::new(), cut: false });
        Arc::new(Peer { mesh: self.clone(), id: id.into() })
    }

    /// Cuts an instance off from the others, or connects it again.
    pub fn cut(&self, id: &str, cut: bool) {
        let mut seats = self.seats.lock();
        seats.iter_mut().filter(|seat| *seat.id == *id).for_each(|seat| seat.cut = cut);
    }

    fn responder(&self, from: &str, peer: &str, topic: Topic) -> Option<Arc<dyn Responder>> {
        let seats = self.seats.lock();
        if seats.iter().any(|seat| *seat.id == *from && seat.cut) {
            return None;
        }
        let seat = seats.iter().find(|seat| *seat.id == *peer && !seat.cut)?;
        let found = seat.topics.iter().find(|(one, _)| *one == topic)?;
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
        let responder = self
            .mesh
            .responder(&self.id, peer, topic)
            .ok_or_else(|| FleetError::NotMember { peer: peer.clone() })?;
        Ok(responder.respond(Message { from: self.id.clone(), payload }).await)
    }

    fn subscribe(&self, _topic: Topic, _sender: mpsc::Sender<Message>) {}

    fn respond_with(&self, topic: Topic, responder: Arc<dyn Responder>) {
        let mut seats = self.mesh.seats.lock();
        let seat = seats.iter_mut().find(|seat| seat.id == self.id).expect("a member");
        seat.topics.push((topic, responder));
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
