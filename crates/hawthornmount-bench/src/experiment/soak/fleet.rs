//! Instances behind a simulated load balancer. Each instance is replaced when it ends.

use {
    hawthornmount_core::id::InstanceId,
    hawthornmount_demo::{
        check::invariant::Stop,
        deployment::{self, Deployment},
    },
    hawthornmount_entry::{Instance, admin},
    hawthornmount_ledger::Ledger,
    hawthornmount_standin::list::State,
    parking_lot::Mutex,
    rand::{RngExt, rngs::SmallRng},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Number of the first replacement; the initial instances have lower numbers.
const FIRST_REPLACEMENT: usize = 100;
/// Time that the platform takes to start a replacement for an ended instance.
const REPLACEMENT_DELAY: Duration = Duration::from_millis(500);
/// Time for which the load balancer keeps sending to an instance that is no longer ready.
const BALANCER_DELAY: Duration = Duration::from_millis(200);
/// Interval at which readiness of a replacement is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// An instance as the load balancer knows it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Id of the instance.
    pub id: InstanceId,
    /// Address for callers.
    pub address: SocketAddr,
}

/// Instances behind a load balancer.
pub struct Fleet {
    deployment: Arc<Deployment>,
    instances: Mutex<Vec<Instance>>,
    stopping: Mutex<Vec<Target>>,
    stops: Mutex<Vec<Stop>>,
    leaving: Mutex<Vec<Arc<str>>>,
    next_number: AtomicUsize,
}

impl Fleet {
    /// Creates a fleet of instances that run on the stand-ins of `deployment`.
    pub fn new(deployment: Arc<Deployment>, instances: Vec<Instance>) -> Self {
        Self {
            deployment,
            instances: Mutex::new(instances),
            stopping: Mutex::default(),
            stops: Mutex::default(),
            leaving: Mutex::default(),
            next_number: AtomicUsize::new(FIRST_REPLACEMENT),
        }
    }

    /// Returns a random instance for a request. An instance that has just begun to stop is still
    /// eligible.
    pub fn pick(&self, rng: &mut SmallRng) -> Option<Target> {
        let mut targets: Vec<Target> = self.instances.lock().iter().map(target).collect();
        targets.extend(self.stopping.lock().iter().cloned());
        (!targets.is_empty()).then(|| targets[rng.random_range(0..targets.len())].clone())
    }

    /// Calls `visit` for each ready instance.
    pub fn for_each(&self, mut visit: impl FnMut(&Instance)) {
        self.instances.lock().iter().for_each(&mut visit);
    }

    /// Returns the graceful stops so far.
    pub fn stops(&self) -> Vec<Stop> {
        self.stops.lock().clone()
    }

    /// Returns the ledger of one instance.
    ///
    /// # Panics
    ///
    /// Panics if no instance is left.
    pub fn ledger(&self) -> Arc<dyn Ledger> {
        self.instances.lock().first().expect("an instance is left").components().ledger.clone()
    }

    /// Kills an instance and waits until its replacement is ready.
    pub async fn kill(&self, rng: &mut SmallRng) {
        let Some(instance) = self.remove_random(rng) else { return };
        let data_centre = instance.components().settings.data_centre.clone();
        instance.kill();
        self.replace(&data_centre).await;
    }

    /// Stops an instance gracefully and waits until its replacement is ready.
    pub async fn stop(&self, rng: &mut SmallRng) {
        let Some(instance) = self.remove_random(rng) else { return };
        let data_centre = instance.components().settings.data_centre.clone();
        let stopping = target(&instance);
        self.stopping.lock().push(stopping.clone());
        let deregistration = async {
            tokio::time::sleep(BALANCER_DELAY).await;
            self.stopping.lock().retain(|target| target.id != stopping.id);
        };
        let (stopped, ()) = tokio::join!(instance.stop(), deregistration);
        self.stops.lock().push(Stop { instance: stopping.id, cut: stopped.interrupted });
        self.replace(&data_centre).await;
    }

    /// Sets whether the platform lists a server as leaving.
    pub fn set_leaving(&self, server: &Arc<str>, leaving: bool) {
        let mut servers = self.leaving.lock();
        servers.retain(|one| one != server);
        if leaving {
            servers.push(server.clone());
        }
        drop(servers);
        self.publish();
    }

    /// Removes a random instance; returns none if only one is left.
    fn remove_random(&self, rng: &mut SmallRng) -> Option<Instance> {
        let mut instances = self.instances.lock();
        if instances.len() < 2 {
            return None;
        }
        let at = rng.random_range(0..instances.len());
        Some(instances.remove(at))
    }

    async fn replace(&self, data_centre: &str) {
        tokio::time::sleep(REPLACEMENT_DELAY).await;
        let number = self.next_number.fetch_add(1, Ordering::SeqCst);
        let settings = self.deployment.settings(data_centre, number);
        let instance = match Instance::start(settings) {
            Ok(instance) => instance,
            Err(error) => return log::error!("cannot start a replacement: {error}"),
        };
        while !admin::is_ready(instance.components()) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        self.instances.lock().push(instance);
        self.publish();
    }

    fn publish(&self) {
        let mut listed: Vec<_> = self.instances.lock().iter().map(deployment::list_entry).collect();
        listed.extend(self.deployment.listed_servers());
        let leaving = self.leaving.lock();
        for one in listed.iter_mut().filter(|one| leaving.contains(&one.id)) {
            one.state = State::Leaving;
        }
        self.deployment.list.set(listed);
    }
}

fn target(instance: &Instance) -> Target {
    let id = instance.components().settings.instance.clone();
    Target { id, address: instance.caller_address() }
}
