//! The fleet over UDP and TCP: heartbeats, suspicion, gossip and questions between instances.
//!
//! Each instance probes one member a second in shuffled turns, so that its costs don't grow with
//! the fleet. News spreads in a few rounds of frames to random members; state transfer over TCP
//! repairs what gossip missed.

mod ask;
mod gossip;
mod probe;
mod receive;
mod serve;
mod state;
mod sync;

use {
    crate::{
        Error, Fleet, Message, Responder, Topic,
        position::Position,
        roster::Change,
        seed::Source,
        transport::Transport,
        wire::{Body, Digest, Frame, Key, MAX_PAYLOAD, Payload, Record, Rumour, Standing},
    },
    async_trait::async_trait,
    bytes::Bytes,
    hawthornmount_core::{id::InstanceId, metrics::Metrics, snapshot::Member},
    parking_lot::Mutex,
    state::State,
    std::sync::{Arc, OnceLock},
    tokio::{
        sync::{Notify, mpsc},
        time::Instant,
    },
};

/// Time in which a peer answers a question or never.
pub const ASK_TIMEOUT: std::time::Duration = ask::TIMEOUT;

/// Part under which drops are counted.
const PART: &str = "fleet";

/// What a mesh is made from.
pub struct Options {
    /// This instance's claim of itself; the address is replaced by the bound one.
    pub local: Record,
    /// Secret that the fleet shares.
    pub secret: Arc<str>,
    /// Other secrets whose frames are taken, while the fleet changes its secret.
    pub other_secrets: Vec<Arc<str>>,
    /// Where to learn of others; none for an instance that stands alone until others find it.
    pub seeds: Option<Arc<dyn Source>>,
    /// Position in the sequence of configurations.
    pub position: Arc<Position>,
    /// Metrics that drops are counted in.
    pub metrics: Metrics,
    /// Seed of the choice of peers.
    pub seed: u64,
}

struct Subscriber {
    topic: Topic,
    sender: mpsc::Sender<Message>,
}

struct Responsible {
    topic: Topic,
    responder: Arc<dyn Responder>,
}

/// The fleet over UDP and TCP.
pub struct Mesh {
    id: InstanceId,
    key: Key,
    seeds: Option<Arc<dyn Source>>,
    position: Arc<Position>,
    metrics: Metrics,
    transport: OnceLock<Arc<dyn Transport>>,
    state: Mutex<State>,
    subscribers: Mutex<Vec<Subscriber>>,
    responders: Mutex<Vec<Responsible>>,
    news: Notify,
}

impl Mesh {
    /// Creates a mesh that is not attached to a network yet.
    pub fn new(options: Options) -> Self {
        Self {
            id: options.local.id.clone(),
            key: Key::new(&options.secret)
                .with_others(options.other_secrets.iter().map(|secret| &**secret)),
            seeds: options.seeds,
            position: options.position,
            metrics: options.metrics,
            transport: OnceLock::new(),
            state: Mutex::new(State::new(options.local, options.seed)),
            subscribers: Mutex::new(Vec::new()),
            responders: Mutex::new(Vec::new()),
            news: Notify::new(),
        }
    }

    /// Attaches the mesh to a network; a second call has no effect.
    pub fn attach(&self, transport: Arc<dyn Transport>) {
        let address = transport.address();
        if self.transport.set(transport).is_ok() {
            self.state.lock().roster.set_address(address);
        }
    }

    /// Returns the address for frames.
    pub fn address(&self) -> std::net::SocketAddr {
        self.state.lock().roster.local().address
    }

    /// Returns the position in the sequence of configurations.
    pub const fn position(&self) -> &Arc<Position> {
        &self.position
    }

    /// Returns the bytes that were sent and received, with those of connections.
    pub fn traffic(&self) -> Traffic {
        self.state.lock().traffic
    }

    /// Tells whether the instance knows another one that is not given up.
    pub fn has_joined(&self) -> bool {
        !self.state.lock().roster.reachable().is_empty()
    }

    /// Announces that this instance leaves.
    pub fn leave(&self) {
        let record = self.state.lock().roster.leave();
        self.spread_member(record);
    }

    /// Takes part in the fleet; returns only if the network has failed.
    ///
    /// # Panics
    ///
    /// Panics if the mesh is not attached to a network.
    pub async fn run(self: Arc<Self>) {
        tokio::select! {
            () = self.receive_all() => {}
            () = self.serve_all() => {}
            () = self.probe_all() => {}
            () = self.gossip_all() => {}
            () = self.push_revisions() => {}
            () = self.join_all() => {}
        }
        log::error!("the fleet's sockets have failed: restart the instance");
    }

    fn transport(&self) -> &Arc<dyn Transport> {
        self.transport.get().expect("the mesh is attached to a network")
    }

    fn digest(&self) -> Digest {
        let age = self.position.confirmed().map(|at| at.elapsed());
        Digest { revision: self.position.held(), age, roster: self.state.lock().roster.hash() }
    }

    fn drop_one(&self, cause: &str) {
        self.metrics.count_dropped(PART, cause);
    }

    async fn send(&self, to: &Record, body: Body, rumours: Vec<Rumour>) {
        let from = self.state.lock().roster.local().clone();
        let frame = Frame { from, to: to.id.clone(), digest: self.digest(), body, rumours };
        let bytes = self.key.seal(&frame);
        self.state.lock().traffic.sent += bytes.len() as u64;
        if let Err(error) = self.transport().send(to.address, &bytes).await {
            log::debug!("frame not sent; to={} cause={error}", to.id);
            self.drop_one("send");
        }
    }

    /// Takes a claim of a member and spreads it if it is news.
    fn learn(self: &Arc<Self>, claim: Record) {
        let change = self.state.lock().roster.merge(claim, Instant::now());
        match change {
            Change::None => {}
            Change::News(record) => self.spread_member(record),
            Change::Returned(record) => {
                self.spread_member(record.clone());
                self.sync_soon(record);
            }
        }
    }

    fn spread_member(&self, record: Record) {
        self.enqueue(Rumour::Member(record));
    }

    fn enqueue(&self, rumour: Rumour) {
        if !self.state.lock().enqueue(rumour) {
            self.drop_one("rumour_backlog");
        }
        self.news.notify_one();
    }
}

/// Bytes on the network, without the heads of lower layers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes of sent datagrams.
    pub sent: u64,
    /// Bytes of received datagrams.
    pub received: u64,
    /// Bytes both ways over connections that this instance opened.
    pub asked: u64,
    /// Bytes both ways over connections that others opened.
    pub answered: u64,
    /// Datagrams both ways.
    pub datagrams: u64,
}

#[async_trait]
impl Fleet for Mesh {
    fn members(&self) -> Arc<[Member]> {
        self.state.lock().roster.members(self.position.held())
    }

    fn local(&self) -> InstanceId {
        self.id.clone()
    }

    fn spread(&self, topic: Topic, payload: Bytes) -> Result<(), Error> {
        if payload.len() > MAX_PAYLOAD {
            return Err(Error::TooLarge { bytes: payload.len() });
        }
        let payload = {
            let mut state = self.state.lock();
            let number = state.next_number();
            let local = state.roster.local();
            let (origin, incarnation) = (local.id.clone(), local.incarnation);
            Payload { origin, incarnation, number, topic, bytes: payload.to_vec() }
        };
        self.enqueue(Rumour::Payload(payload));
        Ok(())
    }

    async fn ask(&self, peer: &InstanceId, topic: Topic, payload: Bytes) -> Result<Bytes, Error> {
        let record = self.state.lock().roster.get(peer).cloned();
        match record {
            Some(record) if record.standing != Standing::Dead => {
                self.ask_topic(&record, topic, payload).await
            }
            _ => Err(Error::NotMember { peer: peer.clone() }),
        }
    }

    fn subscribe(&self, topic: Topic, sender: mpsc::Sender<Message>) {
        self.subscribers.lock().push(Subscriber { topic, sender });
    }

    fn respond_with(&self, topic: Topic, responder: Arc<dyn Responder>) {
        let mut responders = self.responders.lock();
        responders.retain(|one| one.topic != topic);
        responders.push(Responsible { topic, responder });
    }
}
