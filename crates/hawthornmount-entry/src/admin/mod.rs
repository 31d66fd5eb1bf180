//! HTTP interface for operators: metrics, health, status, usage and explanations of requests.

mod explain;
mod report;

pub use {
    explain::{Explanation, LookupError},
    report::{MemberStatus, ServerStatus, Status},
};

use {
    crate::{control::status, instance::Parts},
    async_trait::async_trait,
    hawthornmount_http::{
        Request, Response, StatusCode,
        server::{self, Handler},
    },
    std::sync::{Arc, atomic::Ordering},
};

/// Handler of the operators' interface.
pub struct Admin {
    parts: Arc<Parts>,
}

impl Admin {
    /// Creates the handler and answers explanation queries of other instances.
    pub fn new(parts: &Arc<Parts>) -> Self {
        explain::register_responder(parts);
        Self { parts: parts.clone() }
    }

    async fn usage(&self, account: &str) -> Response {
        match self.parts.ledger.total(&account.into()).await {
            Ok(total) => server::json(StatusCode::OK, &total),
            Err(error) => server::text(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
        }
    }

    async fn explain(&self, request: &str) -> Response {
        match explain::find(&self.parts, &request.into()).await {
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
            "/metrics" => server::text(StatusCode::OK, self.parts.metrics.encode()),
            "/healthz" => server::text(StatusCode::OK, "ok\n".to_owned()),
            "/readyz" => readiness(&self.parts),
            "/fleet" => server::json(StatusCode::OK, &status::fleet_status(&self.parts).await),
            "/status" => server::json(StatusCode::OK, &report::status(&self.parts)),
            _ => not_found("see docs/operators for the paths"),
        }
    }
}

/// Returns whether the instance accepts requests: it has a configuration and is not stopping.
pub fn is_ready(parts: &Parts) -> bool {
    !parts.stopping.load(Ordering::SeqCst) && parts.snapshot.load().revision > 0
}

/// Returns the answer to a readiness probe of the load balancer.
pub fn readiness(parts: &Parts) -> Response {
    if is_ready(parts) {
        server::text(StatusCode::OK, "ready\n".to_owned())
    } else {
        server::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
    }
}

fn not_found(detail: &str) -> Response {
    server::text(StatusCode::NOT_FOUND, format!("{detail}\n"))
}
