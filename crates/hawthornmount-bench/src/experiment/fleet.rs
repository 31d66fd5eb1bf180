//! Fleet parts of many instances in one process, over real sockets, for the experiments on them.

use {
    super::Failure,
    hawthornmount_core::{
        id::{InstanceId, Revision},
        metrics::Metrics,
    },
    hawthornmount_fleet::{
        Fleet,
        config::{self, Accepted, Follower},
        mesh::{Mesh, Options, Traffic},
        revision::Tracker,
        seed::{Fixed, Seed},
        transport::{
            Transport,
            fault::{Faults, Injector},
            net::Net,
        },
        wire::{Record, Standing},
    },
    hawthornmount_standin::store::Store,
    hawthornmount_store::etcd::Etcd,
    parking_lot::Mutex,
    serde_json::{Value, json},
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::watch, task::JoinHandle},
};

/// Sizes of the fleet: of today, between, and of two years from now.
pub const FLEET_SIZES: [usize; 3] = [9, 74, 370];

/// Data centres of the smallest fleet and of the others.
const DATA_CENTRES: [&str; 5] = ["attica-a", "macedonia-a", "crete-a", "poa-a", "bnu-a"];
const SMALL_DATA_CENTRES: usize = 3;
/// Size up to which a fleet is small.
const SMALL: usize = 9;
/// Time in which all instances have to know each other.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay of the store's answers.
const STORE_DELAY: Duration = Duration::from_millis(2);
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(2);
/// Accounts of the configuration, to give it a likely size.
const ACCOUNTS: usize = 200;

/// Highest revision that was ever in force at an instance, over its lives.
#[derive(Clone, Default)]
struct RevertCounter(Arc<Mutex<(Revision, u64)>>);

impl RevertCounter {
    fn note(&self, revision: Revision) {
        let mut reverts = self.0.lock();
        if revision < reverts.0 {
            reverts.1 += 1;
        }
        reverts.0 = reverts.0.max(revision);
    }
}

/// The fleet part of one instance.
pub struct Node {
    /// Its fleet.
    pub mesh: Arc<Mesh>,
    accepted: watch::Receiver<Option<Accepted>>,
    number: usize,
    incarnation: u64,
    reverts: RevertCounter,
    tasks: Vec<JoinHandle<()>>,
}

impl Node {
    fn revision(&self) -> Revision {
        self.accepted.borrow().as_ref().map_or(0, |accepted| accepted.revision)
    }

    fn kill(&self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Fleet parts of many instances with one store.
pub struct Cluster {
    /// The store.
    pub store: Store,
    /// The network.
    pub faults: Faults,
    /// The instances.
    pub nodes: Vec<Node>,
    seed: u64,
    client: Arc<Etcd>,
    revision: Revision,
}

impl Cluster {
    /// Starts `count` instances and waits until all know each other and hold a configuration.
    ///
    /// # Errors
    ///
    /// Returns a failure if something can't start or takes too long.
    pub async fn start(count: usize, seed: u64) -> Result<Self, Failure> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store = Store::start(any).await.map_err(|error| Failure::new(&error))?;
        store.faults().set_delay(STORE_DELAY);
        let client = Arc::new(Etcd::new(vec![store.address()]));
        let faults = Faults::new(seed);
        let mut cluster = Self { store, faults, nodes: Vec::new(), seed, client, revision: 0 };
        cluster.publish_config().await?;
        for number in 0..count {
            let node = cluster.node(number, 1, count, RevertCounter::default())?;
            cluster.nodes.push(node);
        }
        let revision = cluster.revision;
        cluster
            .wait_until(JOIN_TIMEOUT, |cluster| {
                cluster.is_fully_joined() && cluster.all_reached(revision)
            })
            .await?;
        Ok(cluster)
    }

    fn node(
        &self,
        number: usize,
        incarnation: u64,
        count: usize,
        reverts: RevertCounter,
    ) -> Result<Node, Failure> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let net = Arc::new(Net::bind(any).map_err(|error| Failure::new(&error))?);
        let address = net.address();
        let metrics = Metrics::new();
        let mesh = Arc::new(Mesh::new(Options {
            local: Record {
                id: name(number),
                incarnation,
                refutation: 0,
                standing: Standing::Alive,
                data_centre: data_centre(number, count).into(),
                address,
            },
            secret: "secret of the experiment's fleet".into(),
            other_secrets: Vec::new(),
            seeds: Some(Arc::new(Fixed(self.seeds()))),
            tracker: Arc::new(Tracker::new()),
            metrics: metrics.clone(),
            seed: self.seed.wrapping_mul(1_000_003).wrapping_add(number as u64 + incarnation),
        }));
        mesh.attach(Arc::new(Injector::new(net, self.faults.clone())));
        // Each instance has connections of its own to the store.
        let client = Arc::new(Etcd::new(vec![self.store.address()]));
        let tracker = mesh.tracker().clone();
        let follower = Follower::new(client, mesh.clone(), tracker, metrics);
        let accepted = follower.subscribe();
        let tasks = vec![
            tokio::spawn(mesh.clone().run()),
            tokio::spawn(async move { follower.run().await }),
            tokio::spawn(note(accepted.clone(), reverts.clone())),
        ];
        Ok(Node { mesh, accepted, number, incarnation, reverts, tasks })
    }

    /// Returns the instances of the platform's list.
    fn seeds(&self) -> Vec<Seed> {
        let seed = |node: &Node| Seed { id: name(node.number), address: node.mesh.address() };
        self.nodes.iter().map(seed).collect()
    }

    /// Publishes the next configuration and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns a failure if it is not accepted.
    pub async fn publish_config(&mut self) -> Result<Revision, Failure> {
        let id = format!("apply-{}", self.revision);
        let applied = config::apply(&*self.client, value(self.revision), self.revision, &id).await;
        self.revision = applied.map_err(|error| Failure::new(&error))?;
        Ok(self.revision)
    }

    /// Ends the instance as a crash would.
    pub fn kill(&mut self, at: usize) {
        self.nodes[at].kill();
    }

    /// Starts the instance anew, at another address.
    ///
    /// # Errors
    ///
    /// Returns a failure if it can't start.
    pub fn restart(&mut self, at: usize) -> Result<(), Failure> {
        let old = &self.nodes[at];
        let node =
            self.node(old.number, old.incarnation + 1, self.nodes.len(), old.reverts.clone())?;
        self.nodes[at] = node;
        Ok(())
    }

    /// Waits until the condition holds and returns how long it took.
    ///
    /// # Errors
    ///
    /// Returns a failure if it takes longer than `bound`.
    pub async fn wait_until(
        &self,
        bound: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Result<Duration, Failure> {
        let began = Instant::now();
        while !holds(self) {
            if began.elapsed() > bound {
                return Err(Failure::text("the fleet takes too long: run on an idle machine"));
            }
            tokio::time::sleep(PAUSE).await;
        }
        Ok(began.elapsed())
    }

    /// Tells whether all instances hold at least this revision.
    pub fn all_reached(&self, revision: Revision) -> bool {
        self.nodes.iter().all(|node| node.revision() >= revision)
    }

    /// Tells whether all instances know all others.
    pub fn is_fully_joined(&self) -> bool {
        self.nodes.iter().all(|node| node.mesh.members().len() == self.nodes.len())
    }

    /// Returns how often an instance went back to an older revision.
    pub fn reverts(&self) -> u64 {
        self.nodes.iter().map(|node| node.reverts.0.lock().1).sum()
    }

    /// Returns the data centres.
    pub fn data_centre_count(&self) -> usize {
        if self.nodes.len() <= SMALL { SMALL_DATA_CENTRES } else { DATA_CENTRES.len() }
    }

    /// Returns the traffic of all instances.
    pub fn traffic(&self) -> Traffic {
        let mut sum = Traffic::default();
        for node in &self.nodes {
            let traffic = node.mesh.traffic();
            sum.sent += traffic.sent;
            sum.received += traffic.received;
            sum.outbound += traffic.outbound;
            sum.inbound += traffic.inbound;
            sum.datagrams += traffic.datagrams;
        }
        sum
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.nodes.iter().for_each(Node::kill);
    }
}

async fn note(mut accepted: watch::Receiver<Option<Accepted>>, reverts: RevertCounter) {
    while accepted.changed().await.is_ok() {
        if let Some(accepted) = accepted.borrow_and_update().as_ref() {
            reverts.note(accepted.revision);
        }
    }
}

fn name(number: usize) -> InstanceId {
    format!("instance-{number:03}").into()
}

fn data_centre(number: usize, count: usize) -> &'static str {
    let centres = if count <= SMALL { SMALL_DATA_CENTRES } else { DATA_CENTRES.len() };
    DATA_CENTRES[number % centres]
}

fn value(number: u64) -> Value {
    let accounts = (0..ACCOUNTS).map(|account| {
        let hash = hawthornmount_core::config::key_hash(&account.to_string());
        (format!("account-{account}"), json!({ "key_hashes": [hash], "allow": [] }))
    });
    json!({
        "accounts": accounts.collect::<serde_json::Map<_, _>>(),
        "limits": { "body_bytes": 1_000 + number },
    })
}
