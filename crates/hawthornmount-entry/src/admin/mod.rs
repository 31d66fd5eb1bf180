//! The operators' interface: metrics, health, status and explanations.

mod explain;
mod report;

pub use {
    explain::{Explanation, Missing},
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

/// The operators' interface.
pub struct Admin {
    parts: Arc<Parts>,
}

impl Admin {
    /// Creates the interface.
    pub fn new(parts: &Arc<Parts>) -> Self {
        explain::answer_peers(parts);
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
            Err(missing @ Missing::Unknown { .. }) => not_found(&missing.to_string()),
            Err(missing @ Missing::Silent { .. }) => {
                server::text(StatusCode::SERVICE_UNAVAILABLE, format!("{missing}\n"))
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
            "/readyz" => ready(&self.parts),
            "/fleet" => server::json(StatusCode::OK, &status::rows(&self.parts).await),
            "/status" => server::json(StatusCode::OK, &report::of(&self.parts)),
            _ => not_found("see docs/operators for the paths"),
        }
    }
}

/// Tells whether the instance takes requests.
pub fn is_ready(parts: &Parts) -> bool {
    !parts.stopping.load(Ordering::SeqCst) && parts.cell.load().revision > 0
}

/// Answers the balancer's question whether the instance takes requests.
pub fn ready(parts: &Parts) -> Response {
    if is_ready(parts) {
        server::text(StatusCode::OK, "ready\n".to_owned())
    } else {
        server::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned())
    }
}

fn not_found(detail: &str) -> Response {
    server::text(StatusCode::NOT_FOUND, format!("{detail}\n"))
}
