//! Cluster of many instances' fleet components (membership and configuration) in one process. They
//! communicate over real sockets.

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

/// Fleet sizes that are measured: the present size, one in between, and the size expected in two
/// years.
pub const FLEET_SIZES: [usize; 3] = [9, 74, 370];

/// Data centres of the larger fleets. Small fleets use only the first ones.
const DATA_CENTRES: [&str; 5] = ["attica-a", "macedonia-a", "crete-a", "poa-a", "bnu-a"];
/// Number of data centres of a small fleet.
const SMALL_FLEET_DATA_CENTRES: usize = 3;
/// Largest number of instances of a small fleet.
const SMALL_FLEET_SIZE: usize = 9;
/// Time within which all instances must know each other and have the first configuration.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay of each response of the store.
const STORE_DELAY: Duration = Duration::from_millis(2);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Number of accounts in the configuration, which give it a realistic size.
const ACCOUNTS: usize = 200;

/// Highest configuration revision that an instance has applied, and how often it went back to a
/// lower one. Kept across restarts of the instance.
#[derive(Clone, Default)]
struct RevertCounter(Arc<Mutex<(Revision, u64)>>);

impl RevertCounter {
    fn record(&self, revision: Revision) {
        let mut state = self.0.lock();
        if revision < state.0 {
            state.1 += 1;
        }
        state.0 = state.0.max(revision);
    }
}

/// Fleet components of one instance.
pub struct Node {
    /// Membership and messaging of the instance.
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

/// Fleet components of many instances that share one store.
pub struct Cluster {
    /// Stand-in for the store.
    pub store: Store,
    /// Faults injected into the network between the instances.
    pub faults: Faults,
    /// Nodes by the number of their instance.
    pub nodes: Vec<Node>,
    seed: u64,
    client: Arc<Etcd>,
    revision: Revision,
}

impl Cluster {
    /// Starts `count` instances and waits until each knows all others and has a configuration.
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
                id: instance_id(number),
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
        // Like a deployed instance, each node has its own connections to the store.
        let client = Arc::new(Etcd::new(vec![self.store.address()]));
        let tracker = mesh.tracker().clone();
        let follower = Follower::new(client, mesh.clone(), tracker, metrics);
        let accepted = follower.subscribe();
        let tasks = vec![
            tokio::spawn(mesh.clone().run()),
            tokio::spawn(async move { follower.run().await }),
            tokio::spawn(record_revisions(accepted.clone(), reverts.clone())),
        ];
        Ok(Node { mesh, accepted, number, incarnation, reverts, tasks })
    }

    /// Returns the nodes started so far, as the instance list of the platform.
    fn seeds(&self) -> Vec<Seed> {
        let seed =
            |node: &Node| Seed { id: instance_id(node.number), address: node.mesh.address() };
        self.nodes.iter().map(seed).collect()
    }

    /// Publishes the next configuration and returns its revision.
    ///
    /// # Errors
    ///
    /// Returns a failure if it is not accepted.
    pub async fn publish_config(&mut self) -> Result<Revision, Failure> {
        let id = format!("apply-{}", self.revision);
        let applied =
            config::apply(&*self.client, configuration(self.revision), self.revision, &id).await;
        self.revision = applied.map_err(|error| Failure::new(&error))?;
        Ok(self.revision)
    }

    /// Aborts all tasks of an instance, like a crash.
    pub fn kill(&mut self, at: usize) {
        self.nodes[at].kill();
    }

    /// Starts a killed instance again with the next incarnation, at another address.
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

    /// Waits until a condition holds and returns how long it took.
    ///
    /// # Errors
    ///
    /// Returns a failure if it takes longer than `timeout`.
    pub async fn wait_until(
        &self,
        timeout: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Result<Duration, Failure> {
        let began = Instant::now();
        while !holds(self) {
            if began.elapsed() > timeout {
                return Err(Failure::text("the fleet takes too long: run on an idle machine"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(began.elapsed())
    }

    /// Returns whether all instances have applied at least this revision.
    pub fn all_reached(&self, revision: Revision) -> bool {
        self.nodes.iter().all(|node| node.revision() >= revision)
    }

    /// Returns whether every instance knows all others.
    pub fn is_fully_joined(&self) -> bool {
        self.nodes.iter().all(|node| node.mesh.members().len() == self.nodes.len())
    }

    /// Returns how often instances went back to an older revision, in total.
    pub fn reverts(&self) -> u64 {
        self.nodes.iter().map(|node| node.reverts.0.lock().1).sum()
    }

    /// Returns the number of data centres.
    pub fn data_centre_count(&self) -> usize {
        if self.nodes.len() <= SMALL_FLEET_SIZE {
            SMALL_FLEET_DATA_CENTRES
        } else {
            DATA_CENTRES.len()
        }
    }

    /// Returns the total traffic of all instances.
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

async fn record_revisions(mut accepted: watch::Receiver<Option<Accepted>>, reverts: RevertCounter) {
    while accepted.changed().await.is_ok() {
        if let Some(accepted) = accepted.borrow_and_update().as_ref() {
            reverts.record(accepted.revision);
        }
    }
}

fn instance_id(number: usize) -> InstanceId {
    format!("instance-{number:03}").into()
}

fn data_centre(number: usize, count: usize) -> &'static str {
    let centres =
        if count <= SMALL_FLEET_SIZE { SMALL_FLEET_DATA_CENTRES } else { DATA_CENTRES.len() };
    DATA_CENTRES[number % centres]
}

/// Returns a configuration whose content differs for each number.
fn configuration(number: u64) -> Value {
    let accounts = (0..ACCOUNTS).map(|account| {
        let hash = hawthornmount_core::config::key_hash(&account.to_string());
        (format!("account-{account}"), json!({ "key_hashes": [hash], "allow": [] }))
    });
    json!({
        "accounts": accounts.collect::<serde_json::Map<_, _>>(),
        "limits": { "body_bytes": 1_000 + number },
    })
}
