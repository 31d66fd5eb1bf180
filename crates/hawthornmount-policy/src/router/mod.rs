//! Interface of the routing policy: the [`Router`] trait and the types of its arguments and
//! results.

use {
    hawthornmount_core::{
        id::{AccountId, DataCentreId, ModelId, RegionId, ServerId, ServiceId},
        reason::Refusal,
        snapshot::{Release, Snapshot},
    },
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Properties of a request that routing decisions depend on.
#[derive(Clone, Debug)]
pub struct Query {
    /// Account of the caller.
    pub account: AccountId,
    /// Kind of task; quality is estimated separately for each kind.
    pub task: std::sync::Arc<str>,
    /// Model that the caller named; `None` selects the cascade of the account.
    pub model: Option<ModelId>,
    /// Release that the session is pinned to.
    pub pinned: Option<Release>,
    /// Whether the answer is streamed, so that it can't be rated before it is sent.
    pub streamed: bool,
    /// Hash of the prompt's first characters, for cache affinity.
    pub prefix_hash: u64,
    /// Estimated number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u64,
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// Region of this instance.
    pub region: RegionId,
    /// Time by which the answer has to be complete.
    pub deadline: Instant,
    /// The current time.
    pub now: Instant,
}

/// A model and version to try.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The model and version.
    pub release: Release,
    /// Estimated probability that its answer is good.
    pub quality: f64,
    /// Whether it was chosen to get ratings of it, and not because it is best.
    pub is_exploration: bool,
}

/// Models to try, in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Candidates in the order in which they are tried.
    pub candidates: Vec<Candidate>,
    /// Number of leading candidates through which badly rated answers escalate. The others are
    /// tried only if these give no answer.
    pub escalation_steps: usize,
    /// Rating below which the next candidate is tried, if answers are rated before they are sent.
    pub quality_target: f64,
}

/// Server that was chosen for one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Id of the server.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: DataCentreId,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u64,
}

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The complete answer arrived after this time.
    Answered(Duration),
    /// The server failed after this time.
    Failed(Duration),
    /// The first event of a stream arrived after this time, and the stream has ended.
    Streamed(Duration),
    /// The server refused the request because it is full, and may have said for how long.
    Full(Option<Duration>),
    /// The attempt was dropped after this time without an answer, usually because another copy of
    /// the request answered first.
    Superseded(Duration),
    /// The attempt was cancelled.
    Cancelled,
}

/// Class of backend servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Class {
    /// Servers that run models.
    Engine,
    /// Servers of services without a model.
    Service,
}

/// Makes the routing decisions of one instance. Its methods never block.
pub trait Router: Send + Sync {
    /// Returns the models and versions to try.
    ///
    /// # Errors
    ///
    /// Returns the reason if the account may use none.
    fn plan(&self, snapshot: &Snapshot, query: &Query) -> Result<Plan, Refusal>;

    /// Chooses a server for a version, other than those in `tried`, and counts the attempt as
    /// running there until [`Router::record_outcome`].
    ///
    /// # Errors
    ///
    /// Returns the reason if no server can be chosen.
    fn choose_server(
        &self,
        snapshot: &Snapshot,
        query: &Query,
        release: &Release,
        tried: &[ServerId],
    ) -> Result<Choice, Refusal>;

    /// Chooses a server for a service without a model, as [`Router::choose_server`] does for a
    /// version.
    ///
    /// # Errors
    ///
    /// Returns the reason if no server can be chosen.
    fn choose_service_server(
        &self,
        snapshot: &Snapshot,
        query: &Query,
        service: &ServiceId,
        tried: &[ServerId],
    ) -> Result<Choice, Refusal>;

    /// Records the outcome of an attempt.
    fn record_outcome(
        &self,
        choice: &Choice,
        release: Option<&Release>,
        outcome: Outcome,
        now: Instant,
    );

    /// Records the rating of an answer, from 0 to 1.
    fn record_rating(&self, account: &AccountId, task: &str, release: &Release, rating: f64);

    /// Records that the rating of an answer that waited for it did not arrive.
    fn record_missing_rating(&self, _now: Instant) {}

    /// Returns the time after which a second copy of an idempotent request is sent (hedging), or
    /// `None` for no second copy.
    fn hedge_delay(&self, _release: &Release, _query: &Query) -> Option<Duration> {
        None
    }

    /// Returns the seconds that an answer of `tokens` tokens is expected to take, 0 if unknown.
    fn expected_seconds(&self, _release: &Release, _tokens: u64) -> f64 {
        0.0
    }

    /// Returns the number of requests that this instance may have running at backend servers of a
    /// class; with `None`, only the fixed limit of the instance applies.
    fn concurrency_limit(
        &self,
        _snapshot: &Snapshot,
        _query: &Query,
        _class: Class,
    ) -> Option<f64> {
        None
    }

    /// Returns whether the retry budget allows one more attempt, and subtracts it from the budget.
    fn try_acquire_retry(&self, now: Instant) -> bool;
}
