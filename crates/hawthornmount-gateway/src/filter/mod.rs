//! Filters that process a request one after the other.

mod admission;
mod authentication;
mod buffering;
mod forwarding;
mod routing;

use {
    crate::{
        instance::Components,
        message::RequestHead,
        route::Entry,
        view::{Principal, View},
    },
    async_trait::async_trait,
    bytes::Bytes,
    hawthornmount_core::{id::RequestId, problem::Problem, reason::Refusal},
    http::request,
    http_body::Body as _,
    http_body_util::combinators::UnsyncBoxBody,
    hyper::body::Incoming,
    std::{sync::Arc, time::Instant},
};

/// Error of a response body that can't be completed; the connection to the caller is closed before
/// the end of the body.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("the response of the server was interrupted and can't be resumed")]
pub struct Truncated;

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, Truncated>;
/// Response to the caller.
pub type Response = http::Response<Body>;

/// State of one request while it passes through the filters.
pub struct Exchange {
    /// Id of the request, given by the caller or generated.
    pub id: RequestId,
    /// Whether another instance passed the request to this one.
    pub is_passed: bool,
    /// Number of servers to which this instance may send it, if another instance has stated that.
    pub attempts: Option<u32>,
    /// Time at which the head of the request was read.
    pub arrived: Instant,
    /// Method, path and headers of the request.
    pub head: request::Parts,
    /// Body of the request, until it is read into `body`.
    pub incoming: Option<Incoming>,
    /// Complete body of the request.
    pub body: Bytes,
    /// Whether reading the body was given up before its end.
    pub is_body_abandoned: bool,
    /// Parsed head of the request.
    pub request: RequestHead,
    /// Configuration and servers at the arrival of the request.
    pub view: Arc<View>,
    /// Route of the request.
    pub route: Option<Arc<Entry>>,
    /// Account of the caller, if its key is known.
    pub principal: Option<Principal>,
    /// Response to the caller.
    pub response: Option<Response>,
}

/// One step in the processing of a request.
#[async_trait]
pub trait Filter: Send + Sync {
    /// Applies the step to an exchange.
    ///
    /// # Errors
    ///
    /// Returns the problem that is reported to the caller; no further filters are applied.
    async fn apply(&self, exchange: &mut Exchange) -> Result<(), Problem>;
}

/// Returns the filters in the order in which they are applied: admission during a shutdown,
/// routing, authentication, buffering of the body, and forwarding to a server.
pub fn chain(components: &Arc<Components>) -> Vec<Box<dyn Filter>> {
    vec![
        Box::new(admission::Admission::new(components)),
        Box::new(routing::Routing::new(components)),
        Box::new(authentication::Authentication::new(components)),
        Box::new(buffering::Buffering::new(components)),
        Box::new(forwarding::Forwarding::new(components)),
    ]
}

impl Exchange {
    /// Returns whether bytes of the body may still arrive.
    pub fn has_unread_body(&self) -> bool {
        let is_unread = |body: &Incoming| !body.is_end_stream();
        self.is_body_abandoned || self.incoming.as_ref().is_some_and(is_unread)
    }

    /// Returns the route of the request.
    ///
    /// # Errors
    ///
    /// Returns a problem if the routing filter was not applied.
    pub fn route(&self) -> Result<Arc<Entry>, Problem> {
        let missing = || Problem::new(Refusal::Internal, "the route was not looked up: report it");
        self.route.clone().ok_or_else(missing)
    }
}
