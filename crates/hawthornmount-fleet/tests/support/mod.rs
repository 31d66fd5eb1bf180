//! Cluster of instances that run only membership and configuration, on an in-process network.
#![allow(dead_code, reason = "each test file uses a subset")]

pub mod pause;
pub mod store;

use {
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
    pause::Switch,
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
/// Secret whose frames every instance accepts in addition to its own.
pub const NEXT_SECRET: &str = "next secret of the tests' fleet";
pub const SECRET: &str = "secret of the tests' fleet";

pub struct Node {
    pub mesh: Arc<Mesh>,
    pub metrics: Metrics,
    pub address: SocketAddr,
    pub accepted: watch::Receiver<Option<Accepted>>,
    pub pause_switch: Switch,
    task: JoinHandle<()>,
}

impl Node {
    pub fn revision(&self) -> Revision {
        self.accepted.borrow().as_ref().map_or(0, |accepted| accepted.revision)
    }

    pub fn sees(&self, id: &str) -> Option<Member> {
        self.mesh.members().iter().find(|member| *member.id == *id).cloned()
    }

    pub fn alive_count(&self) -> usize {
        let members = self.mesh.members();
        members.iter().filter(|member| member.liveness == Liveness::Alive).count()
    }

    pub fn drop_count(&self, cause: &str) -> u64 {
        self.metrics.dropped.with_label_values(&["fleet", cause]).get()
    }

    pub fn kill(&self) {
        self.task.abort();
    }
}

pub struct Cluster {
    pub network: Network,
    pub faults: Faults,
    pub store: Arc<Faulty>,
    pub nodes: Vec<Node>,
}

impl Cluster {
    pub fn new(count: usize) -> Self {
        let mut cluster = Self {
            network: Network::new(),
            faults: Faults::new(1),
            store: Arc::new(Faulty::default()),
            nodes: Vec::new(),
        };
        for number in 0..count {
            let node = cluster.start(&name(number), 1, SECRET, address(number));
            cluster.nodes.push(node);
        }
        cluster
    }

    /// Starts an instance that seals frames with the next secret and also accepts the present one.
    pub fn start_rotated(&self, id: &str, incarnation: u64, address: SocketAddr) -> Node {
        self.start_with(id, incarnation, [NEXT_SECRET, SECRET], address)
    }

    /// Starts an instance that seals frames with `secret` and also accepts the next one.
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
        let pause_switch = Switch::default();
        let task = tokio::spawn(pause_switch.wrap(async move {
            tokio::join!(run, follower.run());
        }));
        Node { mesh, metrics, address, accepted, pause_switch, task }
    }

    pub fn all_hold(&self, revision: Revision) -> bool {
        self.nodes.iter().all(|node| node.revision() == revision)
    }

    /// Counts the drops of all followers for one cause.
    pub fn drop_count(&self, cause: &str) -> u64 {
        let dropped =
            |node: &Node| node.metrics.dropped.with_label_values(&["config", cause]).get();
        self.nodes.iter().map(dropped).sum()
    }

    /// Applies a configuration with a limit derived from `base`, so that revisions are
    /// distinguishable.
    pub async fn apply_config(&self, base: Revision) -> Revision {
        let id = format!("apply-{base}");
        config::apply(&*self.store, config_value(base), base, &id).await.expect("accepted")
    }

    pub fn all_alive(&self) -> bool {
        self.nodes.iter().all(|node| node.alive_count() == self.nodes.len())
    }

    /// Counts the instances that see instance `of` with this liveness, itself included.
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

/// Waits on the paused clock until the condition holds, and panics after `timeout`.
pub async fn wait_until(timeout: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + timeout;
    while !holds() {
        assert!(tokio::time::Instant::now() < deadline, "not in {timeout:?}: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

pub fn config_value(number: u64) -> Value {
    json!({ "limits": { "body_bytes": 1_000 + number } })
}
