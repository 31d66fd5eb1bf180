//! HTTP interface for operators: metrics, health, status, usage and explanations of requests.

mod explain;
mod report;

pub use {
    explain::{Explanation, LookupError},
    report::{MemberStatus, ServerStatus, Status},
};

use {
    crate::{control::status, instance::Components},
    async_trait::async_trait,
    hawthornmount_http::{
        Request, Response, StatusCode,
        capacity::Shortage,
        server::{self, Handler},
    },
    std::sync::{Arc, atomic::Ordering},
};

/// Name of the connections from operators among the parts that drop something.
const PART: &str = "operator";

/// Handler of the operators' interface.
pub struct Admin {
    components: Arc<Components>,
}

impl Admin {
    /// Creates the handler and answers explanation queries of other instances.
    pub fn new(components: &Arc<Components>) -> Self {
        explain::register_responder(components);
        Self { components: components.clone() }
    }

    async fn usage(&self, account: &str) -> Response {
        match self.components.ledger.total(&account.into()).await {
            Ok(total) => server::json(StatusCode::OK, &total),
            Err(error) => server::text(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
        }
    }

    async fn explain(&self, request: &str) -> Response {
        match explain::find(&self.components, &request.into()).await {
            Ok(explanation) => server::json(StatusCode::OK, &explanation),
            Err(error @ LookupError::Unknown { .. }) => not_found(&error.to_string()),
            Err(error @ LookupError::NoAnswer { .. }) => {
                server::text(StatusCode::SERVICE_UNAVAILABLE, format!("{error}\n"))
            }
        }
    }
}

#[async_trait]
impl Handler for Admin {
    async fn handle(&self, request: Request) -> Response {
        let path = request.uri().path();
        if let Some(account) = path.strip_prefix("/usage/") {
            return self.usage(account).await;
        }
        if let Some(id) = path.strip_prefix("/explain/") {
            return self.explain(id).await;
        }
        match path {
            "/metrics" => server::text(StatusCode::OK, self.components.metrics.encode()),
            "/healthz" => server::text(StatusCode::OK, "ok\n".to_owned()),
            "/readyz" => readiness(&self.components),
            "/fleet" => server::json(StatusCode::OK, &status::fleet_status(&self.components).await),
            "/status" => server::json(StatusCode::OK, &report::status(&self.components)),
            _ => not_found("see docs/operators for the paths"),
        }
    }

    fn closed(&self, shortage: Shortage) {
        self.components.metrics.count_drop(PART, &shortage.to_string());
    }
}

/// Returns whether the instance accepts requests: it has a configuration and is not stopping.
pub fn is_ready(components: &Components) -> bool {
    !components.stopping.load(Ordering::SeqCst) && components.snapshot.load().revision > 0
}

/// Returns the answer to a readiness probe of the load balancer.
pub fn readiness(components: &Components) -> Response {
    if is_ready(components) {
        server::text(StatusCode::OK, "ready\n".to_owned())
    } else {
        server::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
    }
}

fn not_found(detail: &str) -> Response {
    server::text(StatusCode::NOT_FOUND, format!("{detail}\n"))
}
