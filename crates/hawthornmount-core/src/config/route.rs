//! Routes, which map a request's host and path to services and set its time limits and retries.

use {
    crate::id::{ModelId, RegionId, ServiceId},
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::{sync::Arc, time::Duration},
};

/// Urgency of a request; 0 is the most urgent.
pub type Rank = u8;

/// A mapping from a host and path prefix to services.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Host that requests name.
    pub host: Arc<str>,
    /// Prefix of the path; among the routes of a host, the longest matching prefix wins.
    pub path_prefix: Arc<str>,
    /// Kind of the requests, which decides whether they may run more than once.
    pub kind: Kind,
    /// Services between which the requests are split by weight.
    pub targets: Vec<Target>,
    /// Time limit within which the caller gets a final answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
    /// Target latency of an answer, or of the first event of a stream.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "target_latency_ms")]
    pub target_latency: Duration,
    /// Target for the longest gap between two consecutive events of a stream.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, rename = "event_gap_ms", skip_serializing_if = "Option::is_none")]
    pub event_gap: Option<Duration>,
    /// Maximum number of servers that one request is sent to.
    #[serde(default = "one_attempt")]
    pub attempts: u32,
    /// Urgency of the requests.
    #[serde(default)]
    pub rank: Rank,
    /// Whether requests without a key are accepted.
    #[serde(default)]
    pub anonymous: bool,
    /// Whether a stream may be resumed at another server after its last complete event.
    #[serde(default)]
    pub resumable: bool,
    /// Models, ordered from small to large, from which one is chosen per request; empty if callers
    /// name the model or the service has none.
    #[serde(default)]
    pub ladder: Vec<ModelId>,
    /// Regions in which the requests may be served; empty if they may be served in all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub allowed_regions: Vec<RegionId>,
}

/// Kind of a route's requests, which decides whether they may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Requests that may run more than once.
    Idempotent,
    /// Requests that may run at most once.
    NonIdempotent,
    /// Event streams; idempotent only if the route is resumable.
    Stream,
}

/// A service with its weight in a route's traffic split.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Weight of the service's share of the requests, relative to the other targets.
    #[serde(default = "one_weight")]
    pub weight: u32,
}

impl Route {
    /// Returns whether a request of the route may run more than once.
    pub const fn is_idempotent(&self) -> bool {
        match self.kind {
            Kind::Idempotent => true,
            Kind::NonIdempotent => false,
            Kind::Stream => self.resumable,
        }
    }
}

const fn one_attempt() -> u32 {
    1
}

const fn one_weight() -> u32 {
    1
}
