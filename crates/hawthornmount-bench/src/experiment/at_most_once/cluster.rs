//! Entry instances, each with its own proxy to the store, and the faults injected into them.

use {
    super::proxy::Proxy,
    crate::experiment::Failure,
    async_trait::async_trait,
    hawthornmount_core::{
        clock::{self, Clock},
        config::Config,
        id::{AccountId, SessionId},
        snapshot::{Health, Liveness, Member},
    },
    hawthornmount_demo::deployment::Deployment,
    hawthornmount_entry::{Instance, instance::Builder},
    hawthornmount_fleet::{
        Fleet,
        local::Local,
        transport::{
            fault::{Faults, Injector},
            net::Net,
        },
    },
    hawthornmount_ledger::{
        Claim, Claimed, Error, Ledger, Outcome, Pin, Sharded, Ticket, Total, Usage,
        log::{Mutation, Options},
    },
    hawthornmount_standin::list::{Kind, Listed, State},
    hawthornmount_store::{Store, etcd::Etcd},
    parking_lot::Mutex,
    rand::{RngExt, rngs::StdRng},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
};

/// Data centres of the instances.
const DATA_CENTRES: [&str; 3] = ["attica-a", "crete-a", "macedonia-a"];
/// Number of instances in each data centre.
const INSTANCES_PER_DATA_CENTRE: usize = 3;
/// Time limit for all instances to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of kinds of faults.
const FAULT_KINDS: u32 = 7;
/// Kind of fault that loses answers of the store.
const LOST_ANSWERS: u32 = 0;
/// Kind of fault that delays writes beyond the error that their sender gets.
const LATE_WRITES: u32 = 1;
/// Kind of fault that delays all writes of an instance.
const PAUSED_WRITER: u32 = 2;
/// Kind of fault that cuts an instance off from the store.
const CUT_OFF: u32 = 3;
/// Kind of fault that makes the store refuse every call.
const OUTAGE: u32 = 4;
/// Kind of fault that isolates a data centre. The remaining kind kills an instance.
const PARTITION: u32 = 5;
/// The instances are numbered from the number after this one, so that their ids differ from those
/// of the instances that the demo started.
const NUMBER_BASE: usize = 100;
/// Interval at which readiness is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Safeguard that is disabled to test that the experiment detects its absence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disabled {
    /// No safeguard.
    Nothing,
    /// Claims: each call is treated as the first with its key.
    Claims,
    /// A check of the ledger. Every instance then also acts as the owner of every shard.
    Check(Mutation),
}

struct Node {
    instance: Option<Instance>,
    proxy: Arc<Proxy>,
    data_centre: &'static str,
}

/// Entry instances on the stand-ins of the demo.
pub struct Cluster {
    /// Stand-ins of the platform and the servers.
    pub deployment: Deployment,
    nodes: Mutex<Vec<Node>>,
    disabled: Disabled,
    last_number: Mutex<usize>,
    killed: Mutex<Vec<SocketAddr>>,
    network: Faults,
}

/// Number of injected faults by kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Writes of one instance took effect, but their answers were lost.
    pub lost_answers: u64,
    /// Writes of one instance reached the store after it was told that their answers were lost.
    pub late_writes: u64,
    /// All writes of one instance were delayed.
    pub paused_writers: u64,
    /// One instance could not reach the store.
    pub cut_off: u64,
    /// The store refused the calls of all instances.
    pub outages: u64,
    /// One instance was killed and replaced.
    pub kills: u64,
    /// One data centre was isolated from the others and from the store.
    pub partitions: u64,
}

impl Cluster {
    /// Starts nine instances on the demo's stand-ins.
    pub async fn start(disabled: Disabled, seed: u64) -> Result<Self, Failure> {
        let mut deployment = Deployment::start().await.map_err(|error| Failure::new(&error))?;
        deployment.instances.clear();
        let cluster = Self {
            deployment,
            nodes: Mutex::default(),
            disabled,
            last_number: Mutex::new(NUMBER_BASE),
            killed: Mutex::default(),
            network: Faults::new(seed),
        };
        for data_centre in DATA_CENTRES {
            for _ in 0..INSTANCES_PER_DATA_CENTRE {
                let node = cluster.start_node(data_centre)?;
                cluster.nodes.lock().push(node);
            }
        }
        cluster.publish();
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    /// Returns the addresses for callers of the running instances.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let nodes = self.nodes.lock();
        nodes
            .iter()
            .filter_map(|node| node.instance.as_ref())
            .map(Instance::caller_address)
            .collect()
    }

    /// Returns the addresses for callers of the instances that were killed.
    pub fn killed(&self) -> Vec<SocketAddr> {
        self.killed.lock().clone()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        let nodes = self.nodes.lock();
        let running = nodes.iter().find_map(|node| node.instance.as_ref());
        running.map(|instance| instance.components().snapshot.load().config.clone())
    }

    /// Returns the ledger of a running instance.
    pub fn ledger(&self) -> Option<Arc<dyn Ledger>> {
        let nodes = self.nodes.lock();
        let running = nodes.iter().find_map(|node| node.instance.as_ref());
        running.map(|instance| instance.components().ledger.clone())
    }

    /// Ends all faults.
    pub fn clear_faults(&self) {
        self.deployment.store.faults().set_down(false);
        self.network.heal();
        self.nodes.lock().iter().for_each(|node| node.proxy.clear_faults());
    }

    /// Injects one random fault, clears it after a random time, and pauses for half that time.
    pub async fn inject_fault(&self, rng: &mut StdRng, counts: &mut Counts) {
        let at = rng.random_range(0..DATA_CENTRES.len() * INSTANCES_PER_DATA_CENTRE);
        let proxy = self.nodes.lock()[at].proxy.clone();
        let duration = Duration::from_millis(rng.random_range(100..600));
        // A missing read-back has an effect only if answers are lost, so no other fault is
        // injected.
        let kind = if self.disabled == Disabled::Check(Mutation::NoReadBack) {
            proxy.faults.lost_answers.store(u64::MAX, Ordering::SeqCst);
            LOST_ANSWERS
        } else {
            rng.random_range(0..FAULT_KINDS)
        };
        match kind {
            LOST_ANSWERS => {
                counts.lost_answers += 1;
                let count = rng.random_range(1..4);
                proxy.faults.lost_answers.fetch_max(count, Ordering::SeqCst);
            }
            LATE_WRITES => {
                counts.late_writes += 1;
                proxy.faults.late_writes.store(rng.random_range(1..3), Ordering::SeqCst);
            }
            PAUSED_WRITER => {
                counts.paused_writers += 1;
                proxy.faults.write_delay_ms.store(rng.random_range(300..1_500), Ordering::SeqCst);
            }
            CUT_OFF => {
                counts.cut_off += 1;
                proxy.faults.unreachable.store(true, Ordering::SeqCst);
            }
            OUTAGE => {
                counts.outages += 1;
                self.deployment.store.faults().set_down(true);
            }
            PARTITION => {
                counts.partitions += 1;
                self.isolate(DATA_CENTRES[at % DATA_CENTRES.len()]);
            }
            _ => {
                counts.kills += 1;
                self.replace(at);
            }
        }
        tokio::time::sleep(duration).await;
        self.clear_faults();
        tokio::time::sleep(duration / 2).await;
    }

    /// Isolates a data centre from the others and from the store.
    fn isolate(&self, data_centre: &str) {
        let nodes = self.nodes.lock();
        let inside = || nodes.iter().filter(|node| node.data_centre == data_centre);
        inside().for_each(|node| node.proxy.faults.unreachable.store(true, Ordering::SeqCst));
        let instances = inside().filter_map(|node| node.instance.as_ref());
        self.network.isolate(instances.map(Instance::fleet_address).collect());
    }

    /// Publishes the running instances and the servers in the platform's list, through which the
    /// instances find each other.
    fn publish(&self) {
        let nodes = self.nodes.lock();
        let instances = nodes.iter().filter_map(|node| node.instance.as_ref());
        let entries = instances.map(|instance| Listed {
            id: instance.components().settings.instance.clone(),
            kind: Kind::Entry,
            address: instance.fleet_address(),
            data_centre: instance.components().settings.data_centre.clone(),
            state: State::Live,
        });
        let servers = self.deployment.engines.iter().map(|named| Listed {
            id: named.id.clone(),
            kind: Kind::Server,
            address: named.engine.address(),
            data_centre: named.data_centre.clone(),
            state: State::Live,
        });
        self.deployment.list.set(entries.chain(servers).collect());
    }

    /// Kills an instance and starts another in its place.
    fn replace(&self, at: usize) {
        let (old, data_centre) = {
            let mut nodes = self.nodes.lock();
            (nodes[at].instance.take(), nodes[at].data_centre)
        };
        if let Some(instance) = old {
            self.killed.lock().push(instance.caller_address());
            instance.kill();
        }
        match self.start_node(data_centre) {
            Ok(node) => {
                self.nodes.lock()[at] = node;
                self.publish();
            }
            Err(error) => {
                log::warn!("cannot start a replacement for the killed instance; cause={error}");
            }
        }
    }

    fn start_node(&self, data_centre: &'static str) -> Result<Node, Failure> {
        let number = {
            let mut last_number = self.last_number.lock();
            *last_number += 1;
            *last_number
        };
        let settings = self.deployment.settings(data_centre, number);
        let proxy = Proxy::new(Arc::new(Etcd::new(settings.store.clone())));
        let store: Arc<dyn Store> = proxy.clone();
        let builder = Builder::new(settings.clone()).store(store.clone());
        let builder = match self.disabled {
            Disabled::Nothing => builder,
            Disabled::Claims => {
                builder.ledger(Arc::new(AlwaysFirst(sole_owner(&settings.instance, &store, None))))
            }
            Disabled::Check(check) => {
                builder.ledger(Arc::new(sole_owner(&settings.instance, &store, Some(check))))
            }
        };
        let components = builder.build();
        let net = Net::bind(settings.fleet).map_err(|error| Failure::new(&error))?;
        components.mesh.attach(Arc::new(Injector::new(Arc::new(net), self.network.clone())));
        let instance = Instance::start_with(components).map_err(|error| Failure::new(&error))?;
        Ok(Node { instance: Some(instance), proxy, data_centre })
    }

    async fn wait_ready(&self) -> Result<(), Failure> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.is_ready() {
            if Instant::now() > deadline {
                return Err(Failure::text("the instances are not ready in time"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let servers = self.deployment.engines.len() + 1;
        self.nodes.lock().iter().filter_map(|node| node.instance.as_ref()).all(|instance| {
            let backends = &instance.components().snapshot.load().backends;
            let up = backends.iter().filter(|backend| backend.health == Health::Up).count();
            let members = instance.components().fleet.members();
            let alive = |member: &&Member| member.liveness == Liveness::Alive;
            up == servers
                && members.iter().filter(alive).count()
                    >= DATA_CENTRES.len() * INSTANCES_PER_DATA_CENTRE
        })
    }
}

/// Returns a ledger that acts as the owner of every shard, since its fleet has no other member.
fn sole_owner(id: &Arc<str>, store: &Arc<dyn Store>, mutation: Option<Mutation>) -> Sharded {
    let member = Member {
        id: id.clone(),
        incarnation: 1,
        data_centre: "".into(),
        address: hawthornmount_demo::deployment::any_port(),
        liveness: Liveness::Alive,
        revision: 0,
    };
    let fleet: Arc<dyn Fleet> = Arc::new(Local::new(member));
    let clock: Arc<dyn Clock> = Arc::new(clock::System);
    Sharded::new(store, &fleet, &clock, Options { mutation, ..Options::default() })
}

/// Ledger that grants every claim as the first with its key.
struct AlwaysFirst(Sharded);

#[async_trait]
impl Ledger for AlwaysFirst {
    async fn claim(&self, claim: Claim) -> Result<Claimed, Error> {
        Ok(Claimed::First(Ticket { claim }))
    }

    async fn settle(&self, _ticket: &Ticket, _outcome: Outcome) -> Result<(), Error> {
        Ok(())
    }

    async fn record(&self, usage: Usage) -> Result<(), Error> {
        self.0.record(usage).await
    }

    async fn pin(&self, pin: Pin) -> Result<Pin, Error> {
        self.0.pin(pin).await
    }

    async fn pinned(&self, account: &AccountId, session: &SessionId) -> Result<Option<Pin>, Error> {
        self.0.pinned(account, session).await
    }

    async fn total(&self, account: &AccountId) -> Result<Total, Error> {
        self.0.total(account).await
    }

    async fn flush(&self) -> Result<(), Error> {
        self.0.flush().await
    }
}
