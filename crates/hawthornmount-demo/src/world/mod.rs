//! Stand-ins and entry instances, started together.

mod source;

use {
    derive_more::{Display, Error, From},
    hawthornmount_core::{id, merge, settings::Settings, snapshot::Health},
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

/// Size of a [`World`].
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Data centres, one a region.
    pub data_centres: &'static [&'static str],
    /// Entry instances in each data centre.
    pub instances_each: usize,
    /// Engines in each data centre.
    pub engines_each: usize,
}

impl Shape {
    /// Two data centres with two instances each.
    pub const DEMO: Self =
        Self { data_centres: &["attica-a", "macedonia-a"], instances_each: 2, engines_each: 2 };
    /// Three data centres with three instances each, the largest size of today.
    pub const FLEET: Self = Self {
        data_centres: &["attica-a", "macedonia-a", "crete-a"],
        instances_each: 3,
        engines_each: 2,
    };
}

/// Requests that an engine runs at a time.
pub(crate) const ENGINE_SLOTS: u32 = 16;
/// Delay of the stand-in store.
const STORE_DELAY: Duration = Duration::from_millis(2);
/// Time in which the instances have to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(20);

/// Why the demo can't start.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A stand-in can't listen.
    #[display("{_0}")]
    Listen(ListenError),
    /// An instance can't start.
    #[display("{_0}")]
    Instance(instance::Error),
    /// The example folder is not valid.
    #[display("{_0}")]
    Merge(merge::Error),
    /// The configuration was not accepted.
    #[display("{_0}")]
    Apply(ApplyError),
    /// The instances did not become ready.
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

/// Stand-ins and entry instances, started together.
pub struct World {
    /// Size of the world.
    pub shape: Shape,
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
    /// Secret of the instances, which no other world shares, whatever ports it gets again.
    fleet_key: Arc<str>,
}

impl World {
    /// Starts everything and publishes the example folder.
    ///
    /// # Errors
    ///
    /// Returns an error if something can't start or the instances do not become ready.
    pub async fn start() -> Result<Self, Error> {
        Self::start_with(Shape::DEMO).await
    }

    /// Starts everything in another size and publishes the example folder.
    ///
    /// # Errors
    ///
    /// Returns an error if something can't start or the instances do not become ready.
    pub async fn start_with(shape: Shape) -> Result<Self, Error> {
        let store = Store::start(any_port()).await?;
        store.faults().set_delay(STORE_DELAY);
        let mut world = Self {
            list: List::start(any_port()).await?,
            rating: Rating::start(any_port()).await?,
            service: Service::start(any_port()).await?,
            engines: engines(shape).await?,
            instances: Vec::new(),
            fleet_key: id::generate("fleet"),
            shape,
            store,
        };
        world.publish().await?;
        world.start_instances()?;
        world.list.set(world.listed());
        world.wait_ready().await?;
        Ok(world)
    }

    /// Returns the settings of one more instance.
    pub fn settings(&self, data_centre: &str, number: usize) -> Settings {
        let region = data_centre.trim_end_matches("-a");
        Settings {
            instance_list: Some(self.list.address()),
            rating: Some(self.rating.address()),
            fleet_key: self.fleet_key.clone(),
            drain: Duration::from_secs(10),
            ..loopback(&self.store, data_centre, region, number)
        }
    }

    /// Returns the addresses for callers.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(Instance::caller_address).collect()
    }

    /// Returns the merged value of the example folder with the started servers.
    ///
    /// # Errors
    ///
    /// Returns an error if the example folder is not valid.
    pub fn merged(&self) -> Result<serde_json::Value, Error> {
        Ok(merge::merge_sources(&source::sources(self))?)
    }

    async fn publish(&self) -> Result<(), Error> {
        let value = self.merged()?;
        merge::from_value(value.clone())?;
        let store = Etcd::new(vec![self.store.address()]);
        config::apply(&store, value, 0, &id::generate("apply")).await?;
        Ok(())
    }

    fn start_instances(&mut self) -> Result<(), Error> {
        for data_centre in self.shape.data_centres {
            for number in 1..=self.shape.instances_each {
                self.instances.push(Instance::start(self.settings(data_centre, number))?);
            }
        }
        Ok(())
    }

    /// Returns what the platform lists while nothing leaves.
    pub fn listed(&self) -> Vec<Listed> {
        self.instances.iter().map(entry).chain(self.listed_servers()).collect()
    }

    /// Returns what the platform lists of the engines while none leaves.
    pub fn listed_servers(&self) -> impl Iterator<Item = Listed> {
        self.engines.iter().map(|named| Listed {
            id: named.id.clone(),
            kind: Kind::Server,
            address: named.engine.address(),
            data_centre: named.data_centre.clone(),
            state: State::Live,
        })
    }

    async fn wait_ready(&self) -> Result<(), Error> {
        let bound = Instant::now() + READY_TIMEOUT;
        while !self.instances.iter().all(|instance| self.is_ready(instance)) {
            if Instant::now() > bound {
                return Err(Error::NotReady);
            }
            tokio::time::sleep(PAUSE).await;
        }
        Ok(())
    }

    /// Tells whether an instance knows every server to be up.
    pub fn is_ready(&self, instance: &Instance) -> bool {
        let backends = &instance.parts().snapshot.load().backends;
        let up = backends.iter().filter(|backend| backend.health == Health::Up).count();
        up == self.engines.len() + 1
    }
}

/// Returns what the platform lists of a live instance.
pub fn entry(instance: &Instance) -> Listed {
    let settings = &instance.parts().settings;
    Listed {
        id: settings.instance.clone(),
        kind: Kind::Entry,
        address: instance.fleet_address(),
        data_centre: settings.data_centre.clone(),
        state: State::Live,
    }
}

async fn engines(shape: Shape) -> Result<Vec<NamedEngine>, Error> {
    let mut engines = Vec::new();
    for &data_centre in shape.data_centres {
        for number in 1..=shape.engines_each {
            let loaded = [("draft-large", "v1"), ("draft-small", "v1"), ("draft-small", "v2")];
            let loaded = loaded
                .map(|(model, version)| Loaded { model: model.into(), version: version.into() });
            let checks_fencing = number == 1;
            let engine =
                Engine::start(any_port(), ENGINE_SLOTS, checks_fencing, loaded.to_vec()).await?;
            engine.set_behaviour("draft-small", "v1", behaviour(0.75, 10, 1));
            engine.set_behaviour("draft-small", "v2", behaviour(0.8, 10, 1));
            engine.set_behaviour("draft-large", "v1", behaviour(0.98, 30, 2));
            engines.push(NamedEngine {
                id: format!("engine-{data_centre}-{number}").into(),
                data_centre: data_centre.into(),
                engine,
            });
        }
    }
    Ok(engines)
}

const fn behaviour(quality: f64, first_token_ms: u64, per_token_ms: u64) -> Behaviour {
    Behaviour {
        quality,
        error_rate: 0.01,
        first_token: Duration::from_millis(first_token_ms),
        per_token: Duration::from_millis(per_token_ms),
    }
}

/// Returns the settings of an instance on loopback that knows the store and nothing else.
pub fn loopback(store: &Store, data_centre: &str, region: &str, number: usize) -> Settings {
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
        log: "warn".into(),
    }
}

/// Returns the loopback address with any free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
