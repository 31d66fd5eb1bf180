//! Requests and answers as the gateway sees them, apart from the names of headers.

use {
    crate::load::Load,
    hawthornmount_core::{
        config::Rank,
        id::{AccountId, ModelId, RequestId, ServerId, SessionId},
    },
    http::{HeaderMap, request, response},
    std::{sync::Arc, time::Duration},
};

/// Id of an event of a stream.
pub type EventId = u64;
/// Id of a part of a prompt that requests can share.
pub type PartId = u64;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Part {
    /// Id, the same in every request that shares the part.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// What a caller asks for, as the head of its request tells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHead {
    /// Id of the request.
    pub id: Option<RequestId>,
    /// Key of a client account.
    pub key: Option<Arc<str>>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Session that the request belongs to.
    pub session: Option<SessionId>,
    /// Whether the router chooses the model.
    pub any_model: bool,
    /// Model that the caller names.
    pub model: Option<ModelId>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Parts of the prompt in order.
    pub prompt: Vec<Part>,
    /// Last event that the caller has; the stream goes on after it.
    pub resume_after: Option<EventId>,
}

/// What the gateway adds to a request that it hands to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardHead {
    /// Server that the request is meant for.
    pub server: ServerId,
    /// Account of the caller.
    pub account: Option<AccountId>,
    /// Model that was chosen.
    pub model: Option<ModelId>,
    /// Urgency.
    pub rank: Rank,
    /// Time that the server has.
    pub time_left: Duration,
    /// Last event that the caller has; the stream goes on after it.
    pub resume_after: Option<EventId>,
}

/// What the head of a server's answer tells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Id of the request that the answer belongs to.
    pub id: Option<RequestId>,
    /// Whether the server says that it did not run the request.
    pub not_executed: bool,
    /// Whether the server confirms the answer as its own.
    pub sealed: bool,
    /// Whether the body is encoded, which nobody asked for.
    pub encoded: bool,
    /// The model's opinion of its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// Load of the server.
    pub load: Option<Load>,
    /// Whether the server closes the connection after this answer.
    pub closes_connection: bool,
    /// Time for which the server keeps an idle connection.
    pub keep_alive: Option<Duration>,
}

/// Spelling of requests and answers on the wire.
pub trait Dialect: Send + Sync {
    /// Reads the head of a caller's request.
    fn parse_request(&self, head: &request::Parts) -> RequestHead;

    /// Returns the headers with which a request goes to a server.
    fn forward_headers(&self, headers: &HeaderMap, forward_head: &ForwardHead) -> HeaderMap;

    /// Reads the head of a server's answer.
    fn parse_response(&self, head: &response::Parts) -> ResponseHead;

    /// Returns the headers with which a server's answer goes to the caller.
    fn caller_headers(&self, headers: &HeaderMap) -> HeaderMap;
}
