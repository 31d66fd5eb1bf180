//! A request as it is handed to servers, and what became of it so far.

use {
    crate::{
        cascade::{self, Level},
        filter::{Exchange, Response},
        load::Load,
        message::{EventId, RequestHead},
        route::Entry,
        view::{Principal, View},
    },
    bytes::Bytes,
    hawthornmount_core::{
        config::Rank,
        id::{ModelId, RequestId, ServerId, ServiceId},
        reason::Retry,
    },
    http::{HeaderMap, Method, Uri},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Multiple of the expected wait past which a server's silence is unusual.
const SLOW_WAIT_FACTOR: u32 = 4;
/// Part of the target latency up to which no silence is unusual.
const MIN_TIMEOUT_TARGETS: f64 = 1.5;

/// A request as it is handed to servers, the same for every attempt.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the request.
    pub id: RequestId,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// What the head asks for.
    pub request: RequestHead,
    /// Route of the request.
    pub route: Arc<Entry>,
    /// Service that gets it.
    pub service: ServiceId,
    /// Account of the caller.
    pub principal: Option<Principal>,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the caller stops waiting.
    pub caller_deadline: Instant,
}

/// What became of a request so far.
#[derive(Debug, Default)]
pub struct Progress {
    /// Servers that it was sent to.
    pub attempts: u32,
    /// Servers that are not tried again.
    pub tried: Vec<ServerId>,
    /// Whether a server may have run it.
    pub may_have_run: bool,
    /// Whether a server has it now.
    pub is_pending: bool,
    /// Model that is asked.
    pub level: Option<Level>,
    /// Answer of a server that failed.
    pub server_failure: Option<Response>,
    /// Whether the last server was chosen to fill it on trial.
    pub is_trial: bool,
    /// Prompt tokens that the last server had to read.
    pub uncached_tokens: u32,
    /// Time in which the last server reads them, in milliseconds.
    pub prefill_ms: f64,
    /// Wait with which the last server was chosen.
    pub expected_wait: Duration,
    /// Load that the last server told with its answer.
    pub reported_load: Option<Load>,
    /// Why it is sent again.
    pub retry_reason: Option<Retry>,
}

impl Job {
    /// Creates the job of an exchange for a service.
    pub fn new(exchange: &Exchange, route: Arc<Entry>, service: ServiceId) -> Self {
        let head = &exchange.head;
        let target = head.uri.path_and_query().map(|path| path.as_str()).unwrap_or("/");
        let wait = exchange.request.timeout.unwrap_or(route.config.timeout);
        Self {
            id: exchange.id.clone(),
            method: head.method.clone(),
            target: target.parse().unwrap_or_else(|_| Uri::from_static("/")),
            headers: head.headers.clone(),
            body: exchange.body.clone(),
            request: exchange.request.clone(),
            route,
            service,
            principal: exchange.principal.clone(),
            arrived: exchange.arrived,
            caller_deadline: exchange.arrived + wait,
        }
    }

    /// Returns when the caller gets a final answer at the latest.
    pub fn deadline(&self) -> Instant {
        self.caller_deadline.min(self.arrived + self.route.config.timeout)
    }

    /// Tells whether the request may only run while its key holds.
    pub fn requires_key(&self) -> bool {
        self.principal.is_some() && !self.route.config.anonymous
    }

    /// Tells whether the key still belongs to the same account.
    pub fn is_key_valid_in(&self, view: &View) -> bool {
        let principal = self.request.key.as_deref().and_then(|key| view.rules.principal(key));
        principal.map(|principal| &principal.account)
            == self.principal.as_ref().map(|principal| &principal.account)
    }

    /// Returns the urgency.
    pub fn rank(&self) -> Rank {
        let own = self.principal.as_ref().and_then(|principal| principal.rank);
        own.unwrap_or(self.route.config.rank)
    }

    /// Returns the model on a rung, or the one that the caller named.
    pub fn model(&self, level: Option<Level>) -> Option<&ModelId> {
        level.and_then(|level| self.route.config.ladder.get(level)).or(self.request.model.as_ref())
    }

    /// Returns the rung on which the request starts, if the router chooses the model.
    pub fn initial_level(&self) -> Option<Level> {
        if self.request.any_model {
            cascade::initial_level(self.route.config.ladder.len())
        } else {
            None
        }
    }

    /// Returns how long an attempt may take to begin its answer before another server is tried, if
    /// the request may run twice; `expected` is the wait with which the server was chosen.
    pub fn attempt_timeout(&self, expected: Duration) -> Option<Duration> {
        let route = &self.route.config;
        if !route.is_idempotent() {
            return None;
        }
        let left = self.deadline().saturating_duration_since(Instant::now());
        let unusual =
            (expected * SLOW_WAIT_FACTOR).max(route.target_latency.mul_f64(MIN_TIMEOUT_TARGETS));
        Some(unusual.min(route.target_latency * 3).min(left / 2))
    }

    /// Returns the event after which an answer starts, as the caller asked.
    pub const fn resume_after(&self) -> Option<EventId> {
        self.request.resume_after
    }
}
