//! The belief about the links as the parts of an instance share it, and the checks behind it.

use {
    super::{
        links::{Check, Links, Reach},
        neighbour::{Neighbour, Neighbours},
    },
    crate::{registry::Server, time, view::Cell},
    futures::{StreamExt, stream::FuturesUnordered},
    hawthornmount_core::{id::DataCentreId, metrics::Metrics},
    hawthornmount_http::connection::Connection,
    parking_lot::Mutex,
    rand::seq::SliceRandom,
    std::{
        sync::{Arc, atomic::AtomicUsize, atomic::Ordering},
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Name of the gauge that is 1 while servers are reached, else 0.
const GAUGE: &str = "servers_reached";
/// Servers to which a check opens a connection.
const CHECKED_SERVERS: usize = 4;
/// Time in which a connection of a check has to be established. The longest round trip between
/// regions takes some tens of milliseconds.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time between two looks at whether a check is due.
const TICK: Duration = Duration::from_millis(200);

/// Shares the belief whether servers are reached, and logs how it changes.
pub struct Monitor {
    cell: Arc<Cell>,
    metrics: Metrics,
    links: Mutex<Links>,
    neighbours: Mutex<Neighbours>,
    /// Secret with which other instances mark the requests that they pass to this one.
    secret: Mutex<Option<Arc<str>>>,
    /// Attempts that wait for a server.
    waiting: AtomicUsize,
    /// Wakes the checks after a failure.
    failed: Notify,
    /// Wakes those that wait for the result of a check.
    checked: Notify,
}

/// Counts an attempt that waits for a server until it is dropped.
pub struct Waiting(Arc<Monitor>);

impl Monitor {
    /// Creates a monitor of the links to the servers of a view.
    pub fn new(cell: Arc<Cell>, metrics: Metrics) -> Self {
        metrics.gauges.with_label_values(&[GAUGE]).set(1);
        Self {
            cell,
            metrics,
            links: Mutex::new(Links::new(time::now())),
            neighbours: Mutex::default(),
            secret: Mutex::default(),
            waiting: AtomicUsize::new(0),
            failed: Notify::new(),
            checked: Notify::new(),
        }
    }

    /// Returns whether no server is reached.
    pub fn is_cut_off(&self) -> bool {
        self.links.lock().reach() == Reach::CutOff
    }

    /// Counts an attempt that waits for a server.
    pub fn wait(self: &Arc<Self>) -> Waiting {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        Waiting(self.clone())
    }

    /// Records bytes of a server, or an established connection.
    pub fn record_contact(&self) {
        self.links.lock().record_contact(time::now());
    }

    /// Records that a connection to a server failed or broke.
    pub fn record_failure(&self) {
        self.links.lock().record_failure(time::now());
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

    /// Records that an instance reaches no server.
    pub fn record_cut_off(&self, neighbour: &Neighbour) {
        self.neighbours.lock().record_cut_off(neighbour, time::now());
    }

    /// Chooses an instance to which a request is passed; see [`Neighbours::choose`].
    pub fn choose_neighbour(
        &self,
        data_centre: &str,
        load: impl Fn(&Neighbour) -> Option<u32>,
    ) -> Option<Arc<Neighbour>> {
        self.neighbours.lock().choose(data_centre, load, rand::random, time::now())
    }

    /// Returns the number of other instances, and how many of them have said recently that they reach no
    /// server.
    pub fn neighbour_counts(&self) -> (usize, usize) {
        self.neighbours.lock().counts(time::now())
    }

    /// Waits for the result of a check that is due or under way.
    pub async fn settle(&self) {
        let checked = self.checked.notified();
        let is_open = {
            let links = self.links.lock();
            links.is_checking() || links.needs_check(false, time::now())
        };
        if is_open && tokio::time::timeout(CHECK_TIMEOUT + TICK, checked).await.is_err() {
            log::debug!("the check of the links took too long");
        }
    }

    /// Checks the links when that is due, and calls `adapt` when the belief changes; never returns.
    pub async fn run(&self, adapt: impl Fn(Reach)) {
        loop {
            let _elapsed = tokio::time::timeout(TICK, self.failed.notified()).await;
            let is_waiting = self.waiting.load(Ordering::Relaxed) > 0;
            {
                let mut links = self.links.lock();
                if !links.needs_check(is_waiting, time::now()) {
                    continue;
                }
                links.begin_check(time::now());
            }
            if let Some(reach) = self.check().await {
                adapt(reach);
            }
            self.checked.notify_waiters();
        }
    }

    /// Opens connections to a sample of servers, until one is established, and returns the belief if it
    /// changes.
    async fn check(&self) -> Option<Reach> {
        let servers = self.sample();
        let mut attempts: FuturesUnordered<_> =
            servers.iter().map(|server| Connection::open(server.address, CHECK_TIMEOUT)).collect();
        let mut check = Check { tried: servers.len(), has_reached: false };
        while let Some(result) = attempts.next().await {
            if result.is_ok() {
                check.has_reached = true;
                break;
            }
        }
        let reach = self.links.lock().record_check(check, time::now())?;
        let reached = i64::from(reach == Reach::Servers);
        self.metrics.gauges.with_label_values(&[GAUGE]).set(reached);
        match reach {
            Reach::CutOff => log::warn!(
                "reaches no server; checked={} data_centres={}",
                servers.len(),
                data_centres(&servers).len()
            ),
            Reach::Servers => log::info!("reaches servers again"),
        }
        Some(reach)
    }

    /// Returns servers for a check, of as many data centres as possible.
    fn sample(&self) -> Vec<Arc<Server>> {
        let view = self.cell.load();
        let mut servers: Vec<Arc<Server>> = view.all_servers().cloned().collect();
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
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
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
