//! HTTP interface for callers: reads a request, runs the filter chain on it and delivers the
//! answer.

mod deliver;
mod parse;

use {
    crate::{
        admin,
        exchange::{Exchange, Kind},
        filter::{self, Filter},
        instance::Components,
    },
    async_trait::async_trait,
    hawthornmount_core::{id, problem::Problem, reason::Refusal},
    hawthornmount_http::{
        HeaderValue, Request, Response, StatusCode,
        capacity::{Holding, Shortage, Stage, Throttle},
        header,
        server::{self, Handler, Rejection},
    },
    http_body::Body as _,
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Name of the connections from callers among the parts that drop something.
const PART: &str = "caller";

/// HTTP interface for callers.
pub struct Api {
    inner: Arc<Inner>,
}

struct Inner {
    components: Arc<Components>,
    chain: Vec<Box<dyn Filter>>,
    /// Connections that were closed because something was short.
    shortages: Throttle,
}

/// Counts a request as in flight until it is dropped.
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
    /// Creates the interface of the instance with these components.
    pub fn new(components: &Arc<Components>) -> Self {
        Self {
            inner: Arc::new(Inner {
                components: components.clone(),
                chain: filter::chain(components),
                shortages: Throttle::default(),
            }),
        }
    }
}

#[async_trait]
impl Handler for Api {
    async fn handle(&self, request: Request) -> Response {
        match request.uri().path() {
            "/healthz" => return server::text(StatusCode::OK, "ok\n".to_owned()),
            "/readyz" => return admin::readiness(&self.inner.components),
            _ => {}
        }
        let in_flight = InFlight::new(&self.inner.components.in_flight);
        let mut response = self.inner.clone().answer(request, in_flight).await;
        if self.inner.components.stopping.load(Ordering::SeqCst) {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn rejected(&self, rejection: Rejection) {
        let reason = match rejection {
            Rejection::SlowHead => Refusal::CallerTimeout,
            Rejection::LargeHead => Refusal::Malformed,
            Rejection::NoRoom => Refusal::NoRoom,
        };
        self.inner.components.metrics.count_refusal(reason);
        log::info!(
            "connection closed: its request head was too slow or too large; reason={reason}"
        );
    }

    fn closed(&self, shortage: Shortage) {
        self.inner.components.metrics.count_drop(PART, &shortage.to_string());
        if let Some(count) = self.inner.shortages.count() {
            let usage = self.inner.components.capacity.usage();
            log::info!(
                "closed connections to make room; part={PART} count={count} cause={shortage} \
                 connections={} memory_bytes={}",
                usage.connections,
                usage.bytes
            );
        }
    }
}

impl Inner {
    async fn answer(self: Arc<Self>, request: Request, in_flight: InFlight) -> Response {
        let id = id::generate("req");
        let snapshot = self.components.snapshot.load();
        let limit = snapshot.config.limits.body_bytes;
        let holding = request.extensions().get::<Arc<Holding>>().cloned();
        // Nothing is kept for a caller without a key.
        let known = if request.body().is_end_stream() {
            Ok(())
        } else {
            filter::account(&snapshot, request.headers()).map(drop)
        };
        let parsed = match known {
            Ok(()) => parse::read(request, limit, &self.components.capacity).await,
            Err(problem) => Err(problem),
        };
        let parsed = match parsed {
            Ok(parsed) => parsed,
            Err(problem) => return deliver::refuse(&self.components, &id, &problem),
        };
        if let Some(holding) = holding {
            holding.set_stage(Stage::Busy);
        }
        let mut exchange = Exchange::new(snapshot, id, parsed.kind, parsed.headers);
        exchange.body = parsed.body;
        exchange.guards.push(Box::new(in_flight));
        if !outlives_caller(&exchange) {
            return self.process(exchange).await;
        }
        let id = exchange.id.clone();
        let components = self.components.clone();
        match tokio::spawn(self.process(exchange)).await {
            Ok(response) => response,
            Err(_) => deliver::refuse(&components, &id, &internal_error()),
        }
    }

    async fn process(self: Arc<Self>, mut exchange: Exchange) -> Response {
        match filter::run(&self.chain, &mut exchange).await {
            Ok(()) => deliver::answer(&self.components, exchange).await,
            Err(problem) => deliver::problem(&self.components, exchange, &problem),
        }
    }
}

/// Returns whether a request continues when its caller disconnects. A service call does, because
/// its outcome has to be recorded.
fn outlives_caller(exchange: &Exchange) -> bool {
    matches!(exchange.kind, Kind::Service(_))
}

fn internal_error() -> Problem {
    Problem::new(Refusal::Internal, "the request failed inside the router: report it")
        .execution_unknown()
}
