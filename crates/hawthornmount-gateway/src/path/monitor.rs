//! The beliefs about the links to the servers of each service as the parts of an instance share them,
//! and the checks behind them.

use {
    super::{
        links::{Check, Links, Reach},
        neighbour::{Neighbour, Neighbours, Query},
    },
    crate::{registry::Server, time, view::Cell},
    futures::{StreamExt, future, stream::FuturesUnordered},
    hawthornmount_core::{
        id::{DataCentreId, ServiceId},
        metrics::Metrics,
    },
    hawthornmount_http::connection::Connection,
    parking_lot::Mutex,
    rand::seq::SliceRandom,
    std::{sync::Arc, time::Duration},
    tokio::sync::Notify,
};

/// Name of the gauge that is 1 while servers of all services are reached, else 0.
const GAUGE: &str = "servers_reached";
/// Servers to which a check opens a connection.
const CHECKED_SERVERS: usize = 4;
/// Time in which a connection of a check has to be established. The longest round trip between
/// regions takes some tens of milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time between two looks at whether a check is due.
const TICK: Duration = Duration::from_millis(200);

/// The links to the servers of a service.
struct Row {
    service: ServiceId,
    links: Links,
    /// Attempts that wait for a server.
    waiting: usize,
}

/// Shares the beliefs whether servers are reached, and logs how they change.
pub struct Monitor {
    cell: Arc<Cell>,
    metrics: Metrics,
    /// In order of the services.
    rows: Mutex<Vec<Row>>,
    neighbours: Mutex<Neighbours>,
    /// Secret with which other instances mark the requests that they pass to this one.
    secret: Mutex<Option<Arc<str>>>,
    /// Wakes the checks after a failure.
    failed: Notify,
    /// Wakes those that wait for the result of a check.
    checked: Notify,
}

/// Counts an attempt that waits for a server of a service until it is dropped.
pub struct Waiting {
    monitor: Arc<Monitor>,
    service: ServiceId,
}

impl Monitor {
    /// Creates a monitor of the links to the servers of a view.
    pub fn new(cell: Arc<Cell>, metrics: Metrics) -> Self {
        metrics.gauges.with_label_values(&[GAUGE]).set(1);
        Self {
            cell,
            metrics,
            rows: Mutex::default(),
            neighbours: Mutex::default(),
            secret: Mutex::default(),
            failed: Notify::new(),
            checked: Notify::new(),
        }
    }

    /// Returns whether no server of a service is reached.
    pub fn is_cut_off(&self, service: &ServiceId) -> bool {
        self.with_row(service, |row| row.links.reach() == Reach::CutOff)
    }

    /// Counts an attempt that waits for a server of a service.
    pub fn wait(self: &Arc<Self>, service: &ServiceId) -> Waiting {
        self.with_row(service, |row| row.waiting += 1);
        Waiting { monitor: self.clone(), service: service.clone() }
    }

    /// Records bytes of a server of a service, or an established connection.
    pub fn record_contact(&self, service: &ServiceId) {
        self.with_row(service, |row| row.links.record_contact(time::now()));
    }

    /// Records that a connection to a server of a service failed or broke.
    pub fn record_failure(&self, service: &ServiceId) {
        self.with_row(service, |row| row.links.record_failure(time::now()));
        self.failed.notify_one();
    }

    /// Replaces the instances to which requests can be passed.
    pub fn set_neighbours(&self, neighbours: Vec<Arc<Neighbour>>) {
        self.neighbours.lock().set(neighbours);
    }

    /// Sets the secret with which other instances mark the requests that they pass to this one.
    pub fn set_secret(&self, secret: Option<Arc<str>>) {
        *self.secret.lock() = secret;
    }

    /// Returns that secret, once it is known.
    pub fn secret(&self) -> Option<Arc<str>> {
        self.secret.lock().clone()
    }

    /// Returns whether a destination of requests is an instance.
    pub fn is_neighbour(&self, destination: &str) -> bool {
        self.neighbours.lock().contains(destination)
    }

    /// Records whether an instance reaches servers of a service.
    pub fn record_neighbour(&self, neighbour: &Neighbour, service: &ServiceId, has_path: bool) {
        self.neighbours.lock().record(neighbour, service, has_path, time::now());
    }

    /// Chooses an instance to which a request is passed; see [`Neighbours::choose`].
    pub fn choose_neighbour(
        &self,
        query: Query<'_>,
        load: impl Fn(&Neighbour) -> Option<u32>,
    ) -> Option<Arc<Neighbour>> {
        self.neighbours.lock().choose(query, load, rand::random, time::now())
    }

    /// Returns the number of other instances, and how many of them are known to reach no server of a
    /// service.
    pub fn neighbour_counts(&self, service: &ServiceId) -> (usize, usize) {
        self.neighbours.lock().counts(service, time::now())
    }

    /// Waits for the result of a check of a service that is due or under way.
    pub async fn settle(&self, service: &ServiceId) {
        let settled = async {
            loop {
                let checked = self.checked.notified();
                let is_open = self.with_row(service, |row| {
                    row.links.is_checking() || row.links.needs_check(false, time::now())
                });
                if !is_open {
                    return;
                }
                checked.await;
            }
        };
        if tokio::time::timeout(CHECK_TIMEOUT + TICK, settled).await.is_err() {
            log::debug!("the check of the links took too long; service={service}");
        }
    }

    /// Checks the links when that is due, and calls `adapt` when the belief about a service changes; never
    /// returns.
    pub async fn run(&self, adapt: impl Fn(&ServiceId, Reach)) {
        loop {
            let _elapsed = tokio::time::timeout(TICK, self.failed.notified()).await;
            let checks = self.begin_checks().into_iter().map(async |service| {
                if let Some(reach) = self.check(&service).await {
                    adapt(&service, reach);
                }
                self.checked.notify_waiters();
            });
            future::join_all(checks).await;
        }
    }

    /// Returns the services whose links have to be checked, and marks them as being checked.
    fn begin_checks(&self) -> Vec<ServiceId> {
        let now = time::now();
        let mut rows = self.rows.lock();
        let due = rows.iter_mut().filter(|row| row.links.needs_check(row.waiting > 0, now));
        due.map(|row| {
            row.links.begin_check(now);
            row.service.clone()
        })
        .collect()
    }

    /// Opens connections to a sample of the servers of a service, and returns the belief if it changes.
    async fn check(&self, service: &ServiceId) -> Option<Reach> {
        let servers = self.sample(service);
        let is_cut_off = self.is_cut_off(service);
        let mut attempts: FuturesUnordered<_> =
            servers.iter().map(|server| Connection::open(server.address, CHECK_TIMEOUT)).collect();
        let mut check = Check { tried: servers.len(), reached: 0 };
        while let Some(result) = attempts.next().await {
            check.reached += usize::from(result.is_ok());
            // One is enough unless the belief is that none is reached.
            if check.reached > 0 && !is_cut_off {
                break;
            }
        }
        let reach = self.with_row(service, |row| row.links.record_check(check, time::now()))?;
        self.publish();
        match reach {
            Reach::CutOff => log::warn!(
                "reaches no server; service={service} checked={} data_centres={}",
                servers.len(),
                data_centres(&servers).len()
            ),
            Reach::Servers => log::info!(
                "reaches servers again; service={service} checked={} reached={}",
                check.tried,
                check.reached
            ),
        }
        Some(reach)
    }

    fn publish(&self) {
        let is_reached = self.rows.lock().iter().all(|row| row.links.reach() == Reach::Servers);
        self.metrics.gauges.with_label_values(&[GAUGE]).set(i64::from(is_reached));
    }

    /// Applies a function to the links of a service, which are created on first use.
    fn with_row<T>(&self, service: &ServiceId, apply: impl FnOnce(&mut Row) -> T) -> T {
        let mut rows = self.rows.lock();
        let at = match rows.binary_search_by(|row| row.service.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let links = Links::new(time::now());
                rows.insert(at, Row { service: service.clone(), links, waiting: 0 });
                at
            }
        };
        apply(&mut rows[at])
    }

    /// Returns servers of a service for a check, of as many data centres as possible.
    fn sample(&self, service: &ServiceId) -> Vec<Arc<Server>> {
        let mut servers: Vec<Arc<Server>> = self.cell.load().servers(service).to_vec();
        servers.shuffle(&mut rand::rng());
        let mut sample: Vec<Arc<Server>> = Vec::new();
        for data_centre in data_centres(&servers) {
            let first = servers.iter().position(|server| server.data_centre == data_centre);
            sample.extend(first.map(|at| servers.swap_remove(at)));
        }
        sample.extend(servers);
        sample.truncate(CHECKED_SERVERS);
        sample
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.monitor.with_row(&self.service, |row| row.waiting = row.waiting.saturating_sub(1));
    }
}

/// Returns the data centres of servers, each once.
fn data_centres(servers: &[Arc<Server>]) -> Vec<DataCentreId> {
    let mut names: Vec<DataCentreId> =
        servers.iter().map(|server| server.data_centre.clone()).collect();
    names.sort_unstable();
    names.dedup();
    names
}
