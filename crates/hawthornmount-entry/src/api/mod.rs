//! The callers' interface: reads a request, passes it through the filters and delivers the answer.

mod deliver;
mod parse;

use {
    crate::{
        admin,
        exchange::{Exchange, Kind},
        filter::{self, Filter},
        instance::Parts,
    },
    async_trait::async_trait,
    hawthornmount_core::{id, problem::Problem, reason::Refusal},
    hawthornmount_http::{
        HeaderValue, Request, Response, StatusCode, header,
        server::{self, Handler, Rejection},
    },
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// The callers' interface.
pub struct Api {
    inner: Arc<Inner>,
}

struct Inner {
    parts: Arc<Parts>,
    path: Vec<Box<dyn Filter>>,
}

/// Place of one request among those in flight.
struct InFlight(Arc<AtomicUsize>);

impl InFlight {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count.clone())
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Api {
    /// Creates the interface.
    pub fn new(parts: &Arc<Parts>) -> Self {
        Self { inner: Arc::new(Inner { parts: parts.clone(), path: filter::path(parts) }) }
    }
}

#[async_trait]
impl Handler for Api {
    async fn handle(&self, request: Request) -> Response {
        match request.uri().path() {
            "/healthz" => return server::text(StatusCode::OK, "ok\n".to_owned()),
            "/readyz" => return admin::ready(&self.inner.parts),
            _ => {}
        }
        let in_flight = InFlight::new(&self.inner.parts.in_flight);
        let mut response = self.inner.clone().answer(request, in_flight).await;
        if self.inner.parts.stopping.load(Ordering::SeqCst) {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn rejected(&self, rejection: Rejection) {
        let reason = match rejection {
            Rejection::SlowHead => Refusal::CallerTimeout,
            Rejection::LargeHead => Refusal::Malformed,
        };
        self.inner.parts.metrics.count_refusal(reason);
        log::info!("a connection was closed; reason={reason}");
    }
}

impl Inner {
    async fn answer(self: Arc<Self>, request: Request, in_flight: InFlight) -> Response {
        let id = id::generate("req");
        let snapshot = self.parts.cell.load();
        let limit = snapshot.config.limits.body_bytes;
        let parsed = match parse::read(request, limit).await {
            Ok(parsed) => parsed,
            Err(problem) => return deliver::refuse(&self.parts, &id, &problem),
        };
        let mut exchange = Exchange::new(snapshot, id, parsed.kind, parsed.headers);
        exchange.body = parsed.body;
        exchange.held.push(Box::new(in_flight));
        if !survives_caller(&exchange) {
            return self.process(exchange).await;
        }
        let id = exchange.id.clone();
        let parts = self.parts.clone();
        match tokio::spawn(self.process(exchange)).await {
            Ok(response) => response,
            Err(_) => deliver::refuse(&parts, &id, &fault()),
        }
    }

    async fn process(self: Arc<Self>, mut exchange: Exchange) -> Response {
        match filter::run(&self.path, &mut exchange).await {
            Ok(()) => deliver::answer(&self.parts, exchange).await,
            Err(problem) => deliver::problem(&self.parts, exchange, &problem),
        }
    }
}

/// Tells whether a request goes on when its caller hangs up, because its outcome has to be kept.
fn survives_caller(exchange: &Exchange) -> bool {
    matches!(exchange.kind, Kind::Service(_))
}

fn fault() -> Problem {
    Problem::new(Refusal::Internal, "the request failed inside the router: report it")
        .may_have_run()
}
