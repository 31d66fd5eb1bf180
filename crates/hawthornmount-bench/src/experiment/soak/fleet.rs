//! The instances behind a balancer, each replaced when it ends.

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

/// Number of the first replacement in a data centre.
const FIRST_REPLACEMENT: usize = 100;
/// Time until the platform has a replacement for an ended instance.
const REPLACEMENT_LAG: Duration = Duration::from_millis(500);
/// Time that the balancer goes on sending to an instance that is no longer ready.
const BALANCER_LAG: Duration = Duration::from_millis(200);
/// Pause between looks whether a replacement is ready.
const PAUSE: Duration = Duration::from_millis(50);

/// An instance as the balancer knows it.
#[derive(Clone, Debug)]
pub struct Target {
    /// Life of the instance.
    pub life: InstanceId,
    /// Address for callers.
    pub address: SocketAddr,
}

/// The instances behind a balancer.
pub struct Fleet {
    world: Arc<Deployment>,
    instances: Mutex<Vec<Instance>>,
    stopping: Mutex<Vec<Target>>,
    stops: Mutex<Vec<Stop>>,
    leaving: Mutex<Vec<Arc<str>>>,
    next: AtomicUsize,
}

impl Fleet {
    /// Takes over the world's instances.
    pub fn new(world: Arc<Deployment>, instances: Vec<Instance>) -> Self {
        Self {
            world,
            instances: Mutex::new(instances),
            stopping: Mutex::default(),
            stops: Mutex::default(),
            leaving: Mutex::default(),
            next: AtomicUsize::new(FIRST_REPLACEMENT),
        }
    }

    /// Returns the instance for a request; an instance that has just begun to stop counts still.
    pub fn pick(&self, rng: &mut SmallRng) -> Option<Target> {
        let mut targets: Vec<Target> = self.instances.lock().iter().map(target).collect();
        targets.extend(self.stopping.lock().iter().cloned());
        (!targets.is_empty()).then(|| targets[rng.random_range(0..targets.len())].clone())
    }

    /// Looks at each ready instance.
    pub fn each(&self, mut look: impl FnMut(&Instance)) {
        self.instances.lock().iter().for_each(&mut look);
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
        let Some(instance) = self.take(rng) else { return };
        let data_centre = instance.components().settings.data_centre.clone();
        instance.kill();
        self.replace(&data_centre).await;
    }

    /// Stops an instance gracefully and waits until its replacement is ready.
    pub async fn stop(&self, rng: &mut SmallRng) {
        let Some(instance) = self.take(rng) else { return };
        let data_centre = instance.components().settings.data_centre.clone();
        let leaver = target(&instance);
        self.stopping.lock().push(leaver.clone());
        let balancer = async {
            tokio::time::sleep(BALANCER_LAG).await;
            self.stopping.lock().retain(|target| target.life != leaver.life);
        };
        let (stopped, ()) = tokio::join!(instance.stop(), balancer);
        self.stops.lock().push(Stop { instance: leaver.life, cut: stopped.interrupted });
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

    fn take(&self, rng: &mut SmallRng) -> Option<Instance> {
        let mut instances = self.instances.lock();
        if instances.len() < 2 {
            return None;
        }
        let at = rng.random_range(0..instances.len());
        Some(instances.remove(at))
    }

    async fn replace(&self, data_centre: &str) {
        tokio::time::sleep(REPLACEMENT_LAG).await;
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        let settings = self.world.settings(data_centre, number);
        let instance = match Instance::start(settings) {
            Ok(instance) => instance,
            Err(error) => return log::error!("no replacement: {error}"),
        };
        while !admin::is_ready(instance.components()) {
            tokio::time::sleep(PAUSE).await;
        }
        self.instances.lock().push(instance);
        self.publish();
    }

    fn publish(&self) {
        let mut listed: Vec<_> = self.instances.lock().iter().map(deployment::list_entry).collect();
        listed.extend(self.world.listed_servers());
        let leaving = self.leaving.lock();
        for one in listed.iter_mut().filter(|one| leaving.contains(&one.id)) {
            one.state = State::Leaving;
        }
        self.world.list.set(listed);
    }
}

fn target(instance: &Instance) -> Target {
    let life = instance.components().settings.instance.clone();
    Target { life, address: instance.caller_address() }
}
