//! Routes: which service a request goes to by its host and path, and how it is treated there.

use {
    crate::id::{ModelId, ServiceId},
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::{sync::Arc, time::Duration},
};

/// Urgency of a request; 0 is the most urgent.
pub type Rank = u8;

/// A way from a host and path to services.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Host of the requests.
    pub host: Arc<str>,
    /// First characters of the path; the longest prefix of a host wins.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub kind: Kind,
    /// Services that share the requests by weight.
    pub targets: Vec<Target>,
    /// Time after which the caller gets a final answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is on time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "target_latency_ms")]
    pub target_latency: Duration,
    /// Longest pause between two events of a stream that is on time.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, rename = "event_gap_ms", skip_serializing_if = "Option::is_none")]
    pub event_gap: Option<Duration>,
    /// Most servers that one request may be sent to.
    #[serde(default = "one_attempt")]
    pub attempts: u32,
    /// Urgency of the requests.
    #[serde(default)]
    pub rank: Rank,
    /// Whether callers need no key.
    #[serde(default)]
    pub anonymous: bool,
    /// Whether a stream may be resumed at another server after its last whole event.
    #[serde(default)]
    pub resumable: bool,
    /// Models from small to large of which one is chosen for each request; empty if callers name
    /// the model or the service has none.
    #[serde(default)]
    pub ladder: Vec<ModelId>,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Requests that may run more than once.
    Idempotent,
    /// Requests that run at most once.
    NonIdempotent,
    /// Streams of events; idempotent only where the route is resumable.
    Stream,
}

/// A service with its part of a route's requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Part of the requests against the other targets' weights.
    #[serde(default = "one_weight")]
    pub weight: u32,
}

impl Route {
    /// Tells whether a request of the route may run more than once.
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
