//! The limits as the traffic thread and the follower of the store share them.

use {
    super::{
        Change, Limits, Rate,
        cold::{self, Cause},
        exchange::{Key, Stored},
        room::Seen,
    },
    crate::{registry::Server, time},
    hawthornmount_core::{
        config::Service,
        id::{InstanceId, RequestId},
        metrics::Metrics,
        table::Table,
    },
    hawthornmount_store::{Entry, Txn},
    parking_lot::Mutex,
    std::time::{Duration, Instant},
};

/// Name of the gauge of the servers that state a limit.
const SERVERS_GAUGE: &str = "limited_servers";

/// Name of the gauge of the servers that are taken as cold.
const COLD_GAUGE: &str = "cold_servers";

/// Shares the limits, and logs how they change.
pub struct Monitor {
    metrics: Metrics,
    limits: Mutex<Limits>,
}

impl Monitor {
    /// Creates a monitor without limits for an instance.
    pub fn new(instance: InstanceId, metrics: Metrics) -> Self {
        metrics.gauges.with_label_values(&[SERVERS_GAUGE]).set(0);
        metrics.gauges.with_label_values(&[COLD_GAUGE]).set(0);
        Self { metrics, limits: Mutex::new(Limits::new(instance)) }
    }

    /// Sets the instances among which limits are divided.
    pub fn set_members(&self, members: Vec<InstanceId>) {
        self.limits.lock().set_members(members, time::now());
    }

    /// Records what the answer to request `id` states about the limit of its server. `sent_at` is when
    /// the request was sent.
    pub fn record_answer(
        &self,
        id: &RequestId,
        server: &Server,
        rate: Option<Rate>,
        sent_at: Instant,
    ) {
        let mut limits = self.limits.lock();
        let change = limits.record_answer(&server.id, server.start_ms, rate, sent_at, time::now());
        let Some(Change { before, after }) = change else { return };
        self.set_gauge(&limits);
        log::info!(
            "server states a rate limit; id={id} server={} rate={} before={}",
            server.id,
            Text(after),
            Text(before)
        );
    }

    /// Returns the limit of a server, if it states one.
    pub fn rate(&self, server: &Server) -> Option<Rate> {
        self.limits.lock().rate(&server.id, server.start_ms)
    }

    /// Sets what cold servers tolerate beyond their rates.
    #[must_use]
    pub fn with_tolerance(mut self, tolerance: cold::Tolerance) -> Self {
        self.limits.get_mut().set_tolerance(tolerance);
        self
    }

    /// Sets what cold servers take of each service that has cold servers.
    pub fn set_cold_starts(&self, services: &Table<Service>) {
        self.limits.lock().set_cold_starts(services);
    }

    /// Records for how long a server states to remain cold.
    pub fn record_cold(&self, server: &Server, remaining: Duration, cause: Cause) {
        let mut limits = self.limits.lock();
        let change = limits.record_cold(server, remaining, time::now());
        self.report_cold(&limits, server, change, cause);
    }

    /// Records that a server may be cold although it did not state it.
    pub fn assume_cold(&self, server: &Server, cause: Cause) {
        let mut limits = self.limits.lock();
        let change = limits.assume_cold(server, cause, time::now());
        self.report_cold(&limits, server, change, cause);
    }

    /// Logs that a server is taken as cold from now on, or not any more.
    fn report_cold(
        &self,
        limits: &Limits,
        server: &Server,
        change: Option<cold::Change>,
        cause: Cause,
    ) {
        let Some(cold::Change { remaining, requests }) = change else { return };
        self.set_gauge(limits);
        log::info!(
            "server is taken as {}; server={} service={} data_centre={} remaining_ms={} \
             per_second={requests} cause={cause}",
            if remaining.is_zero() { "warm" } else { "cold" },
            server.id,
            server.service,
            server.data_centre,
            remaining.as_millis(),
        );
    }

    /// Records that the server of the answer to request `id` is brittle.
    pub fn record_brittle(&self, id: &RequestId, server: &Server, rejections: u32) {
        if self.limits.lock().record_brittle(&server.service, time::now()) {
            log::warn!(
                "servers are brittle; id={id} server={} service={} rejections={rejections}",
                server.id,
                server.service
            );
        }
    }

    /// Returns whether the servers of a service are brittle.
    pub fn is_brittle(&self, service: &str) -> bool {
        self.limits.lock().is_brittle(service, time::now())
    }

    /// Records that a server rejected a request for want of room while `in_flight` requests of this
    /// instance were in flight there.
    pub fn record_rejection(&self, server: &Server, in_flight: u32) {
        self.limits.lock().record_rejection(server, in_flight, time::now());
    }

    /// Returns whether this instance may ever send a request to a server under its limits.
    pub fn holds_share(&self, server: &Server, now: Instant) -> bool {
        self.limits.lock().holds_share(server, now)
    }

    /// Returns whether a server has a limit.
    pub fn is_limited(&self, server: &Server, now: Instant) -> bool {
        self.limits.lock().is_limited(server, now)
    }

    /// Returns the instances that hold a share of the limits of a server.
    pub fn holders(&self, server: &Server, now: Instant) -> Vec<InstanceId> {
        self.limits.lock().holders(server, now)
    }

    /// Returns whether a server has room for one more request of this instance.
    pub fn has_room(&self, server: &Server, seen: &Seen, now: Instant) -> bool {
        self.limits.lock().has_room(server, seen, now)
    }

    /// Returns the time after which this instance, or another one, may send a request to a server.
    pub fn wait(&self, server: &Server, now: Instant) -> Duration {
        self.limits.lock().wait(&server.id, server.start_ms, now)
    }

    /// Returns whether this instance may send a request to a server now, and counts it.
    pub fn pass(&self, server: &Server) -> bool {
        self.limits.lock().pass(&server.id, server.start_ms, time::now())
    }

    /// Returns whether a request should be sent to a server to learn whether it still has its limit.
    pub fn needs_look(&self, server: &Server, now: Instant) -> bool {
        self.limits.lock().needs_look(&server.id, server.start_ms, now)
    }

    /// Takes a key of the store, and returns whether it holds a limit.
    pub fn put(&self, entry: &Entry) -> bool {
        let Some(key) = Key::parse(&entry.key) else { return false };
        match serde_json::from_slice(&entry.value) {
            Ok(record) => {
                let stored = Stored { record, revision: entry.revision };
                let mut limits = self.limits.lock();
                if let Some(change) = limits.put(&key, stored, time::now()) {
                    self.report_stored(&limits, &key, change);
                }
            }
            Err(error) => {
                log::warn!("skipped a rate limit; key={} cause={error}", entry.key);
            }
        }
        true
    }

    /// Applies a complete list of keys, given whether it contains a key.
    pub fn retain_listed(&self, is_listed: impl Fn(&str) -> bool) {
        let mut limits = self.limits.lock();
        for (key, change) in limits.retain_listed(is_listed, time::now()) {
            self.report_stored(&limits, &key, change);
        }
    }

    /// Returns the writes of limits that are due.
    pub fn take_writes(&self) -> Vec<Txn> {
        self.limits.lock().take_writes(time::now())
    }

    /// Removes the limits of servers for which `is_known` is false, given their names and starts, and
    /// of brittle servers for which `has_server` is.
    pub fn retain(&self, is_known: impl Fn(&str, u64) -> bool, has_server: impl Fn(&str) -> bool) {
        let mut limits = self.limits.lock();
        let now = time::now();
        for server in limits.take_warmed(now) {
            log::info!("server is taken as warm; server={server} cause=time");
        }
        limits.retain_brittle(&has_server, now);
        limits.retain(is_known, now);
        self.set_gauge(&limits);
    }

    /// Logs a change of a limit that the store showed.
    fn report_stored(&self, limits: &Limits, key: &Key, change: Change) {
        self.set_gauge(limits);
        log::info!(
            "server has a rate limit, says the store; server={} rate={} before={}",
            key.server,
            Text(change.after),
            Text(change.before)
        );
    }

    fn set_gauge(&self, limits: &Limits) {
        let count = i64::try_from(limits.count()).unwrap_or(i64::MAX);
        self.metrics.gauges.with_label_values(&[SERVERS_GAUGE]).set(count);
        let cold = i64::try_from(limits.count_cold(time::now())).unwrap_or(i64::MAX);
        self.metrics.gauges.with_label_values(&[COLD_GAUGE]).set(cold);
    }
}

/// A limit in the format of log lines.
struct Text(Option<Rate>);

impl std::fmt::Display for Text {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Some(rate) => write!(formatter, "{rate}"),
            None => formatter.write_str("none"),
        }
    }
}
