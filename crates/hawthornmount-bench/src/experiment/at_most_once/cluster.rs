//! Entry instances with ways of their own to the store, and the faults that befall them.

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
    hawthornmount_demo::world::World,
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
        Claim, Claimed, Error, Ledger, Outcome, Pin, Product, Ticket, Total, Usage,
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

/// Data centres, each with three instances.
const DATA_CENTRES: [&str; 3] = ["attica-a", "crete-a", "macedonia-a"];
/// Instances of a data centre.
const EACH: usize = 3;
/// Time in which the instances have to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Kinds of faults.
const KINDS: u32 = 7;
/// The kind of fault that loses the store's answers.
const LOST_ANSWERS: u32 = 0;
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(50);

/// What is switched off to see whether the proof notices.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Disabled {
    /// Nothing.
    Nothing,
    /// Claims: each call counts as the first.
    Claim,
    /// A check of the ledger, with every instance an owner of its own.
    Check(Mutation),
}

struct Seat {
    instance: Option<Instance>,
    gate: Arc<Proxy>,
    data_centre: &'static str,
}

/// The instances.
pub struct Cluster {
    /// Stand-ins.
    pub world: World,
    seats: Mutex<Vec<Seat>>,
    off: Disabled,
    started: Mutex<usize>,
    killed: Mutex<Vec<SocketAddr>>,
    network: Faults,
}

/// Counts of faults by kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub lost: u64,
    pub late: u64,
    pub paused: u64,
    pub cut: u64,
    pub outages: u64,
    pub kills: u64,
    pub partitions: u64,
}

impl Cluster {
    /// Starts nine instances on the demo's stand-ins.
    pub async fn start(off: Disabled, seed: u64) -> Result<Self, Failure> {
        let mut world = World::start().await.map_err(|error| Failure::new(&error))?;
        world.instances.clear();
        let site = Self {
            world,
            seats: Mutex::default(),
            off,
            started: Mutex::new(100),
            killed: Mutex::default(),
            network: Faults::new(seed),
        };
        for data_centre in DATA_CENTRES {
            for _ in 0..EACH {
                let seat = site.open(data_centre)?;
                site.seats.lock().push(seat);
            }
        }
        site.publish();
        site.wait_ready().await?;
        Ok(site)
    }

    /// Returns the addresses of the live instances.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let seats = self.seats.lock();
        seats.iter().filter_map(|seat| seat.instance.as_ref()).map(Instance::callers).collect()
    }

    /// Returns the addresses of the instances that were killed.
    pub fn killed(&self) -> Vec<SocketAddr> {
        self.killed.lock().clone()
    }

    /// Returns the configuration in force.
    pub fn world_config(&self) -> Option<Arc<Config>> {
        let seats = self.seats.lock();
        let live = seats.iter().find_map(|seat| seat.instance.as_ref());
        live.map(|instance| instance.parts().cell.load().config.clone())
    }

    /// Returns the ledger of a live instance.
    pub fn ledger(&self) -> Option<Arc<dyn Ledger>> {
        let seats = self.seats.lock();
        let live = seats.iter().find_map(|seat| seat.instance.as_ref());
        live.map(|instance| instance.parts().ledger.clone())
    }

    /// Ends all faults.
    pub fn heal(&self) {
        self.world.store.faults().set_down(false);
        self.network.heal();
        self.seats.lock().iter().for_each(|seat| seat.gate.heal());
    }

    /// Injects one fault for a while.
    pub async fn fault(&self, rng: &mut StdRng, counts: &mut Counts) {
        let at = rng.random_range(0..DATA_CENTRES.len() * EACH);
        let gate = self.seats.lock()[at].gate.clone();
        let lasts = Duration::from_millis(rng.random_range(100..600));
        let kind = if self.off == Disabled::Check(Mutation::NoReadBack) {
            gate.faults.lose.store(u64::MAX, Ordering::SeqCst);
            LOST_ANSWERS
        } else {
            rng.random_range(0..KINDS)
        };
        match kind {
            LOST_ANSWERS => {
                counts.lost += 1;
                let count = rng.random_range(1..4);
                gate.faults.lose.fetch_max(count, Ordering::SeqCst);
            }
            1 => {
                counts.late += 1;
                gate.faults.late.store(rng.random_range(1..3), Ordering::SeqCst);
            }
            2 => {
                counts.paused += 1;
                gate.faults.pause_ms.store(rng.random_range(300..1_500), Ordering::SeqCst);
            }
            3 => {
                counts.cut += 1;
                gate.faults.cut.store(true, Ordering::SeqCst);
            }
            4 => {
                counts.outages += 1;
                self.world.store.faults().set_down(true);
            }
            5 => {
                counts.partitions += 1;
                self.cut_off(DATA_CENTRES[at % DATA_CENTRES.len()]);
            }
            _ => {
                counts.kills += 1;
                self.replace(at);
            }
        }
        tokio::time::sleep(lasts).await;
        self.heal();
        tokio::time::sleep(lasts / 2).await;
    }

    /// Cuts a data centre off from the others and from the store.
    fn cut_off(&self, data_centre: &str) {
        let seats = self.seats.lock();
        let inside = || seats.iter().filter(|seat| seat.data_centre == data_centre);
        inside().for_each(|seat| seat.gate.faults.cut.store(true, Ordering::SeqCst));
        let instances = inside().filter_map(|seat| seat.instance.as_ref());
        self.network.isolate(instances.map(Instance::frames).collect());
    }

    /// Tells the platform's list of the instances, so that they find each other.
    fn publish(&self) {
        let seats = self.seats.lock();
        let instances = seats.iter().filter_map(|seat| seat.instance.as_ref());
        let entries = instances.map(|instance| Listed {
            id: instance.parts().settings.instance.clone(),
            kind: Kind::Entry,
            address: instance.frames(),
            data_centre: instance.parts().settings.data_centre.clone(),
            state: State::Live,
        });
        let servers = self.world.engines.iter().map(|named| Listed {
            id: named.id.clone(),
            kind: Kind::Server,
            address: named.engine.address(),
            data_centre: named.data_centre.clone(),
            state: State::Live,
        });
        self.world.list.set(entries.chain(servers).collect());
    }

    /// Kills an instance and starts another in its place.
    fn replace(&self, at: usize) {
        let (old, data_centre) = {
            let mut seats = self.seats.lock();
            (seats[at].instance.take(), seats[at].data_centre)
        };
        if let Some(instance) = old {
            self.killed.lock().push(instance.callers());
            instance.kill();
        }
        match self.open(data_centre) {
            Ok(seat) => {
                self.seats.lock()[at] = seat;
                self.publish();
            }
            Err(error) => log::warn!("no instance in place of the killed one; cause={error}"),
        }
    }

    fn open(&self, data_centre: &'static str) -> Result<Seat, Failure> {
        let number = {
            let mut started = self.started.lock();
            *started += 1;
            *started
        };
        let settings = self.world.settings(data_centre, number);
        let gate = Proxy::new(Arc::new(Etcd::new(settings.store.clone())));
        let store: Arc<dyn Store> = gate.clone();
        let builder = Builder::new(settings.clone()).store(store.clone());
        let builder = match self.off {
            Disabled::Nothing => builder,
            Disabled::Claim => {
                builder.ledger(Arc::new(Unclaimed(alone(&settings.instance, &store, None))))
            }
            Disabled::Check(check) => {
                builder.ledger(Arc::new(alone(&settings.instance, &store, Some(check))))
            }
        };
        let parts = builder.build();
        let net = Net::bind(settings.fleet).map_err(|error| Failure::new(&error))?;
        parts.mesh.attach(Arc::new(Injector::new(Arc::new(net), self.network.clone())));
        let instance = Instance::start_with(parts).map_err(|error| Failure::new(&error))?;
        Ok(Seat { instance: Some(instance), gate, data_centre })
    }

    async fn wait_ready(&self) -> Result<(), Failure> {
        let bound = Instant::now() + READY_TIMEOUT;
        while !self.is_ready() {
            if Instant::now() > bound {
                return Err(Failure::text("the instances are not ready in time"));
            }
            tokio::time::sleep(PAUSE).await;
        }
        Ok(())
    }

    fn is_ready(&self) -> bool {
        let servers = self.world.engines.len() + 1;
        self.seats.lock().iter().filter_map(|seat| seat.instance.as_ref()).all(|instance| {
            let backends = &instance.parts().cell.load().backends;
            let up = backends.iter().filter(|backend| backend.health == Health::Up).count();
            let members = instance.parts().fleet.members();
            let alive = |member: &&Member| member.liveness == Liveness::Alive;
            up == servers && members.iter().filter(alive).count() >= DATA_CENTRES.len() * EACH
        })
    }
}

/// Returns a ledger that thinks it owns every shard.
fn alone(id: &Arc<str>, store: &Arc<dyn Store>, mutation: Option<Mutation>) -> Product {
    let member = Member {
        id: id.clone(),
        incarnation: 1,
        data_centre: "".into(),
        address: hawthornmount_demo::world::any_port(),
        liveness: Liveness::Alive,
        revision: 0,
    };
    let fleet: Arc<dyn Fleet> = Arc::new(Local::new(member));
    let clock: Arc<dyn Clock> = Arc::new(clock::System);
    Product::new(store, &fleet, &clock, Options { mutation, ..Options::default() })
}

/// Ledger whose every claim is the first.
struct Unclaimed(Product);

#[async_trait]
impl Ledger for Unclaimed {
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
