//! Requests and responses as the gateway uses them, independent of the header names of a platform.

use {
    crate::{limit::Rate, load::Load},
    hawthornmount_core::{
        config::Rank,
        id::{AccountId, ModelId, RequestId, ServerId, SessionId},
    },
    http::{HeaderMap, request, response},
    std::{sync::Arc, time::Duration},
};

/// Id of an event in an event stream.
pub type EventId = u64;
/// Id of a prompt part; requests that share the part have the same id.
pub type PartId = u64;

/// Digest of what makes two requests the same, whatever their ids: method, path, account and body.
pub type Digest = u64;

/// A part of a prompt, which other requests can share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Id, which is the same in every request that shares the part.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// Head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Id of the request.
    pub id: Option<RequestId>,
    /// Key of the client account.
    pub key: Option<Arc<str>>,
    /// Time for which the caller waits for the response.
    pub timeout: Option<Duration>,
    /// Session that the request belongs to.
    pub session: Option<SessionId>,
    /// Whether the router chooses the model.
    pub any_model: bool,
    /// Model that the caller requests.
    pub model: Option<ModelId>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Largest number of tokens in the response.
    pub max_tokens: u32,
    /// Parts of the prompt, in their order.
    pub prompt: Vec<Part>,
    /// Id of the last event that the caller has; the stream is resumed after it.
    pub resume_after: Option<EventId>,
}

/// Information that the gateway adds to the head of a request that it forwards to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardHead {
    /// Server to which the request is addressed.
    pub server: ServerId,
    /// Account of the caller.
    pub account: Option<AccountId>,
    /// Model that the router chose.
    pub model: Option<ModelId>,
    /// Priority of the request.
    pub rank: Rank,
    /// Time until the deadline of the request.
    pub time_left: Duration,
    /// Id of the last event that the caller has; the stream is resumed after it.
    pub resume_after: Option<EventId>,
}

/// Head of a server's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Id of the request to which the response belongs.
    pub id: Option<RequestId>,
    /// Whether the server states that it did not run the request.
    pub not_executed: bool,
    /// Whether the head carries the server's seal, which proves that the response is its own.
    pub sealed: bool,
    /// Whether the body has a content encoding; a successful response with one is rejected.
    pub encoded: bool,
    /// Confidence of the model in its response, from 0 to 100.
    pub confidence: Option<u8>,
    /// Load that the server reports.
    pub load: Option<Load>,
    /// Whether the server states that it is leaving and wants no further requests.
    pub is_leaving: bool,
    /// Time for which the server wants no requests of this instance, if it turned the request away.
    pub retry_after: Option<Duration>,
    /// Requests a second that the server takes from the whole fleet, if it states a limit.
    pub rate_limit: Option<Rate>,
    /// Requests that the server can reject in a second without falling over, if it is brittle.
    pub brittle: Option<u32>,
    /// Time for which the server states to remain cold.
    pub cold_remaining: Option<Duration>,
    /// Whether the server closes the connection after this response.
    pub closes_connection: bool,
    /// Time for which the server keeps an idle connection open.
    pub keep_alive: Option<Duration>,
}

/// Encoding of request and response heads in the headers of a platform.
pub trait Dialect: Send + Sync {
    /// Parses the head of a caller's request.
    fn parse_request(&self, head: &request::Parts) -> RequestHead;

    /// Returns the headers with which a request is forwarded to a server.
    fn forward_headers(&self, headers: &HeaderMap, forward_head: &ForwardHead) -> HeaderMap;

    /// Returns the headers with which a request is passed to another instance, which has `time_left`
    /// for it.
    fn passed_headers(
        &self,
        headers: &HeaderMap,
        time_left: Duration,
        resume_after: Option<EventId>,
    ) -> HeaderMap;

    /// Parses the head of a server's response.
    fn parse_response(&self, head: &response::Parts) -> ResponseHead;

    /// Returns the headers with which a server's response is returned to the caller.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;
}
