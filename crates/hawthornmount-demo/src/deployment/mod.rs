//! Deployment of stand-ins and entry instances on loopback.

mod source;

use {
    derive_more::{Display, Error, From},
    hawthornmount_core::{
        id, merge,
        settings::{DEFAULT_MEMORY_MB, Settings},
        snapshot::Health,
    },
    hawthornmount_entry::{Instance, instance},
    hawthornmount_fleet::config::{self, ApplyError},
    hawthornmount_http::server::ListenError,
    hawthornmount_standin::{
        engine::{Behaviour, Engine, Loaded},
        list::{Kind, List, Listed, State},
        rating::Rating,
        service::Service,
        store::Store,
    },
    hawthornmount_store::etcd::Etcd,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Size of a [`Deployment`].
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Data centres, each in its own region, whose name is that of the data centre without `-a`.
    pub data_centres: &'static [&'static str],
    /// Number of entry instances in each data centre.
    pub instances_each: usize,
    /// Number of engines in each data centre.
    pub engines_each: usize,
}

impl Size {
    /// Size of the demo: two data centres with two instances each.
    pub const DEMO: Self =
        Self { data_centres: &["attica-a", "macedonia-a"], instances_each: 2, engines_each: 2 };
    /// Largest size in use today: three data centres with three instances each.
    pub const FLEET: Self = Self {
        data_centres: &["attica-a", "macedonia-a", "crete-a"],
        instances_each: 3,
        engines_each: 2,
    };
}

/// Maximum number of concurrent requests of an engine.
pub(crate) const ENGINE_SLOTS: u32 = 16;
/// Probability that a completion fails at an engine with status 500.
const ERROR_RATE: f64 = 0.01;
/// Delay of every call to the stand-in store.
const STORE_DELAY: Duration = Duration::from_millis(2);
/// Time limit for the instances to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which the instances' readiness is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Error that prevents a deployment from starting.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A stand-in can't listen on its address.
    #[display("{_0}")]
    Listen(ListenError),
    /// An instance can't start.
    #[display("{_0}")]
    Instance(instance::Error),
    /// The example configuration is not valid.
    #[display("{_0}")]
    Merge(merge::Error),
    /// The configuration was not accepted.
    #[display("{_0}")]
    Apply(ApplyError),
    /// The instances did not become ready within the time limit.
    #[display("the instances are not ready in time: run the demo on an idle machine")]
    NotReady,
}

/// An engine with its name.
pub struct NamedEngine {
    /// Name of the engine.
    pub id: Arc<str>,
    /// Data centre of the engine.
    pub data_centre: Arc<str>,
    /// The engine.
    pub engine: Engine,
}

/// Stand-ins and entry instances that run together.
pub struct Deployment {
    /// Size of the deployment.
    pub size: Size,
    /// The platform's key-value service.
    pub store: Store,
    /// The platform's list of instances.
    pub list: List,
    /// The rating service.
    pub rating: Rating,
    /// The plain service.
    pub service: Service,
    /// The engines.
    pub engines: Vec<NamedEngine>,
    /// The entry instances.
    pub instances: Vec<Instance>,
    /// Shared secret of the instances. It is unique to this deployment, so that no other one can
    /// exchange messages with it if ports are reused.
    fleet_key: Arc<str>,
}

impl Deployment {
    /// Starts a deployment of the demo's size and publishes the example configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if something can't start or the instances do not become ready.
    pub async fn start() -> Result<Self, Error> {
        Self::start_with(Size::DEMO).await
    }

    /// Starts a deployment of the given size and publishes the example configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if something can't start or the instances do not become ready.
    pub async fn start_with(size: Size) -> Result<Self, Error> {
        let store = Store::start(any_port()).await?;
        store.faults().set_delay(STORE_DELAY);
        let mut deployment = Self {
            list: List::start(any_port()).await?,
            rating: Rating::start(any_port()).await?,
            service: Service::start(any_port()).await?,
            engines: engines(size).await?,
            instances: Vec::new(),
            fleet_key: id::generate("fleet"),
            size,
            store,
        };
        deployment.publish_config().await?;
        deployment.start_instances()?;
        deployment.list.set(deployment.listed());
        deployment.wait_until_ready().await?;
        Ok(deployment)
    }

    /// Returns the settings of instance `number` of a data centre.
    pub fn settings(&self, data_centre: &str, number: usize) -> Settings {
        let region = data_centre.trim_end_matches("-a");
        Settings {
            instance_list: Some(self.list.address()),
            rating: Some(self.rating.address()),
            fleet_key: self.fleet_key.clone(),
            drain: Duration::from_secs(10),
            ..loopback_settings(&self.store, data_centre, region, number)
        }
    }

    /// Returns the addresses at which the instances take requests from callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(Instance::caller_address).collect()
    }

    /// Sets the probability that a completion fails at an engine with status 500.
    pub fn set_error_rate(&self, error_rate: f64) {
        for named in &self.engines {
            set_behaviours(&named.engine, error_rate);
        }
    }

    /// Returns the example configuration merged with the data centres and servers of this
    /// deployment.
    ///
    /// # Errors
    ///
    /// Returns an error if the merged configuration is not valid.
    pub fn merged_config(&self) -> Result<serde_json::Value, Error> {
        Ok(merge::merge_sources(&source::sources(self))?)
    }

    async fn publish_config(&self) -> Result<(), Error> {
        let value = self.merged_config()?;
        merge::from_value(value.clone())?;
        let store = Etcd::new(vec![self.store.address()]);
        config::apply(&store, value, 0, &id::generate("apply")).await?;
        Ok(())
    }

    fn start_instances(&mut self) -> Result<(), Error> {
        for data_centre in self.size.data_centres {
            for number in 1..=self.size.instances_each {
                self.instances.push(Instance::start(self.settings(data_centre, number))?);
            }
        }
        Ok(())
    }

    /// Returns the platform's list of all entry instances and engines, each of them live.
    pub fn listed(&self) -> Vec<Listed> {
        self.instances.iter().map(list_entry).chain(self.listed_servers()).collect()
    }

    /// Returns the platform's list of the engines, each of them live.
    pub fn listed_servers(&self) -> impl Iterator<Item = Listed> {
        self.engines.iter().map(|named| Listed {
            id: named.id.clone(),
            kind: Kind::Server,
            address: named.engine.address(),
            data_centre: named.data_centre.clone(),
            state: State::Live,
        })
    }

    async fn wait_until_ready(&self) -> Result<(), Error> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while !self.instances.iter().all(|instance| self.is_ready(instance)) {
            if Instant::now() > deadline {
                return Err(Error::NotReady);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns whether an instance considers every engine and the plain service to be up.
    pub fn is_ready(&self, instance: &Instance) -> bool {
        let backends = &instance.components().snapshot.load().backends;
        let up = backends.iter().filter(|backend| backend.health == Health::Up).count();
        up == self.engines.len() + 1
    }
}

/// Returns the platform's list entry of a live entry instance.
pub fn list_entry(instance: &Instance) -> Listed {
    let settings = &instance.components().settings;
    Listed {
        id: settings.instance.clone(),
        kind: Kind::Entry,
        address: instance.fleet_address(),
        data_centre: settings.data_centre.clone(),
        state: State::Live,
    }
}

async fn engines(size: Size) -> Result<Vec<NamedEngine>, Error> {
    let mut engines = Vec::new();
    for &data_centre in size.data_centres {
        for number in 1..=size.engines_each {
            let loaded = [("draft-large", "v1"), ("draft-small", "v1"), ("draft-small", "v2")];
            let loaded = loaded
                .map(|(model, version)| Loaded { model: model.into(), version: version.into() });
            // Only the first engine of each data centre checks fencing numbers. The configuration
            // in `source` has to state the same.
            let checks_fencing = number == 1;
            let engine =
                Engine::start(any_port(), ENGINE_SLOTS, checks_fencing, loaded.to_vec()).await?;
            set_behaviours(&engine, ERROR_RATE);
            engines.push(NamedEngine {
                id: format!("engine-{data_centre}-{number}").into(),
                data_centre: data_centre.into(),
                engine,
            });
        }
    }
    Ok(engines)
}

/// Sets the behaviour of every version of the example configuration.
fn set_behaviours(engine: &Engine, error_rate: f64) {
    let behaviour = |quality, first_token_ms, per_token_ms| Behaviour {
        quality,
        error_rate,
        first_token: Duration::from_millis(first_token_ms),
        per_token: Duration::from_millis(per_token_ms),
    };
    engine.set_behaviour("draft-small", "v1", behaviour(0.75, 10, 1));
    engine.set_behaviour("draft-small", "v2", behaviour(0.8, 10, 1));
    engine.set_behaviour("draft-large", "v1", behaviour(0.98, 30, 2));
}

/// Returns the settings of an instance on loopback that uses only the store: it has no instance
/// list, rating service or weight store.
pub fn loopback_settings(
    store: &Store,
    data_centre: &str,
    region: &str,
    number: usize,
) -> Settings {
    Settings {
        instance: format!("{data_centre}-{number}").into(),
        data_centre: data_centre.into(),
        region: region.into(),
        listen: any_port(),
        admin: any_port(),
        fleet: any_port(),
        store: vec![store.address()],
        instance_list: None,
        rating: None,
        weight_store: None,
        fleet_key: "the key of a fleet on loopback".into(),
        old_fleet_keys: Vec::new(),
        traffic_threads: 1,
        drain: Duration::from_secs(1),
        memory_mb: DEFAULT_MEMORY_MB,
        file_descriptors: None,
        log: "warn".into(),
    }
}

/// Returns the loopback address with port 0, for which the system assigns a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
