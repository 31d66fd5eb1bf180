//! Entry instances and stand-ins on loopback for experiments on the policy.

mod caller;
mod config;

pub use {
    caller::{Asked, Caller, Reply},
    config::{ACCOUNT_KEY, AccountPlan, ModelPlan},
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
    hawthornmount_fleet::config as accepted,
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

/// Time in which the instances have to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(20);

/// A data centre of an experiment.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// Name.
    pub id: &'static str,
    /// Region.
    pub region: &'static str,
    /// Entry instances there.
    pub instances: usize,
    /// Engines there.
    pub engines: usize,
}

/// What an experiment starts.
#[derive(Clone)]
pub struct Plan {
    /// Data centres.
    pub places: Vec<Place>,
    /// Models from cheap to costly.
    pub models: Vec<ModelPlan>,
    /// Accounts.
    pub accounts: Vec<AccountPlan>,
    /// Requests that an engine runs at a time.
    pub slots: u32,
    /// How the engines batch.
    pub limits: Limits,
    /// Time between two load reports of an engine.
    pub report_period: Duration,
    /// Makes the router of an instance; none takes the product's own.
    pub router: Option<fn() -> Arc<dyn Router>>,
}

/// An engine with its name, on a thread of its own.
pub struct Server {
    /// Name.
    pub id: Arc<str>,
    /// Data centre.
    pub place: &'static str,
    /// The engine; none once it was killed.
    pub engine: Option<Engine>,
    runtime: Option<Runtime>,
}

impl Server {
    /// Ends the engine at once, with its connections.
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

/// Entry instances and stand-ins on loopback.
pub struct Lab {
    /// The platform's key-value service.
    pub store: Store,
    /// The rating service.
    pub rating: Rating,
    /// The engines.
    pub servers: Vec<Server>,
    /// The entry instances.
    pub instances: Vec<Instance>,
    list: List,
}

impl Lab {
    /// Starts everything and waits until the instances are ready.
    ///
    /// # Errors
    ///
    /// Returns a failure if something can't start or is not ready in time.
    pub async fn start(plan: &Plan) -> Result<Self, Failure> {
        let mut lab = Self {
            store: Store::start(any_port()).await.map_err(|error| Failure::new(&error))?,
            rating: Rating::start(any_port()).await.map_err(|error| Failure::new(&error))?,
            list: List::start(any_port()).await.map_err(|error| Failure::new(&error))?,
            servers: servers(plan).await?,
            instances: Vec::new(),
        };
        lab.publish(plan).await?;
        for place in &plan.places {
            for number in 1..=place.instances {
                let settings = lab.settings(*place, number);
                let mut builder = Builder::new(settings);
                if let Some(router) = plan.router {
                    builder = builder.router(router());
                }
                let instance = Instance::start_with(builder.build());
                lab.instances.push(instance.map_err(|error| Failure::new(&error))?);
            }
        }
        lab.list.set(lab.listed());
        lab.wait_ready().await?;
        Ok(lab)
    }

    /// Returns the addresses for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(Instance::caller_address).collect()
    }

    /// Returns the engines that were not killed.
    pub fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.servers.iter().filter_map(|server| server.engine.as_ref())
    }

    /// Returns the runs of all engines that were not killed.
    pub fn runs(&self) -> usize {
        self.engines().map(|engine| engine.runs().len()).sum()
    }

    /// Withdraws the only version of a model and waits until every instance obeys.
    ///
    /// # Errors
    ///
    /// Returns a failure if the configuration is not accepted or not in force in time.
    pub async fn withdraw(&self, plan: &Plan, model: &str) -> Result<(), Failure> {
        let base =
            self.instances.first().map_or(0, |one| one.components().snapshot.load().revision);
        let mut value = config::value(plan, &self.servers);
        value["models"][model]["versions"][config::VERSION]["state"] = "withdrawn".into();
        self.apply(value, base).await?;
        let bound = Instant::now() + READY_TIMEOUT;
        while self.instances.iter().any(|one| one.components().snapshot.load().revision <= base) {
            if Instant::now() > bound {
                return Err(Failure::text("the withdrawal is not in force in time"));
            }
            tokio::time::sleep(PAUSE).await;
        }
        Ok(())
    }

    async fn publish(&self, plan: &Plan) -> Result<(), Failure> {
        self.apply(config::value(plan, &self.servers), 0).await
    }

    async fn apply(&self, value: Value, base: Revision) -> Result<(), Failure> {
        merge::from_value(value.clone()).map_err(|error| Failure::new(&error))?;
        let store = Etcd::new(vec![self.store.address()]);
        let apply = accepted::apply(&store, value, base, &id::generate("apply")).await;
        apply.map(|_| ()).map_err(|error| Failure::new(&error))
    }

    fn settings(&self, place: Place, number: usize) -> Settings {
        Settings {
            instance_list: Some(self.list.address()),
            rating: Some(self.rating.address()),
            drain: Duration::from_secs(5),
            ..loopback_settings(&self.store, place.id, place.region, number)
        }
    }

    fn listed(&self) -> Vec<Listed> {
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
        let bound = Instant::now() + READY_TIMEOUT;
        while !self.instances.iter().all(|instance| self.is_ready(instance)) {
            if Instant::now() > bound {
                return Err(Failure::text("the instances are not ready in time"));
            }
            tokio::time::sleep(PAUSE).await;
        }
        Ok(())
    }

    fn is_ready(&self, instance: &Instance) -> bool {
        let snapshot = instance.components().snapshot.load();
        let up = snapshot.backends.iter().filter(|backend| backend.health == Health::Up).count();
        up == self.servers.len() && snapshot.members.len() == self.instances.len()
    }
}

async fn servers(plan: &Plan) -> Result<Vec<Server>, Failure> {
    let mut servers = Vec::new();
    for place in &plan.places {
        for number in 1..=place.engines {
            let runtime =
                runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
            let runtime = runtime.map_err(|error| Failure::new(&error))?;
            let id = format!("engine-{}-{number:02}", place.id).into();
            let mut server = Server { id, place: place.id, engine: None, runtime: Some(runtime) };
            server.engine = Some(engine(plan, &server).await?);
            servers.push(server);
        }
    }
    Ok(servers)
}

async fn engine(plan: &Plan, server: &Server) -> Result<Engine, Failure> {
    let loaded: Vec<Loaded> = plan.models.iter().map(ModelPlan::loaded).collect();
    let runtime = server.runtime.as_ref().ok_or_else(|| Failure::text("the engine is killed"))?;
    let start = runtime.spawn(Engine::start(any_port(), plan.slots, true, loaded));
    let engine = start.await.map_err(|error| Failure::new(&error))?;
    let engine = engine.map_err(|error| Failure::new(&error))?;
    engine.set_limits(plan.limits);
    engine.set_report_period(plan.report_period);
    for model in &plan.models {
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
