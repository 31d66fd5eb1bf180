//! Engine with the paths to it that are compared, each with its own threads.

use {
    super::passthrough,
    crate::experiment::Failure,
    hawthornmount_core::{config::key_hash, id, merge, settings::Settings},
    hawthornmount_demo::deployment::{any_port, loopback_settings},
    hawthornmount_entry::{Instance, admin},
    hawthornmount_fleet::config,
    hawthornmount_standin::{
        engine::{Behaviour, Engine, Loaded},
        rating::Rating,
        store::Store,
    },
    hawthornmount_store::etcd::Etcd,
    serde_json::{Map, Value, json},
    std::{net::SocketAddr, time::Duration},
    tokio::runtime::{Builder, Runtime},
};

/// Number of traffic threads of the router, and of threads of the pass-through.
pub const TRAFFIC_THREADS: usize = 2;
/// Number of threads of the stand-ins.
const PLATFORM_THREADS: usize = 3;
/// Number of accounts in the configuration.
const ACCOUNTS: usize = 10;
/// Number of requests that the engine runs concurrently.
const SLOTS: u32 = 100_000;
/// Delay of the stand-in store.
const STORE_DELAY: Duration = Duration::from_millis(2);
/// Interval at which readiness of the instance is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Model that callers request.
pub const MODEL: &str = "draft";
/// Version that callers request.
pub const VERSION: &str = "v1";

/// Running engine, pass-through and entry instance with the stand-ins they need.
pub struct Setup {
    /// Address of the engine.
    pub direct: SocketAddr,
    /// Address of the pass-through.
    pub passthrough: SocketAddr,
    /// Entry instance.
    pub router: Instance,
    engine: Engine,
    _store: Store,
    _rating: Rating,
    runtimes: Vec<Runtime>,
}

impl Setup {
    /// Starts the stand-ins, the pass-through and the entry instance, and waits until the instance
    /// has discovered the model at the engine.
    ///
    /// # Errors
    ///
    /// Returns a failure if a component can't start.
    pub async fn start() -> Result<Self, Failure> {
        let platform = named_runtime("platform", PLATFORM_THREADS)?;
        let (engine, store, rating) = platform
            .spawn(async {
                let loaded = Loaded { model: MODEL.into(), version: VERSION.into() };
                let engine = Engine::start(any_port(), SLOTS, true, vec![loaded]).await?;
                Ok((engine, Store::start(any_port()).await?, Rating::start(any_port()).await?))
            })
            .await
            .map_err(|error| Failure::new(&error))?
            .map_err(|error: hawthornmount_http::server::ListenError| Failure::new(&error))?;
        store.faults().set_delay(STORE_DELAY);
        publish(&store, &engine).await?;
        let passthrough_runtime = named_runtime("pass", TRAFFIC_THREADS)?;
        let listener = tokio::net::TcpListener::bind(any_port())
            .await
            .and_then(tokio::net::TcpListener::into_std)
            .map_err(|error| Failure::new(&error))?;
        let passthrough = listener.local_addr().map_err(|error| Failure::new(&error))?;
        let direct = engine.address();
        passthrough_runtime.spawn(async move {
            if let Ok(listener) = tokio::net::TcpListener::from_std(listener) {
                passthrough::serve(listener, direct).await;
            }
        });
        let settings = settings(&store, &rating);
        let router = Instance::start(settings).map_err(|error| Failure::new(&error))?;
        while !is_ready(&router) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let runtimes = vec![platform, passthrough_runtime];
        Ok(Self { direct, passthrough, router, engine, _store: store, _rating: rating, runtimes })
    }

    /// Sets the engine's delay of the first token and between tokens.
    pub fn set_token_delays(&self, first_token: Duration, per_token: Duration) {
        let behaviour = Behaviour { quality: 1.0, error_rate: 0.0, first_token, per_token };
        self.engine.set_behaviour(MODEL, VERSION, behaviour);
    }

    /// Stops the entry instance and shuts the other runtimes down.
    pub fn stop(self) {
        self.router.kill();
        self.runtimes.into_iter().for_each(Runtime::shutdown_background);
    }
}

/// Returns the API key of the account whose requests are measured.
pub fn api_key() -> String {
    format!("key of account {}", ACCOUNTS - 1)
}

/// Returns a runtime with `count` threads named `name`.
///
/// # Errors
///
/// Returns a failure if the operating system cannot create the threads.
pub fn named_runtime(name: &str, count: usize) -> Result<Runtime, Failure> {
    let runtime =
        Builder::new_multi_thread().worker_threads(count).thread_name(name).enable_all().build();
    runtime.map_err(|error| Failure::new(&error))
}

fn is_ready(router: &Instance) -> bool {
    let snapshot = router.components().snapshot.load();
    admin::is_ready(router.components())
        && snapshot.backends.iter().any(|one| !one.loaded.is_empty())
}

fn settings(store: &Store, rating: &Rating) -> Settings {
    Settings {
        rating: Some(rating.address()),
        traffic_threads: TRAFFIC_THREADS,
        ..loopback_settings(store, "attica-a", "attica", 1)
    }
}

async fn publish(store: &Store, engine: &Engine) -> Result<(), Failure> {
    let accounts = (0..ACCOUNTS).map(|number| {
        let account = json!({
            "key_hashes": [&*key_hash(&format!("key of account {number}"))],
            "cascade": "drafting",
            "allow": [{ "model": MODEL }],
        });
        (format!("account-{number}"), account)
    });
    let value = json!({
        "data_centres": { "attica-a": { "region": "attica" } },
        "accounts": accounts.collect::<Map<String, Value>>(),
        "models": {
            MODEL: { "price": 200, "stable": VERSION, "versions": { VERSION: { "state": "proven" } } },
        },
        "cascades": { "drafting": { "models": [MODEL] } },
        "servers": {
            "engine-1": {
                "address": engine.address(),
                "data_centre": "attica-a",
                "slots": SLOTS,
                "models": [MODEL],
            },
        },
    });
    merge::from_value(value.clone()).map_err(|error| Failure::new(&error))?;
    let store = Etcd::new(vec![store.address()]);
    let applied = config::apply(&store, value, 0, &id::generate("apply")).await;
    applied.map(|_| ()).map_err(|error| Failure::new(&error))
}
