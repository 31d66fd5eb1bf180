//! Stand-in for a model engine: the OpenAI-compatible API, versions with a speed and a quality of
//! their own, a limited number of slots, a load page, and orders to load and unload versions.

mod batch;
mod completion;
mod faults;
mod lag;
mod order;
mod quality;

pub use {
    batch::{CacheStats, Limits},
    completion::{Usage, quality_mark},
    faults::Faults,
    order::{Order, OrderResponse},
    quality::{quality_sample, task_mark},
};

use {
    crate::http::{empty, header, json},
    async_trait::async_trait,
    batch::Batch,
    completion::Completion,
    faults::Injector,
    hawthornmount_core::table::Table,
    hawthornmount_http::{
        Request, Response, StatusCode,
        client::Client,
        server::{self, Handler, ListenError, Server},
    },
    lag::Lag,
    parking_lot::Mutex,
    quality::Quality,
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::sync::Semaphore,
};

/// How a version behaves.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Chance that an answer is good, from 0 to 1.
    pub quality: f64,
    /// Chance that a request fails with status 500.
    pub error_rate: f64,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub per_token: Duration,
}

/// A loaded version.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Loaded {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: Arc<str>,
}

/// What an engine reports of itself.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    /// Requests that run or wait.
    pub load: u32,
    /// Age of the load.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default, rename = "age_ms")]
    pub age: Duration,
    /// Requests that can run at a time.
    pub slots: u32,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Loaded versions in order.
    pub loaded: Vec<Loaded>,
}

/// A run that the engine really did.
#[derive(Clone, Debug)]
pub struct Run {
    /// Request id that came with it.
    pub request: Arc<str>,
    /// When it came.
    pub at: Instant,
    /// First characters of the prompt.
    pub prompt: Arc<str>,
    /// Version that ran.
    pub loaded: Loaded,
    /// Quality of the answer, from 0 to 1.
    pub quality: f64,
}

/// Stand-in for a model engine.
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
}

pub(crate) struct Shared {
    slots: Arc<Semaphore>,
    slot_count: u32,
    load: AtomicU32,
    behaviours: Mutex<Table<Behaviour>>,
    loaded: Mutex<Vec<Loaded>>,
    runs: Mutex<Vec<Run>>,
    cancelled: AtomicU64,
    leaving: AtomicU32,
    checks_fencing: bool,
    fence: AtomicU64,
    cut_after: AtomicU32,
    injector: Injector,
    batch: Batch,
    quality: Quality,
    lag: Lag,
    room: AtomicU32,
    orders: AtomicU64,
    weights: Mutex<Option<SocketAddr>>,
    client: Client,
}

impl Engine {
    /// Starts an engine with its first loaded versions.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub async fn start(
        address: SocketAddr,
        slots: u32,
        checks_fencing: bool,
        loaded: Vec<Loaded>,
    ) -> Result<Self, ListenError> {
        let shared = Arc::new(Shared {
            slots: Arc::new(Semaphore::new(slots as usize)),
            slot_count: slots,
            load: AtomicU32::new(0),
            behaviours: Mutex::new(Table::new()),
            loaded: Mutex::new(loaded),
            runs: Mutex::new(Vec::new()),
            cancelled: AtomicU64::new(0),
            leaving: AtomicU32::new(0),
            checks_fencing,
            fence: AtomicU64::new(0),
            cut_after: AtomicU32::new(0),
            injector: Injector::default(),
            batch: Batch::new(),
            quality: Quality::default(),
            lag: Lag::default(),
            room: AtomicU32::new(u32::MAX),
            orders: AtomicU64::new(0),
            weights: Mutex::new(None),
            client: Client::new(),
        });
        let server = Server::start(address, Arc::new(Api(shared.clone()))).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address of the engine.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets how `version` of `model` behaves.
    pub fn set_behaviour(&self, model: &str, version: &str, behaviour: Behaviour) {
        self.shared.behaviours.lock().insert(behaviour_key(model, version), behaviour);
    }

    /// Sets how the engine batches and what it can hold.
    pub fn set_limits(&self, limits: Limits) {
        self.shared.batch.set(limits);
    }

    /// Returns how the engine batches and what it can hold.
    pub fn limits(&self) -> Limits {
        self.shared.batch.limits()
    }

    /// Returns the use of the prefix cache so far.
    pub fn cache_stats(&self) -> CacheStats {
        self.shared.batch.cache_stats()
    }

    /// Fixes the quality of every answer by a seed, the prompt and the version.
    pub fn set_quality_seed(&self, seed: u64) {
        self.shared.quality.set_seed(seed);
    }

    /// Sets the chance of a good answer for prompts that start with the mark of a kind of task.
    pub fn set_task_quality(&self, loaded: &Loaded, task: &str, chance: f64) {
        self.shared.quality.set_task(loaded, task, chance);
    }

    /// Sets the time between two load reports.
    pub fn set_report_period(&self, period: Duration) {
        self.shared.lag.set_period(period);
    }

    /// Returns the requests that run or wait.
    pub fn load(&self) -> u32 {
        self.shared.load.load(Ordering::SeqCst)
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().clone()
    }

    /// Returns the number of answers that callers gave up on.
    pub fn cancelled(&self) -> u64 {
        self.shared.cancelled.load(Ordering::SeqCst)
    }

    /// Returns the loaded versions.
    pub fn loaded(&self) -> Vec<Loaded> {
        self.shared.loaded.lock().clone()
    }

    /// Returns the number of orders that the engine took.
    pub fn orders(&self) -> u64 {
        self.shared.orders.load(Ordering::SeqCst)
    }

    /// Loads weights from the store at `address`.
    pub fn set_weight_store(&self, address: SocketAddr) {
        *self.shared.weights.lock() = Some(address);
    }

    /// Sets how many versions fit into the engine's memory.
    pub fn set_version_capacity(&self, versions: u32) {
        self.shared.room.store(versions, Ordering::SeqCst);
    }

    /// Starts again with nothing loaded and no fencing number seen.
    pub fn restart_empty(&self) {
        self.shared.loaded.lock().clear();
        self.shared.fence.store(0, Ordering::SeqCst);
    }

    /// Makes the engine say that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.leaving.store(u32::from(leaving), Ordering::SeqCst);
    }

    /// Sets the chances of faulty answers and the seed of their choice.
    pub fn set_faults(&self, faults: Faults, seed: u64) {
        self.shared.injector.set(faults, seed);
    }

    /// Cuts every streamed answer after `events` events; 0 cuts none.
    pub fn cut_after(&self, events: u32) {
        self.shared.cut_after.store(events, Ordering::SeqCst);
    }
}

fn behaviour_key(model: &str, version: &str) -> Arc<str> {
    format!("{model}@{version}").into()
}

impl Shared {
    fn is_loaded(&self, loaded: &Loaded) -> bool {
        self.loaded.lock().contains(loaded)
    }

    fn behaviour(&self, loaded: &Loaded) -> Behaviour {
        let key = behaviour_key(&loaded.model, &loaded.version);
        self.behaviours.lock().get(&key).cloned().unwrap_or(Behaviour {
            quality: 1.0,
            error_rate: 0.0,
            first_token: Duration::ZERO,
            per_token: Duration::ZERO,
        })
    }

    fn report(&self) -> Report {
        let mut report = Report {
            load: self.load.load(Ordering::SeqCst),
            age: Duration::ZERO,
            slots: self.slot_count,
            leaving: self.leaving.load(Ordering::SeqCst) > 0,
            loaded: self.loaded.lock().clone(),
        };
        self.lag.apply(&mut report);
        report
    }
}

struct Api(Arc<Shared>);

#[async_trait]
impl Handler for Api {
    async fn handle(&self, request: Request) -> Response {
        match request.uri().path() {
            "/v1/chat/completions" => self.complete(request).await,
            "/load" => server::json(StatusCode::OK, &self.0.report()),
            "/orders" => match json(request).await {
                Ok(order) => order::apply(&self.0, &order).await,
                Err(response) => response,
            },
            _ => empty(StatusCode::NOT_FOUND),
        }
    }
}

impl Api {
    async fn complete(&self, request: Request) -> Response {
        let id: Arc<str> = header(request.headers(), "x-request-id").unwrap_or_default().into();
        let version: Arc<str> =
            header(request.headers(), "x-model-version").unwrap_or_default().into();
        match json::<Completion>(request).await {
            Ok(completion) => completion::answer(self.0.clone(), id, version, completion).await,
            Err(response) => response,
        }
    }
}
