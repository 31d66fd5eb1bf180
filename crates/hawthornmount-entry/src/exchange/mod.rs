//! One request on its way through the filters.

mod completion;

pub use completion::Completion;

use {
    crate::{answer::Answer, filter::Finisher, trace::Trace},
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

/// What the caller asks for.
#[derive(Clone, Debug)]
pub enum Kind {
    /// A completion of a model.
    Completion(Completion),
    /// A call of a plain service.
    Service(ServiceCall),
    /// The list of models that the account may use.
    Models,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The service.
    pub service: ServiceId,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query after the service's name, with the first slash.
    pub path: Arc<str>,
    /// Whether the call may be repeated; set by the filter that allows it.
    pub idempotent: bool,
}

/// One request on its way through the filters.
pub struct Exchange {
    /// Id of the request.
    pub id: RequestId,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the answer has to be whole.
    pub deadline: Instant,
    /// Control state that every decision of the request rests on.
    pub snapshot: Arc<Snapshot>,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Whole body of the request.
    pub body: Bytes,
    /// What the caller asks for.
    pub kind: Kind,
    /// Account of the caller; empty until it is identified.
    pub account: AccountId,
    /// Session of the caller.
    pub session: Option<SessionId>,
    /// Pin of the session as far as it is known.
    pub pin: Option<Pin>,
    /// Release that the session keeps.
    pub pinned: Option<Release>,
    /// Release that the session had to leave.
    pub moved_from: Option<Release>,
    /// Whether the answer repeats the outcome of an earlier call with the same key.
    pub replayed: bool,
    /// Attempts that may have run so far.
    pub runs: Arc<AtomicUsize>,
    /// Right to run a non-idempotent call.
    pub ticket: Option<Ticket>,
    /// Models to try.
    pub plan: Plan,
    /// Release that answered.
    pub answered_by: Option<Release>,
    /// Price of everything that ran so far.
    pub cost: MicroCost,
    /// Answer for the caller.
    pub answer: Option<Answer>,
    /// What runs when the answer is whole, before its last byte goes out.
    pub finishers: Vec<Box<dyn Finisher>>,
    /// What is held until the answer is out, such as a place under a limit.
    pub held: Vec<Box<dyn Any + Send + Sync>>,
    /// Record of the decisions.
    pub trace: Trace,
}

impl Exchange {
    /// Creates an exchange for a request that has just arrived.
    pub fn new(snapshot: Arc<Snapshot>, id: RequestId, kind: Kind, headers: HeaderMap) -> Self {
        let arrived = Instant::now();
        let deadline = arrived + timeout(&headers, snapshot.config.limits.deadline);
        let trace = Trace::new(id.clone(), snapshot.revision);
        let session = header(&headers, SESSION_HEADER).map(Into::into);
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
            runs: Arc::default(),
            ticket: None,
            plan: Plan::default(),
            answered_by: None,
            cost: 0,
            answer: None,
            finishers: Vec::new(),
            held: Vec::new(),
            trace,
        }
    }

    /// Returns the text of a header of the request.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Returns the time left until the deadline.
    ///
    /// # Errors
    ///
    /// Returns a problem if there is none left.
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

    /// Corrects what `problem` says of whether the request ran: an attempt may have, even if the
    /// last one did not.
    pub fn correct(&self, problem: Problem) -> Problem {
        if self.runs.load(Ordering::SeqCst) > 0 { problem.may_have_run() } else { problem }
    }

    /// Returns the question that the policy answers.
    pub fn query(&self, data_centre: &Arc<str>, region: &Arc<str>) -> Query {
        let completion = match &self.kind {
            Kind::Completion(completion) => Some(completion),
            Kind::Service(_) | Kind::Models => None,
        };
        Query {
            account: self.account.clone(),
            task: self.header(TASK_HEADER).unwrap_or("default").into(),
            model: completion.and_then(|one| one.model.clone()),
            pinned: self.pinned.clone(),
            streamed: completion.is_some_and(|one| one.stream),
            prefix_hash: completion.map_or(0, Completion::prefix),
            prompt_tokens: completion.map_or(0, Completion::prompt_tokens),
            max_tokens: completion.map_or(0, |one| one.max_tokens),
            data_centre: data_centre.clone(),
            region: region.clone(),
            deadline: self.deadline,
            now: Instant::now(),
        }
    }
}

/// Header that names the session.
pub const SESSION_HEADER: &str = "x-session-id";
/// Header that carries the session's token.
pub const TOKEN_HEADER: &str = "x-session-token";
/// Header that names the kind of task.
pub const TASK_HEADER: &str = "x-task-kind";
/// Header that names the deadline, in milliseconds from now.
pub const TIMEOUT_HEADER: &str = "x-request-timeout-ms";
/// Header that names the key under which a call runs at most once.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header that carries the request id.
pub const REQUEST_HEADER: &str = "x-request-id";

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn timeout(headers: &HeaderMap, default: Duration) -> Duration {
    let requested = header(headers, TIMEOUT_HEADER).and_then(|text| text.parse().ok());
    requested.map_or(default, |requested| Duration::from_millis(requested).min(default))
}
