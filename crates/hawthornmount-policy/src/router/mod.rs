//! The border of the policy: what is asked and what is answered.

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

/// What a request needs.
#[derive(Clone, Debug)]
pub struct Query {
    /// Account of the caller.
    pub account: AccountId,
    /// Kind of task, by which quality is learned.
    pub task: std::sync::Arc<str>,
    /// Model that the caller named, if it named no cascade.
    pub model: Option<ModelId>,
    /// Release that the session keeps.
    pub pinned: Option<Release>,
    /// Whether the answer is streamed, so that it can't be rated in line.
    pub streamed: bool,
    /// Hash of the prompt's first characters, for cache affinity.
    pub prefix_hash: u64,
    /// Tokens of the prompt, estimated.
    pub prompt_tokens: u64,
    /// Largest number of tokens of the answer.
    pub max_tokens: u64,
    /// Data centre of this instance.
    pub data_centre: DataCentreId,
    /// Region of this instance.
    pub region: RegionId,
    /// When the answer has to be whole.
    pub deadline: Instant,
    /// The present time.
    pub now: Instant,
}

/// A model and version worth trying.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The model and version.
    pub release: Release,
    /// Chance that its answer is good, as far as is known.
    pub quality: f64,
    /// Whether it was taken to learn and not because it is best.
    pub is_exploration: bool,
}

/// Models to try in order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Candidates from the first to the last resort.
    pub candidates: Vec<Candidate>,
    /// First candidates through which badly rated answers escalate; the others are asked only if
    /// these give no answer.
    pub escalation_steps: usize,
    /// Quality below which the next candidate is tried, where answers are rated in line.
    pub quality_target: f64,
}

/// A server for one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The server.
    pub server: ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Largest number of tokens of the answer.
    pub max_tokens: u64,
}

/// End of one attempt, for learning.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// A whole answer after this time.
    Answered(Duration),
    /// The server failed after this time.
    Failed(Duration),
    /// A stream whose first event came after this time; the rest has ended.
    Streamed(Duration),
    /// The server refused because it is full, for this time if it said so.
    Full(Option<Duration>),
    /// Another copy answered first, after this time.
    Superseded(Duration),
    /// The attempt was cancelled.
    Cancelled,
}

/// Kind of backend servers that a request needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Class {
    /// Model engines.
    Engine,
    /// Plain services.
    Service,
}

/// Makes the routing decisions of one instance. Calls never block.
pub trait Router: Send + Sync {
    /// Returns the models and versions to try.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is none that the account may use.
    fn plan(&self, snapshot: &Snapshot, query: &Query) -> Result<Plan, Refusal>;

    /// Returns a server for a version, none of those in `tried`, and counts the attempt as
    /// running there until [`Router::record_outcome`].
    ///
    /// # Errors
    ///
    /// Returns the reason if there is no server.
    fn choose_server(
        &self,
        snapshot: &Snapshot,
        query: &Query,
        release: &Release,
        tried: &[ServerId],
    ) -> Result<Choice, Refusal>;

    /// Returns a server for a plain service, as [`Router::choose_server`] does.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is no server.
    fn choose_service_server(
        &self,
        snapshot: &Snapshot,
        query: &Query,
        service: &ServiceId,
        tried: &[ServerId],
    ) -> Result<Choice, Refusal>;

    /// Takes the end of an attempt.
    fn record_outcome(
        &self,
        choice: &Choice,
        release: Option<&Release>,
        outcome: Outcome,
        now: Instant,
    );

    /// Takes a rating of an answer, from 0 to 1.
    fn record_rating(&self, account: &AccountId, task: &str, release: &Release, rating: f64);

    /// Takes notice that no rating came for an answer that waited for it.
    fn record_missing_rating(&self, _now: Instant) {}

    /// Returns the time after which a second copy of an idempotent request is worth it, if ever.
    fn hedge_delay(&self, _release: &Release, _query: &Query) -> Option<Duration> {
        None
    }

    /// Returns the seconds that an answer of `tokens` tokens usually takes, 0 if that is unknown.
    fn expected_seconds(&self, _release: &Release, _tokens: u64) -> f64 {
        0.0
    }

    /// Returns the requests that this instance may have running at backend servers; nothing leaves
    /// it to the fixed bound.
    fn concurrency_limit(
        &self,
        _snapshot: &Snapshot,
        _query: &Query,
        _class: Class,
    ) -> Option<f64> {
        None
    }

    /// Tells whether one more attempt fits the retry budget, and takes it from the budget.
    fn try_acquire_retry(&self, now: Instant) -> bool;
}
