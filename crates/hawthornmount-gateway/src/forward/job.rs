//! A request as it is handed to servers, and what became of it so far.

use {
    crate::{
        filter::{Answer, Exchange},
        ladder::{self, Rung},
        load::Load,
        message::{Ask, EventId},
        route::Named,
        view::{Holder, View},
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
const UNUSUAL_WAIT: u32 = 4;
/// Part of the target latency up to which no silence is unusual.
const SILENT_PART: f64 = 1.5;

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
    pub ask: Ask,
    /// Route of the request.
    pub route: Arc<Named>,
    /// Service that gets it.
    pub service: ServiceId,
    /// Account of the caller.
    pub holder: Option<Holder>,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// What became of a request so far.
#[derive(Debug, Default)]
pub struct Course {
    /// Servers that it was sent to.
    pub attempts: u32,
    /// Servers that are not tried again.
    pub tried: Vec<ServerId>,
    /// Whether a server may have run it.
    pub ran: bool,
    /// Whether a server has it now.
    pub pending: bool,
    /// Model that is asked.
    pub rung: Option<Rung>,
    /// Answer of a server that failed.
    pub failure: Option<Answer>,
    /// Whether the last server was chosen to fill it on trial.
    pub is_trial: bool,
    /// Prompt tokens that the last server had to read.
    pub unread: u32,
    /// Time in which the last server reads them, in milliseconds.
    pub read_ms: f64,
    /// Wait with which the last server was chosen.
    pub expected: Duration,
    /// Load that the last server told with its answer.
    pub load: Option<Load>,
    /// Why it is sent again.
    pub cause: Option<Retry>,
}

impl Job {
    /// Creates the job of an exchange for a service.
    pub fn new(exchange: &Exchange, route: Arc<Named>, service: ServiceId) -> Self {
        let head = &exchange.head;
        let target = head.uri.path_and_query().map(|path| path.as_str()).unwrap_or("/");
        let wait = exchange.ask.patience.unwrap_or(route.route.timeout);
        Self {
            id: exchange.id.clone(),
            method: head.method.clone(),
            target: target.parse().unwrap_or_else(|_| Uri::from_static("/")),
            headers: head.headers.clone(),
            body: exchange.body.clone(),
            ask: exchange.ask.clone(),
            route,
            service,
            holder: exchange.holder.clone(),
            arrived: exchange.arrived,
            deadline: exchange.arrived + wait,
        }
    }

    /// Returns when the caller gets a final answer at the latest.
    pub fn bound(&self) -> Instant {
        self.deadline.min(self.arrived + self.route.route.timeout)
    }

    /// Tells whether the request may only run while its key holds.
    pub fn is_keyed(&self) -> bool {
        self.holder.is_some() && !self.route.route.anonymous
    }

    /// Tells whether the key still belongs to the same account.
    pub fn is_held_in(&self, view: &View) -> bool {
        let holder = self.ask.key.as_deref().and_then(|key| view.rules.holder(key));
        holder.map(|holder| &holder.account) == self.holder.as_ref().map(|holder| &holder.account)
    }

    /// Returns the urgency.
    pub fn rank(&self) -> Rank {
        let own = self.holder.as_ref().and_then(|holder| holder.rank);
        own.unwrap_or(self.route.route.rank)
    }

    /// Returns the model on a rung, or the one that the caller named.
    pub fn model(&self, rung: Option<Rung>) -> Option<&ModelId> {
        rung.and_then(|rung| self.route.route.ladder.get(rung)).or(self.ask.model.as_ref())
    }

    /// Returns the rung on which the request starts, if the router chooses the model.
    pub fn start(&self) -> Option<Rung> {
        if self.ask.any_model { ladder::start(self.route.route.ladder.len()) } else { None }
    }

    /// Returns how long an attempt may take to begin its answer before another server is tried, if
    /// the request may run twice; `expected` is the wait with which the server was chosen.
    pub fn impatience(&self, expected: Duration) -> Option<Duration> {
        let route = &self.route.route;
        if !route.is_idempotent() {
            return None;
        }
        let left = self.bound().saturating_duration_since(Instant::now());
        let unusual = (expected * UNUSUAL_WAIT).max(route.target_latency.mul_f64(SILENT_PART));
        Some(unusual.min(route.target_latency * 3).min(left / 2))
    }

    /// Returns the event after which an answer starts, as the caller asked.
    pub const fn resume_after(&self) -> Option<EventId> {
        self.ask.resume_after
    }
}
