//! Instances of the fleet part on a network inside the process.
#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod gate;
pub mod store;

use {
    gate::Gate,
    hawthornmount_core::{
        id::Revision,
        metrics::Metrics,
        snapshot::{Liveness, Member},
    },
    hawthornmount_fleet::{
        Fleet,
        config::{self, Accepted, Follower},
        mesh::{Mesh, Options},
        revision::Tracker,
        seed::{Fixed, Seed},
        transport::{
            fault::{Faults, Injector},
            memory::Network,
        },
        wire::{Record, Standing},
    },
    serde_json::{Value, json},
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    store::Faulty,
    tokio::{sync::watch, task::JoinHandle},
};

pub const DATA_CENTRES: [&str; 3] = ["attica-a", "macedonia-a", "crete-a"];
/// Secret whose frames every instance takes too.
pub const NEXT_SECRET: &str = "next secret of the tests' fleet";
pub const SECRET: &str = "secret of the tests' fleet";

pub struct Node {
    pub mesh: Arc<Mesh>,
    pub metrics: Metrics,
    pub address: SocketAddr,
    pub accepted: watch::Receiver<Option<Accepted>>,
    pub gate: Gate,
    task: JoinHandle<()>,
}

impl Node {
    pub fn revision(&self) -> Revision {
        self.accepted.borrow().as_ref().map_or(0, |accepted| accepted.revision)
    }

    pub fn sees(&self, id: &str) -> Option<Member> {
        self.mesh.members().iter().find(|member| *member.id == *id).cloned()
    }

    pub fn alive(&self) -> usize {
        let members = self.mesh.members();
        members.iter().filter(|member| member.liveness == Liveness::Alive).count()
    }

    pub fn dropped(&self, cause: &str) -> u64 {
        self.metrics.dropped.with_label_values(&["fleet", cause]).get()
    }

    pub fn kill(&self) {
        self.task.abort();
    }
}

pub struct World {
    pub network: Network,
    pub faults: Faults,
    pub store: Arc<Faulty>,
    pub nodes: Vec<Node>,
}

impl World {
    pub fn new(count: usize) -> Self {
        let mut world = Self {
            network: Network::new(),
            faults: Faults::new(1),
            store: Arc::new(Faulty::default()),
            nodes: Vec::new(),
        };
        for number in 0..count {
            let node = world.start(&name(number), 1, SECRET, address(number));
            world.nodes.push(node);
        }
        world
    }

    /// Starts an instance that seals with the next secret and takes frames of the present one.
    pub fn start_rotated(&self, id: &str, incarnation: u64, address: SocketAddr) -> Node {
        self.start_with(id, incarnation, [NEXT_SECRET, SECRET], address)
    }

    /// Starts an instance that takes frames of the next secret too.
    pub fn start(&self, id: &str, incarnation: u64, secret: &str, address: SocketAddr) -> Node {
        self.start_with(id, incarnation, [secret, NEXT_SECRET], address)
    }

    fn start_with(
        &self,
        id: &str,
        incarnation: u64,
        [secret, other]: [&str; 2],
        address: SocketAddr,
    ) -> Node {
        let metrics = Metrics::new();
        let local = Record {
            id: id.into(),
            incarnation,
            refutation: 0,
            standing: Standing::Alive,
            data_centre: DATA_CENTRES[usize::from(address.port()) % DATA_CENTRES.len()].into(),
            address,
        };
        let seed = Seed { id: name(0), address: self::address(0) };
        let mesh = Arc::new(Mesh::new(Options {
            local,
            secret: secret.into(),
            other_secrets: vec![other.into()],
            seeds: Some(Arc::new(Fixed(vec![seed]))),
            tracker: Arc::new(Tracker::new()),
            metrics: metrics.clone(),
            seed: u64::from(address.port()),
        }));
        let memory = Arc::new(self.network.bind(address));
        mesh.attach(Arc::new(Injector::new(memory, self.faults.clone())));
        let follower = Follower::new(
            self.store.clone(),
            mesh.clone(),
            mesh.tracker().clone(),
            metrics.clone(),
        );
        let accepted = follower.subscribe();
        let run = mesh.clone().run();
        let gate = Gate::default();
        let task = tokio::spawn(gate.guard(async move {
            tokio::join!(run, follower.run());
        }));
        Node { mesh, metrics, address, accepted, gate, task }
    }

    pub fn all_hold(&self, revision: Revision) -> bool {
        self.nodes.iter().all(|node| node.revision() == revision)
    }

    /// Counts what the followers dropped for one cause.
    pub fn dropped(&self, cause: &str) -> u64 {
        let dropped =
            |node: &Node| node.metrics.dropped.with_label_values(&["config", cause]).get();
        self.nodes.iter().map(dropped).sum()
    }

    /// Accepts a configuration that tells the revisions apart by a limit.
    pub async fn accept(&self, base: Revision) -> Revision {
        let id = format!("apply-{base}");
        config::apply(&*self.store, value(base), base, &id).await.expect("accepted")
    }

    pub fn all_alive(&self) -> bool {
        self.nodes.iter().all(|node| node.alive() == self.nodes.len())
    }

    /// Counts the instances that see instance `of` so, itself included.
    pub fn seen_as(&self, of: usize, liveness: Liveness) -> usize {
        let sees = |node: &&Node| node.sees(&name(of)).is_some_and(|one| one.liveness == liveness);
        self.nodes.iter().filter(sees).count()
    }

    pub fn addresses(&self, range: std::ops::Range<usize>) -> Vec<SocketAddr> {
        self.nodes[range].iter().map(|node| node.address).collect()
    }
}

pub fn name(number: usize) -> Arc<str> {
    format!("attica-a-{number:03}").into()
}

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000 + u16::try_from(number).expect("few instances")))
}

/// Waits on the paused clock until the condition holds, and fails after `bound`.
pub async fn until(bound: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + bound;
    while !holds() {
        assert!(tokio::time::Instant::now() < deadline, "not in {bound:?}: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

pub fn value(number: u64) -> Value {
    json!({ "limits": { "body_bytes": 1_000 + number } })
}
