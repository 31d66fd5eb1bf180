//! Stand-in for a model engine: an OpenAI-compatible API, versions with configurable latency and
//! quality, a limited number of slots, load reports, and orders to load and unload versions.

mod batch;
mod completion;
mod faults;
mod lag;
mod order;
mod quality;

pub use {
    batch::{CacheStats, Limits},
    completion::{BYTES_PER_TOKEN, Usage, quality_mark},
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

/// Simulated behaviour of a version.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Probability that an answer is good, from 0 to 1.
    pub quality: f64,
    /// Probability that a request fails with status 500.
    pub error_rate: f64,
    /// Time to the first token, before the engine's prefill time and slowdown.
    pub first_token: Duration,
    /// Time between tokens, before the engine's slowdown and congestion.
    pub per_token: Duration,
}

/// A loaded version.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Loaded {
    /// Name of the model.
    pub model: Arc<str>,
    /// Name of the version.
    pub version: Arc<str>,
}

/// Load report of an engine.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Report {
    /// Number of requests that run or wait.
    pub load: u32,
    /// Time since the load was sampled.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default, rename = "age_ms")]
    pub age: Duration,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the engine is about to stop.
    pub leaving: bool,
    /// Loaded versions, sorted.
    pub loaded: Vec<Loaded>,
}

/// A request that the engine ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub request: Arc<str>,
    /// When the request arrived.
    pub at: Instant,
    /// Leading characters of the prompt.
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
    refused: AtomicU64,
    leaving: AtomicU32,
    checks_fencing: bool,
    highest_fence: AtomicU64,
    cut_after: AtomicU32,
    injector: Injector,
    batch: Batch,
    quality: Quality,
    lag: Lag,
    version_capacity: AtomicU32,
    accepted_orders: AtomicU64,
    weight_store: Mutex<Option<SocketAddr>>,
    client: Client,
}

impl Engine {
    /// Starts an engine with `loaded` versions.
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
            refused: AtomicU64::new(0),
            leaving: AtomicU32::new(0),
            checks_fencing,
            highest_fence: AtomicU64::new(0),
            cut_after: AtomicU32::new(0),
            injector: Injector::default(),
            batch: Batch::new(),
            quality: Quality::default(),
            lag: Lag::default(),
            version_capacity: AtomicU32::new(u32::MAX),
            accepted_orders: AtomicU64::new(0),
            weight_store: Mutex::new(None),
            client: Client::new(),
        });
        let server = Server::start(address, Arc::new(Api(shared.clone()))).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address of the engine.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the behaviour of `version` of `model`.
    pub fn set_behaviour(&self, model: &str, version: &str, behaviour: Behaviour) {
        self.shared.behaviours.lock().insert(behaviour_key(model, version), behaviour);
    }

    /// Sets the limits of the engine's batch, prefix cache and memory.
    pub fn set_limits(&self, limits: Limits) {
        self.shared.batch.set(limits);
    }

    /// Returns the limits of the engine's batch, prefix cache and memory.
    pub fn limits(&self) -> Limits {
        self.shared.batch.limits()
    }

    /// Returns the statistics of the prefix cache.
    pub fn cache_stats(&self) -> CacheStats {
        self.shared.batch.cache_stats()
    }

    /// Makes the quality of every answer a function of `seed`, the prompt and the version.
    pub fn set_quality_seed(&self, seed: u64) {
        self.shared.quality.set_seed(seed);
    }

    /// Sets the probability of a good answer to prompts that start with the [`task_mark`] of
    /// `task`.
    pub fn set_task_quality(&self, loaded: &Loaded, task: &str, probability: f64) {
        self.shared.quality.set_task(loaded, task, probability);
    }

    /// Sets the time between two samples of the reported load.
    pub fn set_report_period(&self, period: Duration) {
        self.shared.lag.set_period(period);
    }

    /// Returns the number of requests that run or wait.
    pub fn load(&self) -> u32 {
        self.shared.load.load(Ordering::SeqCst)
    }

    /// Returns the requests that ran so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().clone()
    }

    /// Returns the number of answers whose caller disconnected before the end.
    pub fn cancelled(&self) -> u64 {
        self.shared.cancelled.load(Ordering::SeqCst)
    }

    /// Returns the number of requests that were refused before they ran.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::SeqCst)
    }

    /// Returns the loaded versions.
    pub fn loaded(&self) -> Vec<Loaded> {
        self.shared.loaded.lock().clone()
    }

    /// Returns the number of accepted orders.
    pub fn accepted_orders(&self) -> u64 {
        self.shared.accepted_orders.load(Ordering::SeqCst)
    }

    /// Makes the engine fetch weights from the store at `address` before it loads a version.
    pub fn set_weight_store(&self, address: SocketAddr) {
        *self.shared.weight_store.lock() = Some(address);
    }

    /// Sets the maximum number of loaded versions.
    pub fn set_version_capacity(&self, versions: u32) {
        self.shared.version_capacity.store(versions, Ordering::SeqCst);
    }

    /// Simulates a restart: unloads every version and forgets the highest fencing number.
    pub fn restart_empty(&self) {
        self.shared.loaded.lock().clear();
        self.shared.highest_fence.store(0, Ordering::SeqCst);
    }

    /// Sets whether the engine reports that it is about to stop and refuses new requests.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.leaving.store(u32::from(leaving), Ordering::SeqCst);
    }

    /// Sets the fault probabilities and the seed with which faults are drawn.
    pub fn set_faults(&self, faults: Faults, seed: u64) {
        self.shared.injector.set(faults, seed);
    }

    /// Aborts every streamed answer after `events` events; 0 aborts none.
    pub fn set_cut_after(&self, events: u32) {
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
            Ok(completion) => completion::respond(self.0.clone(), id, version, completion).await,
            Err(response) => response,
        }
    }
}
