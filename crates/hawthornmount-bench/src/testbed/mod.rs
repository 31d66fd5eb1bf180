//! Testbed for experiments on the policy: entry instances and stand-ins on loopback addresses.

mod caller;
mod config;

pub use {
    caller::{Caller, Reply, Request},
    config::{ACCOUNT_KEY_PREFIX, AccountSpec, ModelSpec},
};

use {
    crate::experiment::Failure,
    hawthornmount_core::{
        id::{self, Revision},
        merge,
        settings::Settings,
        snapshot::Health,
    },
    hawthornmount_demo::deployment::{any_port, loopback_settings},
    hawthornmount_entry::{Instance, instance::Builder},
    hawthornmount_fleet::config as fleet_config,
    hawthornmount_policy::Router,
    hawthornmount_standin::{
        engine::{Behaviour, Engine, Limits, Loaded},
        list::{Kind, List, Listed, State},
        rating::Rating,
        store::Store,
    },
    hawthornmount_store::etcd::Etcd,
    serde_json::Value,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::runtime::{self, Runtime},
};

/// Time within which all instances must be ready, or a withdrawal must be in force.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two checks of the instances.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Data centre of the testbed.
#[derive(Clone, Copy, Debug)]
pub struct DataCentre {
    /// Name.
    pub id: &'static str,
    /// Region.
    pub region: &'static str,
    /// Number of entry instances.
    pub instances: usize,
    /// Number of engines.
    pub engines: usize,
}

/// Specification of a testbed.
#[derive(Clone)]
pub struct Spec {
    /// Data centres.
    pub data_centres: Vec<DataCentre>,
    /// Models of the only cascade, ordered from the cheapest to the most expensive.
    pub models: Vec<ModelSpec>,
    /// Accounts.
    pub accounts: Vec<AccountSpec>,
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Batching limits of the engines.
    pub limits: Limits,
    /// Time between two load reports of an engine.
    pub report_period: Duration,
    /// Creates the router of each instance; with none, instances use the default router.
    pub router: Option<fn() -> Arc<dyn Router>>,
}

/// Backend server whose engine runs on a runtime of its own with one worker thread.
pub struct Server {
    /// Name.
    pub id: Arc<str>,
    /// Data centre.
    pub data_centre: &'static str,
    /// The engine; none after [`Server::kill`].
    pub engine: Option<Engine>,
    runtime: Option<Runtime>,
}

impl Server {
    /// Stops the engine immediately and closes its connections.
    pub fn kill(&mut self) {
        self.engine = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Entry instances with stand-ins for the backend servers and the services of the platform.
pub struct Testbed {
    /// Stand-in for the key-value store of the platform.
    pub store: Store,
    /// Stand-in for the rating service.
    pub rating: Rating,
    /// Backend servers, including killed ones.
    pub servers: Vec<Server>,
    /// The entry instances.
    pub instances: Vec<Instance>,
    list: List,
}

impl Testbed {
    /// Starts the stand-ins and the instances and waits until all instances are ready.
    ///
    /// # Errors
    ///
    /// Returns a failure if something can't start or is not ready in time.
    pub async fn start(spec: &Spec) -> Result<Self, Failure> {
        let mut testbed = Self {
            store: Store::start(any_port()).await.map_err(|error| Failure::new(&error))?,
            rating: Rating::start(any_port()).await.map_err(|error| Failure::new(&error))?,
            list: List::start(any_port()).await.map_err(|error| Failure::new(&error))?,
            servers: servers(spec).await?,
            instances: Vec::new(),
        };
        testbed.publish(spec).await?;
        for data_centre in &spec.data_centres {
            for number in 1..=data_centre.instances {
                let settings = testbed.settings(*data_centre, number);
                let mut builder = Builder::new(settings);
                if let Some(router) = spec.router {
                    builder = builder.router(router());
                }
                let instance = Instance::start_with(builder.build());
                testbed.instances.push(instance.map_err(|error| Failure::new(&error))?);
            }
        }
        testbed.list.set(testbed.instance_list());
        testbed.wait_ready().await?;
        Ok(testbed)
    }

    /// Returns the address of each instance for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(Instance::caller_address).collect()
    }

    /// Returns the engines that were not killed.
    pub fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.servers.iter().filter_map(|server| server.engine.as_ref())
    }

    /// Returns the number of requests that were run by the engines that were not killed.
    pub fn run_count(&self) -> usize {
        self.engines().map(|engine| engine.runs().len()).sum()
    }

    /// Withdraws the only version of a model and waits until all instances have applied the change.
    ///
    /// # Errors
    ///
    /// Returns a failure if the configuration is not accepted or not applied in time.
    pub async fn withdraw(&self, spec: &Spec, model: &str) -> Result<(), Failure> {
        let base =
            self.instances.first().map_or(0, |one| one.components().snapshot.load().revision);
        let mut value = config::configuration(spec, &self.servers);
        value["models"][model]["versions"][config::VERSION]["state"] = "withdrawn".into();
        self.apply(value, base).await?;
        let deadline = Instant::now() + READY_TIMEOUT;
        while self.instances.iter().any(|one| one.components().snapshot.load().revision <= base) {
            if Instant::now() > deadline {
                return Err(Failure::text("the withdrawal is not in force in time"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn publish(&self, spec: &Spec) -> Result<(), Failure> {
        self.apply(config::configuration(spec, &self.servers), 0).await
    }

    async fn apply(&self, value: Value, base: Revision) -> Result<(), Failure> {
        merge::from_value(value.clone()).map_err(|error| Failure::new(&error))?;
        let store = Etcd::new(vec![self.store.address()]);
        let applied = fleet_config::apply(&store, value, base, &id::generate("apply")).await;
        applied.map(|_| ()).map_err(|error| Failure::new(&error))
    }

    fn settings(&self, data_centre: DataCentre, number: usize) -> Settings {
        Settings {
            instance_list: Some(self.list.address()),
            rating: Some(self.rating.address()),
            drain: Duration::from_secs(5),
            ..loopback_settings(&self.store, data_centre.id, data_centre.region, number)
        }
    }

    fn instance_list(&self) -> Vec<Listed> {
        let entry = |instance: &Instance| Listed {
            id: instance.components().settings.instance.clone(),
            kind: Kind::Entry,
            address: instance.fleet_address(),
            data_centre: instance.components().settings.data_centre.clone(),
            state: State::Live,
        };
        self.instances.iter().map(entry).collect()
    }

    async fn wait_ready(&self) -> Result<(), Failure> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.instances.iter().all(|instance| self.is_ready(instance)) {
            if Instant::now() > deadline {
                return Err(Failure::text("the instances are not ready in time"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    fn is_ready(&self, instance: &Instance) -> bool {
        let snapshot = instance.components().snapshot.load();
        let up = snapshot.backends.iter().filter(|backend| backend.health == Health::Up).count();
        up == self.servers.len() && snapshot.members.len() == self.instances.len()
    }
}

async fn servers(spec: &Spec) -> Result<Vec<Server>, Failure> {
    let mut servers = Vec::new();
    for data_centre in &spec.data_centres {
        for number in 1..=data_centre.engines {
            let runtime =
                runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
            let runtime = runtime.map_err(|error| Failure::new(&error))?;
            let id = format!("engine-{}-{number:02}", data_centre.id).into();
            let mut server =
                Server { id, data_centre: data_centre.id, engine: None, runtime: Some(runtime) };
            server.engine = Some(engine(spec, &server).await?);
            servers.push(server);
        }
    }
    Ok(servers)
}

async fn engine(spec: &Spec, server: &Server) -> Result<Engine, Failure> {
    let loaded: Vec<Loaded> = spec.models.iter().map(ModelSpec::loaded).collect();
    let runtime = server.runtime.as_ref().ok_or_else(|| Failure::text("the engine is killed"))?;
    let start = runtime.spawn(Engine::start(any_port(), spec.slots, true, loaded));
    let engine = start.await.map_err(|error| Failure::new(&error))?;
    let engine = engine.map_err(|error| Failure::new(&error))?;
    engine.set_limits(spec.limits);
    engine.set_report_period(spec.report_period);
    for model in &spec.models {
        engine.set_behaviour(
            model.id,
            config::VERSION,
            Behaviour {
                quality: model.quality,
                error_rate: 0.0,
                first_token: model.first_token,
                per_token: model.per_token,
            },
        );
    }
    Ok(engine)
}
