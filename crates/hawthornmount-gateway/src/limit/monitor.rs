//! The limits as the traffic thread and the follower of the store share them.

use {
    super::{Change, Limits, Rate},
    crate::registry::Server,
    hawthornmount_core::{id::RequestId, metrics::Metrics},
    parking_lot::Mutex,
    std::{sync::Arc, time::Instant},
};

/// Name of the gauge of the servers that state a limit.
const SERVERS_GAUGE: &str = "limited_servers";

/// Shares the limits, and logs how they change.
pub struct Monitor {
    metrics: Metrics,
    limits: Mutex<Limits>,
}

impl Monitor {
    /// Creates a monitor without limits.
    pub fn new(metrics: Metrics) -> Self {
        metrics.gauges.with_label_values(&[SERVERS_GAUGE]).set(0);
        Self { metrics, limits: Mutex::default() }
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
        let change = limits.record_answer(&server.id, server.start_ms, rate, sent_at);
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

    /// Removes the limits of servers for which `is_known` is false.
    pub fn retain(&self, is_known: impl Fn(&Arc<str>) -> bool) {
        let mut limits = self.limits.lock();
        limits.retain(is_known);
        self.set_gauge(&limits);
    }

    fn set_gauge(&self, limits: &Limits) {
        let count = i64::try_from(limits.count()).unwrap_or(i64::MAX);
        self.metrics.gauges.with_label_values(&[SERVERS_GAUGE]).set(count);
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
