//! Orders to engines: each lists the versions that an engine should have loaded, and is repeated
//! until the engine reports them as loaded.

use {
    crate::{driver::lease::Lease, monitor::Monitor},
    futures::{StreamExt, stream},
    hawthornmount_core::{
        config::{Server, State},
        id::{ModelId, ServerId, VersionId},
        snapshot::{Backend, Health, Release, Snapshot},
        table::Table,
    },
    hawthornmount_http::client::Client,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Timeout of an order. It is much shorter than the time that is left of a lease when the holder
/// has to stop acting.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
/// Most concurrent orders; there is at most one for each server.
const MAX_CONCURRENT_ORDERS: usize = 16;
/// Shortest interval between two orders that load weights.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);
/// Longest backoff between two load orders to a server whose loads fail.
const MAX_LOAD_BACKOFF: Duration = Duration::from_secs(32);
/// Maximum number of doublings of [`LOAD_INTERVAL`]; [`MAX_LOAD_BACKOFF`] is reached earlier.
const MAX_LOAD_DOUBLINGS: u32 = 8;

/// A version in an order.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Version {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
}

/// Order that lists the versions that an engine should have loaded.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Order {
    /// Fencing number of the lease.
    pub fence: u64,
    /// Versions that should be loaded, sorted.
    pub loaded: Vec<Version>,
}

#[derive(Debug, Deserialize)]
struct Answer {
    accepted: bool,
}

/// Last order that was sent to a server.
#[derive(Clone, Debug)]
struct LastOrder {
    at: Instant,
    /// Whether it loads weights.
    loads: bool,
    /// Load orders since the server last had the desired versions.
    load_attempts: u32,
}

/// Sends the orders of the lease holder.
pub struct Orders {
    client: Client,
    last_orders: Table<LastOrder>,
    last_load: Option<Instant>,
}

struct Task {
    server: ServerId,
    address: SocketAddr,
    order: Order,
    loads: bool,
}

impl Orders {
    /// Creates a sender without earlier orders.
    pub fn new(client: Client) -> Self {
        Self { client, last_orders: Table::new(), last_load: None }
    }

    /// Sends an order to each server that reports other versions than it should have loaded. Does
    /// nothing without the lease. Each order ends before the holder has to stop acting.
    pub async fn round(&mut self, snapshot: &Snapshot, monitor: &Monitor, lease: &Lease) {
        let Some(fence) = lease.fence(ORDER_TIMEOUT) else { return };
        let tasks = self.tasks(snapshot, monitor, fence);
        let client = &self.client;
        let sent: Vec<(ServerId, bool)> = stream::iter(tasks)
            .map(|task| async move {
                if lease.fence(ORDER_TIMEOUT) == Some(fence) {
                    send(client, &task).await;
                }
                (task.server, task.loads)
            })
            .buffer_unordered(MAX_CONCURRENT_ORDERS)
            .collect()
            .await;
        for (server, loads) in sent {
            let attempts = self.last_orders.get(&server).map_or(0, |last| last.load_attempts);
            let load_attempts = if loads { attempts + 1 } else { attempts };
            let last = LastOrder { at: Instant::now(), loads, load_attempts };
            self.last_orders.insert(server, last);
        }
    }

    /// Returns the orders that are due.
    fn tasks(&mut self, snapshot: &Snapshot, monitor: &Monitor, fence: u64) -> Vec<Task> {
        let now = Instant::now();
        let mut tasks = Vec::new();
        for backend in snapshot.backends.iter() {
            let Some(server) = snapshot.config.servers.get(&backend.id) else { continue };
            if server.models.is_empty()
                || backend.health != Health::Up
                || !self.has_reported_since_order(backend)
            {
                continue;
            }
            let mut desired = desired_releases(snapshot, monitor, backend, server);
            if desired == backend.loaded {
                self.last_orders.remove(&backend.id);
                continue;
            }
            let loads =
                desired.iter().any(|release| backend.loaded.binary_search(release).is_err());
            let may_load = loads && self.may_load(&backend.id, now);
            if loads && !may_load {
                desired.retain(|release| backend.loaded.binary_search(release).is_ok());
                if desired == backend.loaded {
                    continue;
                }
            }
            if may_load {
                self.last_load = Some(now);
            }
            monitor.record_decision(format!("order; server={} loads={may_load}", backend.id));
            tasks.push(Task {
                server: backend.id.clone(),
                address: backend.address,
                order: Order { fence, loaded: desired.into_iter().map(version).collect() },
                loads: may_load,
            });
        }
        tasks
    }

    /// Returns whether the server has reported its versions since its last order.
    fn has_reported_since_order(&self, backend: &Backend) -> bool {
        self.last_orders.get(&backend.id).is_none_or(|last| backend.reported > Some(last.at))
    }

    /// Returns whether a server may load weights now. To protect the weight store, at most one load
    /// order is sent in each [`LOAD_INTERVAL`], and a server whose loads fail has an exponential
    /// backoff.
    fn may_load(&self, server: &ServerId, now: Instant) -> bool {
        if self.last_load.is_some_and(|last| now < last + LOAD_INTERVAL) {
            return false;
        }
        self.last_orders.get(server).is_none_or(|last| {
            let backoff =
                LOAD_INTERVAL * 2_u32.saturating_pow(last.load_attempts.min(MAX_LOAD_DOUBLINGS));
            !last.loads || now >= last.at + backoff.min(MAX_LOAD_BACKOFF)
        })
    }
}

/// Returns the releases that a server should have loaded, sorted: of its models the stable versions
/// and those under roll-out, and the releases that are already loaded; without those that are
/// withdrawn or suspended.
fn desired_releases(
    snapshot: &Snapshot,
    monitor: &Monitor,
    backend: &Backend,
    server: &Server,
) -> Vec<Release> {
    let config = &snapshot.config;
    let mut desired: Vec<Release> = backend.loaded.clone();
    for model in &server.models {
        let stable = config.models.get(model).map(|row| row.stable.clone());
        let under_rollout = config.rollouts.iter().filter(|row| row.value.model == *model);
        let versions = stable.into_iter().chain(under_rollout.map(|row| row.value.to.clone()));
        desired.extend(versions.map(|version| Release { model: model.clone(), version }));
    }
    desired.retain(|release| is_usable(snapshot, release) && monitor.exclusion(release).is_none());
    desired.sort();
    desired.dedup();
    desired
}

/// Returns whether a release is configured and not withdrawn.
fn is_usable(snapshot: &Snapshot, release: &Release) -> bool {
    let model = snapshot.config.models.get(&release.model);
    let version = model.and_then(|model| model.versions.get(&release.version));
    version.is_some_and(|version| version.state != State::Withdrawn)
}

fn version(release: Release) -> Version {
    Version { model: release.model, version: release.version }
}

async fn send(client: &Client, task: &Task) {
    let answer: Result<Answer, _> =
        client.post(task.address, "/orders", &task.order, ORDER_TIMEOUT).await;
    match answer {
        Ok(answer) if answer.accepted => {}
        Ok(_) => log::warn!("engine refused an order as stale; server={}", task.server),
        Err(error) => log::warn!(
            "no valid answer to an order that may have been applied; server={} cause={error}",
            task.server
        ),
    }
}
