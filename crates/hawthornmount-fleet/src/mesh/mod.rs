//! Fleet over UDP and TCP: failure detection, gossip and requests between instances.
//!
//! Each instance probes one member a second in shuffled order, so that the cost per instance does
//! not grow with the fleet. Updates are disseminated in a few rounds of frames to random members;
//! state transfer over TCP repairs what gossip missed.

mod gossip;
mod probe;
mod receive;
mod request;
mod serve;
mod state;
mod sync;

use {
    crate::{
        Error, Fleet, Message, Responder, Topic,
        revision::Tracker,
        roster::Change,
        seed::Source,
        transport::Transport,
        wire::{
            Body, Digest, Frame, Keyring, MAX_PAYLOAD_BYTES, Payload, Record, Standing, Update,
        },
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

/// Timeout of [`Fleet::request`].
pub const REQUEST_TIMEOUT: std::time::Duration = request::TIMEOUT;

/// Label `part` of the metric that counts drops.
const PART: &str = "fleet";

/// Parameters of a [`Mesh`].
pub struct Options {
    /// Record of this instance; its address is replaced by the bound one.
    pub local: Record,
    /// Shared secret of the fleet.
    pub secret: Arc<str>,
    /// Further secrets whose frames are accepted while the fleet's secret is rotated.
    pub other_secrets: Vec<Arc<str>>,
    /// Source of seeds; without one the instance waits until others contact it.
    pub seeds: Option<Arc<dyn Source>>,
    /// Tracker of the configuration revision.
    pub tracker: Arc<Tracker>,
    /// Metrics that count drops.
    pub metrics: Metrics,
    /// Seed of the random choice of peers.
    pub seed: u64,
}

struct Subscriber {
    topic: Topic,
    sender: mpsc::Sender<Message>,
}

struct Registration {
    topic: Topic,
    responder: Arc<dyn Responder>,
}

/// Member of a fleet that communicates over UDP and TCP.
pub struct Mesh {
    id: InstanceId,
    keyring: Keyring,
    seeds: Option<Arc<dyn Source>>,
    tracker: Arc<Tracker>,
    metrics: Metrics,
    transport: OnceLock<Arc<dyn Transport>>,
    state: Mutex<State>,
    subscribers: Mutex<Vec<Subscriber>>,
    responders: Mutex<Vec<Registration>>,
    updates_queued: Notify,
}

impl Mesh {
    /// Creates a mesh that is not attached to a network yet.
    pub fn new(options: Options) -> Self {
        Self {
            id: options.local.id.clone(),
            keyring: Keyring::new(&options.secret)
                .with_others(options.other_secrets.iter().map(|secret| &**secret)),
            seeds: options.seeds,
            tracker: options.tracker,
            metrics: options.metrics,
            transport: OnceLock::new(),
            state: Mutex::new(State::new(options.local, options.seed)),
            subscribers: Mutex::new(Vec::new()),
            responders: Mutex::new(Vec::new()),
            updates_queued: Notify::new(),
        }
    }

    /// Attaches the mesh to a network; a second call has no effect.
    pub fn attach(&self, transport: Arc<dyn Transport>) {
        let address = transport.address();
        if self.transport.set(transport).is_ok() {
            self.state.lock().roster.set_address(address);
        }
    }

    /// Returns the address that receives frames.
    pub fn address(&self) -> std::net::SocketAddr {
        self.state.lock().roster.local().address
    }

    /// Returns the tracker of the configuration revision.
    pub const fn tracker(&self) -> &Arc<Tracker> {
        &self.tracker
    }

    /// Returns the traffic counters.
    pub fn traffic(&self) -> Traffic {
        self.state.lock().traffic
    }

    /// Returns whether the instance knows another member that is not dead.
    pub fn has_joined(&self) -> bool {
        !self.state.lock().roster.reachable().is_empty()
    }

    /// Announces that this instance is leaving.
    pub fn leave(&self) {
        let record = self.state.lock().roster.leave();
        self.broadcast_record(record);
    }

    /// Runs the protocol; returns only if the sockets have failed.
    ///
    /// # Panics
    ///
    /// Panics if the mesh is not attached to a network.
    pub async fn run(self: Arc<Self>) {
        tokio::select! {
            () = self.receive_loop() => {}
            () = self.accept_loop() => {}
            () = self.probe_loop() => {}
            () = self.gossip_loop() => {}
            () = self.announce_revisions() => {}
            () = self.join_loop() => {}
        }
        log::error!("the fleet's sockets have failed: restart the instance");
    }

    fn transport(&self) -> &Arc<dyn Transport> {
        self.transport.get().expect("the mesh is attached to a network")
    }

    fn digest(&self) -> Digest {
        let age = self.tracker.confirmed().map(|at| at.elapsed());
        Digest { revision: self.tracker.held(), age, roster: self.state.lock().roster.hash() }
    }

    fn count_drop(&self, cause: &str) {
        self.metrics.count_drop(PART, cause);
    }

    async fn send(&self, to: &Record, body: Body, updates: Vec<Update>) {
        let from = self.state.lock().roster.local().clone();
        let frame = Frame { from, to: to.id.clone(), digest: self.digest(), body, updates };
        let bytes = self.keyring.seal(&frame);
        self.state.lock().traffic.sent += bytes.len() as u64;
        if let Err(error) = self.transport().send(to.address, &bytes).await {
            log::debug!("frame not sent; to={} cause={error}", to.id);
            self.count_drop("send");
        }
    }

    /// Merges the record of a member and gossips it if it is new.
    fn merge_record(self: &Arc<Self>, record: Record) {
        let change = self.state.lock().roster.merge(record, Instant::now());
        match change {
            Change::None => {}
            Change::Updated(record) => self.broadcast_record(record),
            Change::Revived(record) => {
                self.broadcast_record(record.clone());
                self.sync_with_revived(record);
            }
        }
    }

    fn broadcast_record(&self, record: Record) {
        self.enqueue(Update::Member(record));
    }

    fn enqueue(&self, update: Update) {
        if !self.state.lock().enqueue(update) {
            self.count_drop("rumour_backlog");
        }
        self.updates_queued.notify_one();
    }
}

/// Traffic counters, without the headers of lower protocol layers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes of sent datagrams.
    pub sent: u64,
    /// Bytes of received datagrams.
    pub received: u64,
    /// Bytes in both directions over connections that this instance opened.
    pub outbound: u64,
    /// Bytes in both directions over connections that others opened.
    pub inbound: u64,
    /// Number of received datagrams.
    pub datagrams: u64,
}

#[async_trait]
impl Fleet for Mesh {
    fn members(&self) -> Arc<[Member]> {
        self.state.lock().roster.members(self.tracker.held())
    }

    fn local(&self) -> InstanceId {
        self.id.clone()
    }

    fn broadcast(&self, topic: Topic, payload: Bytes) -> Result<(), Error> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return Err(Error::TooLarge { bytes: payload.len() });
        }
        let payload = {
            let mut state = self.state.lock();
            let number = state.next_sequence_number();
            let local = state.roster.local();
            let (origin, incarnation) = (local.id.clone(), local.incarnation);
            Payload { origin, incarnation, number, topic, bytes: payload.to_vec() }
        };
        self.enqueue(Update::Payload(payload));
        Ok(())
    }

    async fn request(
        &self,
        peer: &InstanceId,
        topic: Topic,
        payload: Bytes,
    ) -> Result<Bytes, Error> {
        let record = self.state.lock().roster.get(peer).cloned();
        match record {
            Some(record) if record.standing != Standing::Dead => {
                self.request_topic(&record, topic, payload).await
            }
            _ => Err(Error::NotMember { peer: peer.clone() }),
        }
    }

    fn subscribe(&self, topic: Topic, sender: mpsc::Sender<Message>) {
        self.subscribers.lock().push(Subscriber { topic, sender });
    }

    fn respond_with(&self, topic: Topic, responder: Arc<dyn Responder>) {
        let mut responders = self.responders.lock();
        responders.retain(|registered| registered.topic != topic);
        responders.push(Registration { topic, responder });
    }
}
