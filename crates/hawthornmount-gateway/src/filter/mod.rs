//! The filters of the request path, in the order in which a request passes them.

mod admission;
mod authentication;
mod buffering;
mod forwarding;
mod routing;

use {
    crate::{
        instance::Parts,
        message::RequestHead,
        route::Entry,
        view::{Principal, View},
    },
    async_trait::async_trait,
    bytes::Bytes,
    hawthornmount_core::{id::RequestId, problem::Problem, reason::Refusal},
    http::request,
    http_body_util::combinators::UnsyncBoxBody,
    hyper::body::Incoming,
    std::{sync::Arc, time::Instant},
};

/// Why the body of an answer breaks off: the connection to the caller is closed without an end.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("the server's answer broke off and can't be continued")]
pub struct Truncated;

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Truncated>;
/// Answer for the caller.
pub type Response = http::Response<Body>;

/// One request on its way through the filters.
pub struct Exchange {
    /// Id of the request, as the caller gave it or made up here.
    pub id: RequestId,
    /// When the head of the request was read.
    pub arrived: Instant,
    /// Method, path and headers of the request.
    pub head: request::Parts,
    /// Body of the request until it is read.
    pub incoming: Option<Incoming>,
    /// Whole body of the request.
    pub body: Bytes,
    /// What the head asks for.
    pub request: RequestHead,
    /// Configuration and servers when the request arrived.
    pub view: Arc<View>,
    /// Route of the request.
    pub route: Option<Arc<Entry>>,
    /// Account of the caller.
    pub principal: Option<Principal>,
    /// Answer for the caller.
    pub response: Option<Response>,
}

/// One step of the request path.
#[async_trait]
pub trait Filter: Send + Sync {
    /// Does the step.
    ///
    /// # Errors
    ///
    /// Returns the problem that the caller gets in place of an answer.
    async fn apply(&self, exchange: &mut Exchange) -> Result<(), Problem>;
}

/// Returns the request path: where the request goes, who asks, its whole body, and the servers.
pub fn chain(parts: &Arc<Parts>) -> Vec<Box<dyn Filter>> {
    vec![
        Box::new(admission::Admission::new(parts)),
        Box::new(routing::Routing::new(parts)),
        Box::new(authentication::Authentication::new(parts)),
        Box::new(buffering::Buffering),
        Box::new(forwarding::Forwarding::new(parts)),
    ]
}

impl Exchange {
    /// Returns the route.
    ///
    /// # Errors
    ///
    /// Returns a problem if the filter that finds it was left out.
    pub fn route(&self) -> Result<Arc<Entry>, Problem> {
        let missing = || Problem::new(Refusal::Internal, "the route was not looked up: report it");
        self.route.clone().ok_or_else(missing)
    }
}
