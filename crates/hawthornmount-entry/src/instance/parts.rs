//! The parts that an instance is put together from.

use {
    crate::{
        rater::{Absent, Rater, Remote},
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
    hawthornmount_http::client::Client,
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

/// The parts of one instance, shared by its threads.
pub struct Parts {
    /// Settings of the instance.
    pub settings: Settings,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Metrics.
    pub metrics: Metrics,
    /// Control state as traffic threads read it.
    pub cell: Cell,
    /// Client of backend servers.
    pub client: Client,
    /// The platform's key-value service.
    pub store: Arc<dyn Store>,
    /// Claims, usage records and sessions.
    pub ledger: Arc<dyn Ledger>,
    /// Sessions and the versions that they keep.
    pub sessions: Arc<Sessions>,
    /// The other instances.
    pub fleet: Arc<dyn Fleet>,
    /// The other instances over UDP and TCP, which the control thread runs.
    pub mesh: Arc<Mesh>,
    /// Routing decisions.
    pub router: Arc<dyn Router>,
    /// Demand of accounts here and at the other instances.
    pub demand: Mutex<Demand>,
    /// Judge of versions.
    pub judge: Arc<dyn Evaluator>,
    /// Way of samples from the traffic threads to the monitor.
    pub inbox: Arc<Inbox>,
    /// Evidence on versions, suspensions and the progress of roll-outs.
    pub monitor: Arc<Monitor>,
    /// What this instance knows of the holder that drives the roll-outs.
    pub role: Arc<Mutex<Status>>,
    /// The service that rates answers.
    pub rater: Arc<dyn Rater>,
    /// Last requests with their decisions.
    pub journal: Journal,
    /// Requests in flight.
    pub in_flight: Arc<AtomicUsize>,
    /// Whether the instance is stopping.
    pub stopping: AtomicBool,
}

/// Puts the parts of an instance together; a part that is not set is the product's own.
pub struct Builder {
    settings: Settings,
    store: Option<Arc<dyn Store>>,
    ledger: Option<Arc<dyn Ledger>>,
    fleet: Option<Arc<dyn Fleet>>,
    router: Option<Arc<dyn Router>>,
    judge: Option<Arc<dyn Evaluator>>,
}

impl Builder {
    /// Creates a builder for an instance with `settings`.
    pub const fn new(settings: Settings) -> Self {
        Self { settings, store: None, ledger: None, fleet: None, router: None, judge: None }
    }

    /// Sets another store.
    #[must_use]
    pub fn store(mut self, store: Arc<dyn Store>) -> Self {
        self.store = Some(store);
        self
    }

    /// Sets another ledger.
    #[must_use]
    pub fn ledger(mut self, ledger: Arc<dyn Ledger>) -> Self {
        self.ledger = Some(ledger);
        self
    }

    /// Sets another fleet.
    #[must_use]
    pub fn fleet(mut self, fleet: Arc<dyn Fleet>) -> Self {
        self.fleet = Some(fleet);
        self
    }

    /// Sets another router.
    #[must_use]
    pub fn router(mut self, router: Arc<dyn Router>) -> Self {
        self.router = Some(router);
        self
    }

    /// Sets another judge.
    #[must_use]
    pub fn judge(mut self, judge: Arc<dyn Evaluator>) -> Self {
        self.judge = Some(judge);
        self
    }

    /// Returns the parts.
    pub fn build(self) -> Parts {
        let settings = self.settings;
        let store = self.store.unwrap_or_else(|| Arc::new(Etcd::new(settings.store.clone())));
        let clock: Arc<dyn Clock> = Arc::new(clock::System);
        let metrics = Metrics::new();
        let local = record(&settings);
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
            None => Arc::new(Absent),
        };
        Parts {
            clock,
            metrics,
            cell: Cell::new(),
            client: Client::new(),
            fleet,
            mesh,
            sessions: Arc::new(sessions),
            router: self.router.unwrap_or_else(|| Arc::new(Adaptive::new())),
            demand: Mutex::default(),
            judge: self.judge.unwrap_or_else(|| inbox.clone()),
            inbox,
            monitor,
            role: Arc::default(),
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

fn record(settings: &Settings) -> Record {
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
