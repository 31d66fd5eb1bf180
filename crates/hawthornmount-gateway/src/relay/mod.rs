//! Relay of the store's content between the instances of a data centre.
//!
//! Reading the store costs a call, and the response contains every key. So that calls and bytes do
//! not grow with the number of instances, one instance of each data centre reads the store and the
//! others follow it: they ask it for the changes since those that they know, and wait for the
//! response until it has changes or a newer confirmation that nothing else has changed.
//!
//! Any instance can answer, since each has a [`Replica`]. Which instance to follow is decided by
//! [`source::Selector`]: the first in an order that all instances share, skipping those that failed
//! recently; an instance that finds none before itself reads the store. There is no election, and
//! two readers only cost calls.
//!
//! A relayed confirmation is never younger than the reader's call to the store: the response states
//! the time between the arrival of the request and that call, and the follower counts from the time
//! at which it sent the request. Frames are authenticated with a secret of the instance that
//! answers, which is stored with its address.

pub mod bound;
pub mod client;
pub mod message;
pub mod server;
pub mod source;
pub mod transfer;

use {
    crate::{
        follow::replica::Replica, freshness::Freshness, membership::Peer, rollout::evidence::Report,
    },
    async_trait::async_trait,
    client::Failed,
    hawthornmount_core::{
        id::{InstanceId, ServiceId},
        metrics::Metrics,
    },
    hawthornmount_fleet::wire::Reject,
    hawthornmount_http::capacity::Shortage,
    message::{Fetch, Follow, InFlight, Part, Update},
    parking_lot::Mutex,
    std::{sync::Arc, time::Duration},
    tokio::sync::watch,
};

/// Name of this part in the metrics.
const PART: &str = "relay";

/// Report of another instance on a roll-out.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerReport {
    /// Service whose version is rolled out.
    pub service: ServiceId,
    /// Name under which the instance reports, new with each of its starts.
    pub reporter: Arc<str>,
    /// The report.
    pub report: Report,
}

/// Connection to the other instances.
#[async_trait]
pub trait Link: Send + Sync {
    /// Asks an instance for what is newer, and waits for it for the time that the request states.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance gives no valid response in time.
    async fn follow(&self, peer: &Peer, request: Follow) -> Result<Update, Failed>;

    /// Delivers a report on a roll-out to an instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance does not confirm the report in time.
    async fn report(&self, peer: &Peer, report: PeerReport) -> Result<(), Failed>;

    /// Asks an instance for a part of a large value; `None` if it does not send the value at present.
    ///
    /// # Errors
    ///
    /// Returns an error if the instance gives no valid response in time.
    async fn fetch(&self, peer: &Peer, request: Fetch) -> Result<Option<Part>, Failed>;
}

/// Time for which the load that a follower stated counts. It states a new one with each request.
const FOLLOWER_LOAD_LIFETIME: Duration = Duration::from_secs(4);

/// Requests that a follower has in flight.
struct FollowerLoad {
    follower: InstanceId,
    services: Vec<InFlight>,
    arrived: Duration,
}

/// Data that the follower of the store and the server for other instances share.
pub struct Shared {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Content of the store.
    pub replica: Mutex<Replica>,
    /// Age of the content.
    pub freshness: Arc<Freshness>,
    /// Secret that authenticates frames, once it is known.
    secret: Mutex<Option<Arc<str>>>,
    reports: Mutex<Vec<PeerReport>>,
    in_flight: Mutex<Vec<FollowerLoad>>,
    /// Large values that are sent to other instances.
    pub outbox: Mutex<transfer::Outbox>,
    /// Counts the changes of the replica and the confirmations.
    progress: watch::Sender<u64>,
    metrics: Metrics,
}

impl Shared {
    /// Creates the shared data of an instance without content.
    pub fn new(instance: InstanceId, freshness: Arc<Freshness>) -> Self {
        Self {
            instance,
            replica: Mutex::new(Replica::new(rand::random())),
            freshness,
            secret: Mutex::default(),
            reports: Mutex::default(),
            in_flight: Mutex::default(),
            outbox: Mutex::default(),
            progress: watch::Sender::new(0),
            metrics: Metrics::new(),
        }
    }

    /// Counts rejected frames in `metrics`.
    #[must_use]
    pub fn with_metrics(mut self, metrics: Metrics) -> Self {
        self.metrics = metrics;
        self
    }

    /// Counts a frame that this instance rejected, or that no other instance would accept.
    pub fn count_rejected(&self, reject: Reject) {
        self.metrics.count_drop(PART, &reject.to_string());
    }

    /// Counts a connection that was closed because something is short.
    pub fn count_shortage(&self, shortage: Shortage) {
        self.metrics.count_drop(PART, &shortage.to_string());
    }

    /// Wakes the requests of followers after a change or a confirmation.
    pub fn notify(&self) {
        self.progress.send_modify(|count| *count += 1);
    }

    /// Sets the secret that authenticates frames.
    pub fn set_secret(&self, secret: Option<Arc<str>>) {
        *self.secret.lock() = secret;
    }

    /// Records the requests that a follower has in flight, as it stated at `arrived`.
    pub fn record_in_flight(
        &self,
        follower: &InstanceId,
        services: Vec<InFlight>,
        arrived: Duration,
    ) {
        let load = FollowerLoad { follower: follower.clone(), services, arrived };
        let mut loads = self.in_flight.lock();
        match loads.binary_search_by(|known| known.follower.cmp(follower)) {
            Ok(at) => loads[at] = load,
            Err(at) => loads.insert(at, load),
        }
    }

    /// Returns the requests that the followers have in flight, by service. Instances that have
    /// stopped following don't count.
    pub fn in_flight(&self) -> Vec<InFlight> {
        let now = self.freshness.now();
        let mut loads = self.in_flight.lock();
        loads.retain(|load| now < load.arrived + FOLLOWER_LOAD_LIFETIME);
        let mut sums: Vec<InFlight> = Vec::new();
        for one in loads.iter().flat_map(|load| &load.services) {
            match sums.binary_search_by(|sum| sum.service.cmp(&one.service)) {
                Ok(at) => sums[at].requests += one.requests,
                Err(at) => sums.insert(at, one.clone()),
            }
        }
        sums
    }

    /// Adds a report of another instance.
    pub fn add_report(&self, report: PeerReport) {
        self.reports.lock().push(report);
    }

    /// Returns the reports of other instances that arrived since the last call.
    pub fn take_reports(&self) -> Vec<PeerReport> {
        std::mem::take(&mut self.reports.lock())
    }
}
