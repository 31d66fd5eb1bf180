//! State of one request while the filter chain processes it.

mod completion;

pub use completion::Completion;

use {
    crate::{answer::Answer, filter::AnswerHook, trace::Trace},
    bytes::Bytes,
    hawthornmount_core::{
        id::{AccountId, RequestId, ServiceId, SessionId},
        problem::Problem,
        reason::Refusal,
        snapshot::{Release, Snapshot},
        units::MicroCost,
    },
    hawthornmount_http::HeaderMap,
    hawthornmount_ledger::{Pin, Ticket},
    hawthornmount_policy::{Plan, Query},
    std::{
        any::Any,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Kind of a request.
#[derive(Clone, Debug)]
pub enum Kind {
    /// A completion by a model.
    Completion(Completion),
    /// A call of a service without a model.
    Service(ServiceCall),
    /// The list of models that the account may use.
    Models,
}

/// A call of a service without a model.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Id of the service.
    pub service: ServiceId,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query after the service's name, with a leading slash.
    pub path: Arc<str>,
    /// Whether the call is idempotent and may be retried; set by the authorization filter.
    pub idempotent: bool,
}

/// State of one request: the input, the decisions of the filters and the answer.
pub struct Exchange {
    /// Id of the request.
    pub id: RequestId,
    /// Time at which the request arrived.
    pub arrived: Instant,
    /// Time by which the answer has to be complete.
    pub deadline: Instant,
    /// Control state on which the filters decide.
    pub snapshot: Arc<Snapshot>,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Complete body of the request.
    pub body: Bytes,
    /// Kind of the request.
    pub kind: Kind,
    /// Account of the caller; empty until the authentication filter has run.
    pub account: AccountId,
    /// Session of the request, from its session header or its session token.
    pub session: Option<SessionId>,
    /// Latest known pin of the session.
    pub pin: Option<Pin>,
    /// Release that the session is pinned to, if the account may still use it.
    pub pinned: Option<Release>,
    /// Release that the session was moved away from.
    pub moved_from: Option<Release>,
    /// Whether the answer is the stored outcome of an earlier call with the same idempotency key.
    pub replayed: bool,
    /// Number of attempts so far that may have run on a server.
    pub possible_runs: Arc<AtomicUsize>,
    /// Claim that permits this request to run a non-idempotent call.
    pub ticket: Option<Ticket>,
    /// Models and versions to try.
    pub plan: Plan,
    /// Release that gave the answer.
    pub answered_by: Option<Release>,
    /// Cost of the answers so far that the caller does not get.
    pub cost: MicroCost,
    /// Answer that the caller gets.
    pub answer: Option<Answer>,
    /// Hooks that run when the answer is complete, before its last byte is sent.
    pub answer_hooks: Vec<Box<dyn AnswerHook>>,
    /// Values that are dropped when the answer has been delivered, such as admission permits.
    pub guards: Vec<Box<dyn Any + Send + Sync>>,
    /// Trace of the decisions.
    pub trace: Trace,
}

impl Exchange {
    /// Creates an exchange for a request that has just arrived.
    pub fn new(snapshot: Arc<Snapshot>, id: RequestId, kind: Kind, headers: HeaderMap) -> Self {
        let arrived = Instant::now();
        let deadline = arrived + timeout(&headers, snapshot.config.limits.deadline);
        let trace = Trace::new(id.clone(), snapshot.revision);
        let session = header(&headers, SESSION_ID_HEADER).map(Into::into);
        Self {
            id,
            arrived,
            deadline,
            snapshot,
            headers,
            body: Bytes::new(),
            kind,
            account: "".into(),
            session,
            pin: None,
            pinned: None,
            moved_from: None,
            replayed: false,
            possible_runs: Arc::default(),
            ticket: None,
            plan: Plan::default(),
            answered_by: None,
            cost: 0,
            answer: None,
            answer_hooks: Vec::new(),
            guards: Vec::new(),
            trace,
        }
    }

    /// Returns the value of a request header, if it is visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Returns the time left until the deadline.
    ///
    /// # Errors
    ///
    /// Returns a problem if the deadline has passed.
    pub fn time_left(&self) -> Result<Duration, Problem> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Problem::new(
                Refusal::Deadline,
                "the deadline has passed: allow more time",
            ));
        }
        Ok(left)
    }

    /// Returns `problem`, marked as that of a request that may have run if any attempt may have.
    /// The filter that returned the problem knows only of the last attempt, which may not have run.
    pub fn mark_possible_run(&self, problem: Problem) -> Problem {
        if self.possible_runs.load(Ordering::SeqCst) > 0 {
            problem.execution_unknown()
        } else {
            problem
        }
    }

    /// Returns the properties of the request that the routing policy decides on.
    pub fn query(&self, data_centre: &Arc<str>, region: &Arc<str>) -> Query {
        let completion = match &self.kind {
            Kind::Completion(completion) => Some(completion),
            Kind::Service(_) | Kind::Models => None,
        };
        Query {
            account: self.account.clone(),
            task: self.header(TASK_KIND_HEADER).unwrap_or("default").into(),
            model: completion.and_then(|completion| completion.model.clone()),
            pinned: self.pinned.clone(),
            streamed: completion.is_some_and(|completion| completion.stream),
            prefix_hash: completion.map_or(0, Completion::prefix_hash),
            prompt_tokens: completion.map_or(0, Completion::prompt_tokens),
            max_tokens: completion.map_or(0, |completion| completion.max_tokens),
            data_centre: data_centre.clone(),
            region: region.clone(),
            deadline: self.deadline,
            now: Instant::now(),
        }
    }
}

/// Header with the id of the session.
pub const SESSION_ID_HEADER: &str = "x-session-id";
/// Header with the signed token of the session.
pub const SESSION_TOKEN_HEADER: &str = "x-session-token";
/// Header with the kind of task.
pub const TASK_KIND_HEADER: &str = "x-task-kind";
/// Header with the time that the caller allows for the answer, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
/// Header with the key under which a call runs at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the id of the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn timeout(headers: &HeaderMap, default: Duration) -> Duration {
    let requested = header(headers, TIMEOUT_HEADER).and_then(|text| text.parse().ok());
    requested.map_or(default, |requested| Duration::from_millis(requested).min(default))
}
