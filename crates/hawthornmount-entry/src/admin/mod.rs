//! The operators' interface: metrics, health, status and explanations.

use {
    crate::{control::status, instance::Parts},
    async_trait::async_trait,
    hawthornmount_core::id::{InstanceId, Revision},
    hawthornmount_http::{
        Request, Response, StatusCode,
        server::{self, Handler},
    },
    serde::{Deserialize, Serialize},
    std::sync::{Arc, atomic::Ordering},
};

/// Status of one instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Configuration revision in force.
    pub revision: Revision,
    /// Whether the instance takes requests.
    pub ready: bool,
    /// Requests in flight.
    pub in_flight: usize,
    /// Members of the fleet.
    pub members: Vec<InstanceId>,
    /// Servers that take requests.
    pub servers_up: usize,
    /// Suspended versions.
    pub suspended: Vec<Arc<str>>,
}

/// The operators' interface.
pub struct Admin {
    parts: Arc<Parts>,
}

impl Admin {
    /// Creates the interface.
    pub fn new(parts: &Arc<Parts>) -> Self {
        Self { parts: parts.clone() }
    }

    fn status(&self) -> Status {
        let snapshot = self.parts.cell.load();
        let name = |release: &hawthornmount_core::snapshot::Release| {
            format!("{}@{}", release.model, release.version).into()
        };
        let up = |one: &&hawthornmount_core::snapshot::Backend| {
            one.health == hawthornmount_core::snapshot::Health::Up
        };
        Status {
            instance: self.parts.settings.instance.clone(),
            revision: snapshot.revision,
            ready: is_ready(&self.parts),
            in_flight: self.parts.in_flight.load(Ordering::SeqCst),
            members: snapshot.members.iter().map(|member| member.id.clone()).collect(),
            servers_up: snapshot.backends.iter().filter(up).count(),
            suspended: snapshot.suspended.iter().map(name).collect(),
        }
    }

    async fn usage(&self, account: &str) -> Response {
        match self.parts.ledger.total(&account.into()).await {
            Ok(total) => server::json(StatusCode::OK, &total),
            Err(error) => server::text(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
        }
    }

    fn explain(&self, request: &str) -> Response {
        match self.parts.journal.find(request) {
            Some(trace) => server::json(StatusCode::OK, &trace),
            None => not_found("the request is not in the journal: ask soon after its end"),
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
            return self.explain(id);
        }
        match path {
            "/metrics" => server::text(StatusCode::OK, self.parts.metrics.text()),
            "/healthz" => server::text(StatusCode::OK, "ok\n".to_owned()),
            "/readyz" => ready(&self.parts),
            "/fleet" => server::json(StatusCode::OK, &status::rows(&self.parts).await),
            "/status" => server::json(StatusCode::OK, &self.status()),
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
