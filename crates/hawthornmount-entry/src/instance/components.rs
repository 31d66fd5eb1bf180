//! Components that make up an instance, and their builder.

use {
    crate::{
        rater::{Disabled, Rater, Remote},
        session::Sessions,
        trace::Journal,
    },
    hawthornmount_core::{
        clock::{self, Clock},
        metrics::Metrics,
        settings::Settings,
        snapshot::Cell,
    },
    hawthornmount_fleet::{
        Fleet,
        mesh::{self, Mesh},
        revision::Tracker,
        seed::{Platform, Source},
        wire::{Record, Standing},
    },
    hawthornmount_http::{
        capacity::{Capacity, Group, machine::Machine},
        client::Client,
    },
    hawthornmount_ledger::{Ledger, Sharded, log::Options},
    hawthornmount_policy::{Router, adaptive::Adaptive, admission::Demand},
    hawthornmount_rollout::{Evaluator, driver::Status, inbox::Inbox, monitor::Monitor},
    hawthornmount_store::{Store, etcd::Etcd},
    parking_lot::Mutex,
    rand::RngExt,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize},
        },
        time::SystemTime,
    },
};

/// Percentage of the descriptors for connections from callers. Each of their requests takes another
/// one for its server.
const CALLERS_PERCENT: usize = 30;
/// Percentage for connections from operators.
const OPERATORS_PERCENT: usize = 5;

/// Components of one instance that its threads share: settings, clients, state and counters.
pub struct Components {
    /// Settings of the instance.
    pub settings: Settings,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Metrics,
    /// Current snapshot of the control state, which the traffic threads read.
    pub snapshot: Cell,
    /// HTTP client for backend servers.
    pub client: Client,
    /// The platform's key-value service.
    pub store: Arc<dyn Store>,
    /// Ledger of claims, usage records and pins of sessions.
    pub ledger: Arc<dyn Ledger>,
    /// Sessions and the versions to which they are pinned.
    pub sessions: Arc<Sessions>,
    /// Communication with the other instances.
    pub fleet: Arc<dyn Fleet>,
    /// Implementation of the fleet over UDP and TCP, which runs on the control thread.
    pub mesh: Arc<Mesh>,
    /// Routing decisions.
    pub router: Arc<dyn Router>,
    /// Request rates of accounts at this and the other instances.
    pub demand: Mutex<Demand>,
    /// Evaluator of versions.
    pub evaluator: Arc<dyn Evaluator>,
    /// Queue of samples from the traffic threads to the monitor.
    pub inbox: Arc<Inbox>,
    /// Evidence on versions, suspensions and the progress of roll-outs.
    pub monitor: Arc<Monitor>,
    /// Status of the roll-out driver: lease holder, fencing number and last error.
    pub driver_status: Arc<Mutex<Status>>,
    /// The service that rates answers.
    pub rater: Arc<dyn Rater>,
    /// Traces of the latest requests.
    pub journal: Journal,
    /// Requests in flight.
    pub in_flight: Arc<AtomicUsize>,
    /// Whether the instance is stopping.
    pub stopping: AtomicBool,
    /// Memory for what clients send.
    pub capacity: Capacity,
    /// Connections from callers.
    pub callers: Group,
    /// Connections from operators.
    pub operators: Group,
}

/// Builder of the components of an instance. A component that is not set gets its default
/// implementation.
pub struct Builder {
    settings: Settings,
    store: Option<Arc<dyn Store>>,
    ledger: Option<Arc<dyn Ledger>>,
    fleet: Option<Arc<dyn Fleet>>,
    router: Option<Arc<dyn Router>>,
    evaluator: Option<Arc<dyn Evaluator>>,
}

impl Builder {
    /// Creates a builder for an instance with `settings`.
    pub const fn new(settings: Settings) -> Self {
        Self { settings, store: None, ledger: None, fleet: None, router: None, evaluator: None }
    }

    /// Sets the store.
    #[must_use]
    pub fn store(mut self, store: Arc<dyn Store>) -> Self {
        self.store = Some(store);
        self
    }

    /// Sets the ledger.
    #[must_use]
    pub fn ledger(mut self, ledger: Arc<dyn Ledger>) -> Self {
        self.ledger = Some(ledger);
        self
    }

    /// Sets the fleet.
    #[must_use]
    pub fn fleet(mut self, fleet: Arc<dyn Fleet>) -> Self {
        self.fleet = Some(fleet);
        self
    }

    /// Sets the router.
    #[must_use]
    pub fn router(mut self, router: Arc<dyn Router>) -> Self {
        self.router = Some(router);
        self
    }

    /// Sets the evaluator.
    #[must_use]
    pub fn evaluator(mut self, evaluator: Arc<dyn Evaluator>) -> Self {
        self.evaluator = Some(evaluator);
        self
    }

    /// Builds the components.
    pub fn build(self) -> Components {
        let settings = self.settings;
        let store = self.store.unwrap_or_else(|| Arc::new(Etcd::new(settings.store.clone())));
        let clock: Arc<dyn Clock> = Arc::new(clock::System);
        let metrics = Metrics::new();
        let local = local_record(&settings);
        let monitor = Arc::new(Monitor::new(local.id.clone(), local.incarnation, clock.clone()));
        let inbox = Arc::new(Inbox::new(monitor.clone(), metrics.clone()));
        let mesh = Arc::new(mesh(&settings, local, metrics.clone()));
        let fleet = self.fleet.unwrap_or_else(|| mesh.clone());
        let ledger = self
            .ledger
            .unwrap_or_else(|| Arc::new(Sharded::new(&store, &fleet, &clock, Options::default())));
        let sessions = Sessions::new(&settings, ledger.clone(), fleet.clone());
        let rater: Arc<dyn Rater> = match settings.rating {
            Some(address) => Arc::new(Remote::new(address)),
            None => Arc::new(Disabled),
        };
        let machine = Machine::new(settings.memory_mb, settings.file_descriptors);
        let capacity = machine.capacity();
        Components {
            callers: capacity.group(machine.connections(CALLERS_PERCENT)),
            operators: capacity.group(machine.connections(OPERATORS_PERCENT)),
            capacity,
            clock,
            metrics,
            snapshot: Cell::new(),
            client: Client::new(),
            fleet,
            mesh,
            sessions: Arc::new(sessions),
            router: self.router.unwrap_or_else(|| Arc::new(Adaptive::new())),
            demand: Mutex::default(),
            evaluator: self.evaluator.unwrap_or_else(|| inbox.clone()),
            inbox,
            monitor,
            driver_status: Arc::default(),
            rater,
            journal: Journal::default(),
            in_flight: Arc::default(),
            stopping: AtomicBool::new(false),
            settings,
            store,
            ledger,
        }
    }
}

fn mesh(settings: &Settings, local: Record, metrics: Metrics) -> Mesh {
    let source = |address| -> Arc<dyn Source> { Arc::new(Platform::new(address)) };
    Mesh::new(mesh::Options {
        local,
        secret: settings.fleet_key.clone(),
        other_secrets: settings.old_fleet_keys.clone(),
        seeds: settings.instance_list.map(source),
        tracker: Arc::new(Tracker::new()),
        metrics,
        seed: rand::rng().random(),
    })
}

/// Returns the membership record of this instance. The time of the start in microseconds is its
/// incarnation.
fn local_record(settings: &Settings) -> Record {
    let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    Record {
        id: settings.instance.clone(),
        incarnation: u64::try_from(started.as_micros()).unwrap_or(u64::MAX),
        refutation: 0,
        standing: Standing::Alive,
        data_centre: settings.data_centre.clone(),
        address: settings.fleet,
    }
}
