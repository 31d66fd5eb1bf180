//! A request that is forwarded to servers, and the progress of its attempts.

use {
    super::{attempt::Attempt, handover::RECHECK_INTERVAL, obstacle::Obstacle},
    crate::{
        cascade::{self, Level},
        filter::{Exchange, Response},
        message::{Digest, EventId, RequestHead},
        rollout::plan,
        route::Entry,
        view::Principal,
    },
    bytes::Bytes,
    hawthornmount_core::{
        config::{Rank, Route},
        id::{ModelId, RequestId, ServerId, ServiceId},
        reason::Retry,
    },
    hawthornmount_policy::admission::Permit,
    http::{HeaderMap, Method, Uri},
    parking_lot::Mutex,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Rank of the most urgent requests.
const MOST_URGENT: Rank = 0;
/// Attempt timeout as a multiple of the expected wait; a server that takes longer is unusually
/// slow.
const EXPECTED_WAIT_FACTOR: u32 = 4;
/// Lower limit of the attempt timeout, as a multiple of the target latency.
const MIN_TIMEOUT_TARGETS: f64 = 1.5;
/// Lower limit of the attempt timeout while the instance adapts, as a multiple of the target latency: a
/// server that is tried next can still respond within the target.
const MIN_ADAPTED_TIMEOUT_TARGETS: f64 = 0.45;
/// Upper limit of the attempt timeout, as a multiple of the target latency.
const MAX_TIMEOUT_TARGETS: u32 = 3;

/// Time within which a server refuses that is full at the moment; one that refuses later had the request
/// in its queue.
const REFUSAL_TIME: Duration = Duration::from_millis(300);

/// A request that is forwarded to servers; it is the same for every attempt.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the request.
    pub id: RequestId,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Parsed head of the request.
    pub request: RequestHead,
    /// Route of the request.
    pub route: Arc<Entry>,
    /// Service to which the request is sent.
    pub service: ServiceId,
    /// Account of the caller.
    pub principal: Option<Principal>,
    /// Digest of the request, which is the same whenever its caller sends it again.
    pub digest: Digest,
    /// Whether another instance passed the request to this one.
    pub is_passed: bool,
    /// Number of servers to which the request may be sent.
    pub attempts: u32,
    /// Time at which the request arrived.
    pub arrived: Instant,
    /// Time until which the caller waits; the timeout of the route if the caller states none.
    pub caller_deadline: Instant,
    /// Permit of a request that was admitted, until its last attempt has ended.
    pub permit: Arc<Mutex<Option<Permit>>>,
}

/// Progress of a request over its attempts.
#[derive(Debug, Default)]
pub struct Progress {
    /// Number of servers to which the request was, or may have been, sent.
    pub attempts: u32,
    /// Number of attempts at servers that were tried before.
    pub returns: u32,
    /// Servers to which the request was sent, at any level of the cascade.
    pub contacted: Vec<ServerId>,
    /// Servers that were tried; they are not tried again while another one is left.
    pub tried: Vec<ServerId>,
    /// Servers among them that failed on the request or refused it; they are not tried again.
    pub failed: Vec<ServerId>,
    /// Servers that refused the request at once although it may have run elsewhere, and when; they are
    /// tried again after a pause.
    pub refused: Vec<(ServerId, Instant)>,
    /// Instances that declined the request.
    pub declines: u32,
    /// Number of refusals by servers since the request may have run.
    pub refusals: u32,
    /// Whether a server may have run the request.
    pub may_have_run: bool,
    /// Attempts that are still running, with their servers.
    pub pending: Vec<(ServerId, Marker)>,
    /// Level of the cascade whose model is requested, if the router chooses the model.
    pub level: Option<Level>,
    /// Last failure response of a server, which is returned to the caller if no attempt succeeds.
    pub server_failure: Option<Response>,
    /// Reason for the next attempt, if the request is retried.
    pub retry_reason: Option<Retry>,
    /// How the last attempt ended that was to replace a server, if it has ended.
    pub replacement: Option<Retry>,
    /// Why the request was not sent to another server, if that was tried last.
    pub obstacle: Option<Obstacle>,
}

/// Marks when the request of an attempt may have reached its server.
#[derive(Clone, Debug, Default)]
pub struct Marker(Arc<Mutex<Option<Instant>>>);

impl Marker {
    /// Records that the request may reach the server from now on.
    pub fn set_sent(&self) {
        *self.0.lock() = Some(Instant::now());
    }

    /// Records that nothing of the request was sent.
    pub fn clear(&self) {
        *self.0.lock() = None;
    }

    /// Returns the time from which the request may have reached the server.
    pub fn sent_at(&self) -> Option<Instant> {
        *self.0.lock()
    }

    /// Returns whether both mark the same attempt.
    pub fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

impl Progress {
    /// Adds an attempt that begins.
    pub fn begin(&mut self, attempt: &Attempt) {
        self.contacted.push(attempt.server.id.clone());
        self.pending.push((attempt.server.id.clone(), attempt.marker.clone()));
    }

    /// Removes an attempt that has ended.
    pub fn end(&mut self, marker: &Marker) {
        self.pending.retain(|(_, pending)| !pending.is_same(marker));
    }

    /// Removes an attempt that is given up before it has ended.
    pub fn abandon(&mut self, marker: &Marker) {
        self.may_have_run |= marker.sent_at().is_some();
        self.end(marker);
    }

    /// Records that a server refused the request. A refusal counts as an attempt as long as the
    /// request itself can be refused; after that, refusals are counted on their own.
    pub fn record_refusal(&mut self, attempt: &Attempt, now: Instant) {
        let was_at_once = now < attempt.chosen_at + REFUSAL_TIME;
        if self.may_run() && was_at_once {
            self.refused.push((attempt.server.id.clone(), now));
        } else {
            self.failed.push(attempt.server.id.clone());
        }
        if self.may_run() {
            self.take_back(attempt);
            self.refusals += 1;
        }
    }

    /// Counts an attempt.
    pub fn count(&mut self, attempt: &Attempt) {
        if attempt.is_return {
            self.returns += 1;
        } else {
            self.attempts += attempt.servers;
        }
    }

    /// Removes an attempt from the count whose server did not take the request.
    pub fn take_back(&mut self, attempt: &Attempt) {
        if !attempt.is_return {
            self.attempts -= attempt.servers;
        }
    }

    /// Returns whether the request may be sent to servers that were not tried, of which too many may
    /// have refused it.
    pub const fn may_ask_others(&self, route: &Route) -> bool {
        self.refusals < route.attempts
    }

    /// Returns whether the request may be sent to a server that was tried before.
    pub fn can_go_back(&self, route: &Route, now: Instant) -> bool {
        self.tried.iter().any(|server| self.may_return(server, route, now))
    }

    /// Returns whether the request may be sent again at `now` to a server that was tried before: one that
    /// is not at work on it and did not refuse it a moment ago.
    pub fn may_return(&self, server: &ServerId, route: &Route, now: Instant) -> bool {
        let is_pending = self.pending.iter().any(|(pending, _)| pending == server);
        let mut recent = self.refused.iter().filter(|(_, at)| now < *at + RECHECK_INTERVAL);
        self.may_return_later(server, route)
            && !is_pending
            && !recent.any(|(refused, _)| refused == server)
    }

    /// Returns whether the request may be sent again, at some time, to a server that was tried before:
    /// one that did not fail, and did not refuse it if too many have.
    fn may_return_later(&self, server: &ServerId, route: &Route) -> bool {
        let has_refused = self.refused.iter().any(|(refused, _)| refused == server);
        self.returns < route.attempts
            && self.tried.contains(server)
            && !self.failed.contains(server)
            && (self.may_ask_others(route) || !has_refused)
    }

    /// Returns whether a server that was tried before, and that is still known, may take the request
    /// later.
    pub fn can_wait(&self, route: &Route, is_known: impl Fn(&ServerId) -> bool) -> bool {
        let may_take = |server: &ServerId| is_known(server) && self.may_return_later(server, route);
        self.may_have_run
            && self.pending.is_empty()
            && self.tried.iter().any(may_take)
            && self.obstacle.is_some_and(Obstacle::is_temporary)
    }

    /// Returns whether a server may have run the request, or may do so now.
    pub fn may_run(&self) -> bool {
        self.may_have_run || self.pending.iter().any(|(_, marker)| marker.sent_at().is_some())
    }
}

impl Job {
    /// Creates a job that sends the request of an exchange to a service.
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
            attempts: exchange.attempts.unwrap_or(u32::MAX).min(route.config.attempts),
            route,
            service,
            principal: exchange.principal.clone(),
            digest: digest(exchange),
            is_passed: exchange.is_passed,
            arrived: exchange.arrived,
            caller_deadline: exchange.arrived + wait,
            permit: Arc::default(),
        }
    }

    /// Returns the time by which the caller receives a response at the latest: the deadline of the
    /// caller or of the route, whichever is earlier.
    pub fn deadline(&self) -> Instant {
        self.caller_deadline.min(self.arrived + self.route.config.timeout)
    }

    /// Returns the time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }

    /// Returns whether a trial of a new version could use the request: its prompt is short. A trial
    /// fills servers, which makes requests wait, so that the most urgent ones are left out if the
    /// instance adapts to callers who compete for room.
    pub fn is_trial_sized(&self, adapts: bool) -> bool {
        self.request.prompt_tokens <= plan::SHORT_PROMPT_TOKENS
            && !(adapts && self.is_most_urgent())
    }

    /// Returns whether the route of the request has the most urgent rank.
    pub fn is_most_urgent(&self) -> bool {
        self.route.config.rank == MOST_URGENT
    }

    /// Returns the priority of the account, or that of the route if the account has none.
    pub fn rank(&self) -> Rank {
        let own = self.principal.as_ref().and_then(|principal| principal.rank);
        own.unwrap_or(self.route.config.rank)
    }

    /// Returns the model at a level of the cascade, or the one that the caller requested.
    pub fn model(&self, level: Option<Level>) -> Option<&ModelId> {
        level.and_then(|level| self.route.config.ladder.get(level)).or(self.request.model.as_ref())
    }

    /// Returns the level of the cascade at which the request starts, if the router chooses the
    /// model.
    pub fn initial_level(&self) -> Option<Level> {
        if self.request.any_model {
            cascade::initial_level(self.route.config.ladder.len())
        } else {
            None
        }
    }

    /// Returns the time in which an attempt has to start its response before another server is
    /// tried: at most half of the time until the deadline. Returns `None` if the request must not
    /// run twice. `expected_wait` is the wait that was expected when the server was chosen;
    /// `adapts` is whether the instance adapts to servers that differ.
    pub fn attempt_timeout(&self, expected_wait: Duration, adapts: bool) -> Option<Duration> {
        let route = &self.route.config;
        if !route.is_idempotent() {
            return None;
        }
        let left = self.time_left();
        let least = if adapts { MIN_ADAPTED_TIMEOUT_TARGETS } else { MIN_TIMEOUT_TARGETS };
        let timeout =
            (expected_wait * EXPECTED_WAIT_FACTOR).max(route.target_latency.mul_f64(least));
        Some(timeout.min(route.target_latency * MAX_TIMEOUT_TARGETS).min(left / 2))
    }

    /// Returns the time in which the first event of a stream has to arrive while another answer is
    /// kept for it: long enough for an attempt, and at most half of the time until the deadline.
    pub fn first_event_timeout(&self, expected_wait: Duration) -> Duration {
        let left = self.time_left();
        self.attempt_timeout(expected_wait, false).unwrap_or(left / 2)
    }

    /// Returns the id of the event after which the caller asked to resume the stream.
    pub const fn resume_after(&self) -> Option<EventId> {
        self.request.resume_after
    }
}

/// Returns the digest of a request over its method, path, account and body. Each part is preceded by
/// its length, so that no two different requests are joined to the same bytes.
fn digest(exchange: &Exchange) -> Digest {
    let head = &exchange.head;
    let target = head.uri.path_and_query().map_or("", |target| target.as_str());
    let account = exchange.principal.as_ref().map_or("", |principal| &*principal.account);
    let mut hasher = blake3::Hasher::new();
    for part in
        [head.method.as_str().as_bytes(), target.as_bytes(), account.as_bytes(), &exchange.body]
    {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut digest = [0; size_of::<Digest>()];
    hasher.finalize_xof().fill(&mut digest);
    Digest::from_le_bytes(digest)
}
