//! The ways to an engine that are compared, each on threads of its own.

use {
    super::passthrough,
    crate::experiment::Failure,
    hawthornmount_core::{config::key_hash, id, merge, settings::Settings},
    hawthornmount_demo::world::{any_port, loopback},
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

/// Threads of the router's traffic, and of the pass-through.
pub const THREADS: usize = 2;
/// Threads of the stand-ins.
const PLATFORM_THREADS: usize = 3;
/// Accounts of the configuration.
const ACCOUNTS: usize = 10;
/// Requests that the engine runs at a time.
const SLOTS: u32 = 100_000;
/// Delay of the store.
const STORE_DELAY: Duration = Duration::from_millis(2);
/// Pause between looks whether the instance is ready.
const PAUSE: Duration = Duration::from_millis(20);
/// Model that answers.
pub const MODEL: &str = "draft";
/// Version that answers.
pub const VERSION: &str = "v1";

/// The ways to an engine that are compared.
pub struct Paths {
    /// Address of the engine.
    pub direct: SocketAddr,
    /// Address of the pass-through.
    pub pass: SocketAddr,
    /// Instance of the router.
    pub router: Instance,
    engine: Engine,
    _store: Store,
    _rating: Rating,
    runtimes: Vec<Runtime>,
}

impl Paths {
    /// Starts everything and waits until the router knows the engine.
    ///
    /// # Errors
    ///
    /// Returns a failure if something can't start.
    pub async fn start() -> Result<Self, Failure> {
        let platform = threads("platform", PLATFORM_THREADS)?;
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
        let passing = threads("pass", THREADS)?;
        let listener = tokio::net::TcpListener::bind(any_port())
            .await
            .and_then(tokio::net::TcpListener::into_std)
            .map_err(|error| Failure::new(&error))?;
        let pass = listener.local_addr().map_err(|error| Failure::new(&error))?;
        let direct = engine.address();
        passing.spawn(async move {
            if let Ok(listener) = tokio::net::TcpListener::from_std(listener) {
                passthrough::serve(listener, direct).await;
            }
        });
        let settings = settings(&store, &rating);
        let router = Instance::start(settings).map_err(|error| Failure::new(&error))?;
        while !is_ready(&router) {
            tokio::time::sleep(PAUSE).await;
        }
        let runtimes = vec![platform, passing];
        Ok(Self { direct, pass, router, engine, _store: store, _rating: rating, runtimes })
    }

    /// Sets the engine's time to the first token and between tokens.
    pub fn set_times(&self, first_token: Duration, per_token: Duration) {
        let behaviour = Behaviour { quality: 1.0, error_rate: 0.0, first_token, per_token };
        self.engine.set_behaviour(MODEL, VERSION, behaviour);
    }

    /// Ends everything.
    pub fn end(self) {
        self.router.kill();
        self.runtimes.into_iter().for_each(Runtime::shutdown_background);
    }
}

/// Returns the key of the account that sends.
pub fn key() -> String {
    format!("key of account {}", ACCOUNTS - 1)
}

/// Returns a runtime with named threads.
///
/// # Errors
///
/// Returns a failure if the operating system gives no threads.
pub fn threads(name: &str, count: usize) -> Result<Runtime, Failure> {
    let runtime =
        Builder::new_multi_thread().worker_threads(count).thread_name(name).enable_all().build();
    runtime.map_err(|error| Failure::new(&error))
}

fn is_ready(router: &Instance) -> bool {
    let up = router.parts().cell.load();
    admin::is_ready(router.parts()) && up.backends.iter().any(|one| !one.loaded.is_empty())
}

fn settings(store: &Store, rating: &Rating) -> Settings {
    Settings {
        rating: Some(rating.address()),
        traffic_threads: THREADS,
        ..loopback(store, "attica-a", "attica", 1)
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
    let applied = config::apply(&store, value, 0, &id::fresh("apply")).await;
    applied.map(|_| ()).map_err(|error| Failure::new(&error))
}
