//! Prometheus metrics of an instance.

use {
    crate::reason::{Refusal, Retry},
    prometheus::{
        Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
        TextEncoder,
    },
};

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: &[f64] =
    &[0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 5.0, 10.0, 30.0];

/// Metrics of one instance, each registered once.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by account, model, version and status class.
    pub requests: IntCounterVec,
    /// Refusals by reason.
    pub refusals: IntCounterVec,
    /// Retries by reason.
    pub retries: IntCounterVec,
    /// Messages and other items that were dropped instead of handled, by part and cause.
    pub dropped: IntCounterVec,
    /// Calls to the store by operation and outcome.
    pub store_calls: IntCounterVec,
    /// Seconds from the request's arrival to the end of the answer, by model.
    pub latency: HistogramVec,
    /// Seconds from the request's arrival to the first event of the answer, by model.
    pub first_token: HistogramVec,
    /// Current values by name.
    pub gauges: IntGaugeVec,
}

impl Metrics {
    /// Creates the metrics with the counters of all refusal and retry reasons at zero, so that each
    /// reason is exported before it first occurs.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which is a bug in this module.
    pub fn new() -> Self {
        let registry = Registry::new();
        let metrics = Self {
            requests: counter(
                &registry,
                "requests_total",
                "Requests by account, model, version and status class",
                &["account", "model", "version", "class"],
            ),
            refusals: counter(&registry, "refusals_total", "Refusals by reason", &["reason"]),
            retries: counter(&registry, "retries_total", "Retries by reason", &["reason"]),
            dropped: counter(
                &registry,
                "dropped_total",
                "Things dropped, by part and cause",
                &["part", "cause"],
            ),
            store_calls: counter(
                &registry,
                "store_calls_total",
                "Calls to the store by operation and outcome",
                &["operation", "outcome"],
            ),
            latency: histogram(&registry, "latency_seconds", "Arrival to whole answer"),
            first_token: histogram(&registry, "first_token_seconds", "Arrival to first event"),
            gauges: gauge(&registry, "state", "Present values by name"),
            registry,
        };
        for reason in Refusal::ALL {
            metrics.refusals.with_label_values(&[reason.as_str()]).inc_by(0);
        }
        for reason in Retry::ALL {
            metrics.retries.with_label_values(&[reason.as_str()]).inc_by(0);
        }
        metrics
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: Refusal) {
        self.refusals.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: Retry) {
        self.retries.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts an item that `part` dropped because of `cause`.
    pub fn count_drop(&self, part: &str, cause: &str) {
        self.dropped.with_label_values(&[part, cause]).inc();
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut buffer = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        if let Err(error) = encoded {
            log::error!("metrics can't be encoded, report this as a bug; cause={error}");
        }
        String::from_utf8_lossy(&buffer).into_owned()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("hawthornmount")
}

fn counter(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(options(name, help), labels).expect("valid metric name");
    registry.register(Box::new(metric.clone())).expect("unique metric name");
    metric
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGaugeVec {
    let metric = IntGaugeVec::new(options(name, help), &["name"]).expect("valid metric name");
    registry.register(Box::new(metric.clone())).expect("unique metric name");
    metric
}

fn histogram(registry: &Registry, name: &str, help: &str) -> HistogramVec {
    let options = HistogramOpts::from(options(name, help)).buckets(LATENCY_BUCKETS.to_vec());
    let metric = HistogramVec::new(options, &["model"]).expect("valid metric name");
    registry.register(Box::new(metric.clone())).expect("unique metric name");
    metric
}
