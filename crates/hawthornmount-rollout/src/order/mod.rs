//! Orders to engines: each states the versions that should be loaded, and what the engines report
//! is read back until it is so.

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

/// Time that an order may take. Well inside the rest of a lease after the holder stopped acting.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Orders at a time, one for each server.
const AT_A_TIME: usize = 16;
/// Pause between two orders that load weights.
const LOAD_PAUSE: Duration = Duration::from_secs(1);
/// Longest pause between two loads of a server that did not succeed.
const LONGEST_LOAD_PAUSE: Duration = Duration::from_secs(32);

/// A version in an order.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Version {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
}

/// Order that states the versions that an engine should have loaded.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Order {
    /// Fencing number of the lease.
    pub fence: u64,
    /// Versions that should be loaded, in order.
    pub loaded: Vec<Version>,
}

#[derive(Debug, Deserialize)]
struct Answer {
    accepted: bool,
}

/// What was last ordered of a server.
#[derive(Clone, Debug)]
struct Sent {
    at: Instant,
    loads: bool,
    failures: u32,
}

/// Orders of the holder of the lease.
pub struct Orders {
    client: Client,
    sent: Table<Sent>,
    last_load: Option<Instant>,
}

struct Task {
    server: ServerId,
    address: SocketAddr,
    order: Order,
    loads: bool,
}

impl Orders {
    /// Creates orders that have sent nothing.
    pub fn new(client: Client) -> Self {
        Self { client, sent: Table::new(), last_load: None }
    }

    /// Orders each server whose report differs from what should be loaded. Does nothing without
    /// the lease. Each order ends before the holder has to stop acting.
    pub async fn round(&mut self, snapshot: &Snapshot, monitor: &Monitor, lease: &Lease) {
        let Some(fence) = lease.fence(TIMEOUT) else { return };
        let tasks = self.tasks(snapshot, monitor, fence);
        let client = &self.client;
        let sent: Vec<(ServerId, bool)> = stream::iter(tasks)
            .map(|task| async move {
                if lease.fence(TIMEOUT) == Some(fence) {
                    send(client, &task).await;
                }
                (task.server, task.loads)
            })
            .buffer_unordered(AT_A_TIME)
            .collect()
            .await;
        for (server, loads) in sent {
            let failures = self.sent.get(&server).map_or(0, |one| one.failures);
            let failures = if loads { failures + 1 } else { failures };
            self.sent.insert(server, Sent { at: Instant::now(), loads, failures });
        }
    }

    fn tasks(&mut self, snapshot: &Snapshot, monitor: &Monitor, fence: u64) -> Vec<Task> {
        let now = Instant::now();
        let mut tasks = Vec::new();
        for backend in snapshot.backends.iter() {
            let Some(server) = snapshot.config.servers.get(&backend.id) else { continue };
            if server.models.is_empty()
                || backend.health != Health::Up
                || !self.is_read_back(backend)
            {
                continue;
            }
            let mut wanted = wanted(snapshot, monitor, backend, server);
            if wanted == backend.loaded {
                self.sent.remove(&backend.id);
                continue;
            }
            let loads = wanted.iter().any(|one| backend.loaded.binary_search(one).is_err());
            let may_load = loads && self.may_load(&backend.id, now);
            if loads && !may_load {
                wanted.retain(|one| backend.loaded.binary_search(one).is_ok());
                if wanted == backend.loaded {
                    continue;
                }
            }
            if may_load {
                self.last_load = Some(now);
            }
            monitor.note(format!("order; server={} loads={may_load}", backend.id));
            tasks.push(Task {
                server: backend.id.clone(),
                address: backend.address,
                order: Order { fence, loaded: wanted.into_iter().map(version).collect() },
                loads: may_load,
            });
        }
        tasks
    }

    /// Tells whether the server has reported since its last order.
    fn is_read_back(&self, backend: &Backend) -> bool {
        self.sent.get(&backend.id).is_none_or(|sent| backend.reported > Some(sent.at))
    }

    /// Tells whether the weight store may be asked now: one load at a time, and ever more slowly
    /// for a server whose loads do not succeed.
    fn may_load(&self, server: &ServerId, now: Instant) -> bool {
        if self.last_load.is_some_and(|last| now < last + LOAD_PAUSE) {
            return false;
        }
        self.sent.get(server).is_none_or(|sent| {
            let pause = LOAD_PAUSE * 2_u32.saturating_pow(sent.failures.min(8));
            !sent.loads || now >= sent.at + pause.min(LONGEST_LOAD_PAUSE)
        })
    }
}

/// Returns the releases that a server should have loaded, in order: the stable versions and those
/// under roll-out of its models, and what it has of others that may get work.
fn wanted(
    snapshot: &Snapshot,
    monitor: &Monitor,
    backend: &Backend,
    server: &Server,
) -> Vec<Release> {
    let config = &snapshot.config;
    let mut wanted: Vec<Release> = backend.loaded.clone();
    for model in &server.models {
        let stable = config.models.get(model).map(|row| row.stable.clone());
        let rolled = config.rollouts.iter().filter(|row| row.value.model == *model);
        let versions = stable.into_iter().chain(rolled.map(|row| row.value.to.clone()));
        wanted.extend(versions.map(|version| Release { model: model.clone(), version }));
    }
    wanted.retain(|release| is_alive(snapshot, release) && monitor.against(release).is_none());
    wanted.sort();
    wanted.dedup();
    wanted
}

fn is_alive(snapshot: &Snapshot, release: &Release) -> bool {
    let model = snapshot.config.models.get(&release.model);
    let version = model.and_then(|model| model.versions.get(&release.version));
    version.is_some_and(|version| version.state != State::Withdrawn)
}

fn version(release: Release) -> Version {
    Version { model: release.model, version: release.version }
}

async fn send(client: &Client, task: &Task) {
    let answer: Result<Answer, _> =
        client.post(task.address, "/orders", &task.order, TIMEOUT).await;
    match answer {
        Ok(answer) if answer.accepted => {}
        Ok(_) => log::warn!("an order is refused as stale; server={}", task.server),
        Err(error) => log::warn!("an order is in doubt; server={} cause={error}", task.server),
    }
}
