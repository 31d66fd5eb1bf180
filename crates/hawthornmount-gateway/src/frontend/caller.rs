//! Connections from callers, and from instances that pass their callers' requests on.

use {
    super::{
        activity::{Activity, Phase},
        response,
        transport::{HeadTooLarge, Transport},
    },
    crate::{
        filter::{self, Exchange, Filter, Response},
        instance::Components,
        path::pass::{self, NO_PATH, PASS, Pass, RAN, RAN_NO, RAN_UNKNOWN},
    },
    hawthornmount_core::{
        config::Limits,
        id,
        problem::{Execution, Problem},
        reason::Refusal,
    },
    hawthornmount_http::{
        capacity::{Holding, Shortage, Stage, Throttle},
        connection::{
            describe, linger,
            meter::{Allowance, Meter},
        },
        listener,
    },
    http::{HeaderValue, header, request},
    hyper::{Request, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{
        convert::Infallible,
        pin::Pin,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::net::{TcpListener, TcpStream},
};

/// Size to which the buffers of a connection may grow, in bytes: the largest head that a later
/// configuration can allow on it.
const MAX_BUFFER_BYTES: usize = 256 << 10;

/// Bytes by which the framing of a small body may exceed it.
const MIN_FRAMING_BYTES: usize = 64 << 10;
/// Bytes that a byte of a body takes in a chunk of its own.
const MAX_CHUNK_FRAMING: usize = 6;

/// Longest interval at which a connection is compared with its time limits, which a configuration can
/// lower.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Response to a request whose head is larger than the configuration in force allows.
const HEAD_TOO_LARGE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Name of the requests from other instances among the parts that drop something.
const PASSED_PART: &str = "passed_request";

/// Name of the connections from callers among the parts that drop something.
const PART: &str = "caller";

/// Bytes by which the head of a request that an instance passes on may exceed that of its caller.
const PASSED_HEAD_BYTES: usize = 4 << 10;

/// Who sends the requests on a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    /// Callers.
    Caller,
    /// Other instances, which reach no server, for their callers.
    Instance,
}

/// HTTP service for callers or other instances.
struct Frontend {
    components: Arc<Components>,
    filters: Vec<Box<dyn Filter>>,
    origin: Origin,
    /// Connections that were closed because something was short.
    shortages: Throttle,
}

/// Accepts and serves connections from callers or other instances; never returns.
pub async fn serve(listener: TcpListener, components: Arc<Components>, origin: Origin) {
    let filters = filter::chain(&components);
    let frontend =
        Arc::new(Frontend { components, filters, origin, shortages: Throttle::default() });
    let group = match origin {
        Origin::Caller => &frontend.components.clients.callers,
        Origin::Instance => &frontend.components.clients.neighbours,
    };
    loop {
        let stream = listener::accept(&listener).await;
        match group.admit() {
            Ok(holding) => {
                tokio::spawn(frontend.clone().serve_admitted(stream, holding));
            }
            // Callers take a connection that is closed unread to another instance.
            Err(shortage) => frontend.count_shortage(shortage),
        }
    }
}

impl Frontend {
    /// Serves one connection until it ends, or has to yield to others.
    async fn serve_admitted(self: Arc<Self>, stream: TcpStream, holding: Holding) {
        let holding = Arc::new(holding);
        tokio::select! {
            () = self.clone().serve_connection(stream, &holding) => {}
            shortage = holding.yielded() => self.count_shortage(shortage),
        }
    }

    /// Counts a connection that was closed because something is short.
    fn count_shortage(&self, shortage: Shortage) {
        let part = match self.origin {
            Origin::Caller => PART,
            Origin::Instance => PASSED_PART,
        };
        self.components.metrics.count_drop(part, &shortage.to_string());
        if let Some(count) = self.shortages.count() {
            let usage = self.components.clients.capacity().usage();
            log::info!(
                "closed connections to make room; part={part} count={count} cause={shortage} \
                 connections={} memory_bytes={}",
                usage.connections,
                usage.bytes
            );
        }
    }

    /// Serves one connection until it reaches a time limit of the configuration in force. When the
    /// instance stops, requests that arrive or are in flight are completed before the connection is
    /// closed.
    async fn serve_connection(self: Arc<Self>, stream: TcpStream, holding: &Arc<Holding>) {
        let limits = self.limits();
        let allowance = Allowance::default();
        allowance.set_whole(max_request_bytes(&limits));
        let activity = Activity::new(self.components.serving.clone(), holding.clone());
        let meter = Meter::new(stream, allowance.clone());
        let extra_head = match self.origin {
            Origin::Caller => 0,
            Origin::Instance => PASSED_HEAD_BYTES,
        };
        let cell = self.components.cell.clone();
        let stream = Transport::new(meter, activity.clone(), cell, extra_head);
        let (frontend, active, allowed) = (self.clone(), activity.clone(), allowance.clone());
        let service = service_fn(move |request| {
            allowed.set_whole(max_request_bytes(&frontend.limits()));
            let (frontend, active, guard) = (frontend.clone(), active.clone(), active.enter());
            async move {
                let response = frontend.handle(request, &active).await;
                Ok::<_, Infallible>(response::with_guard(response, guard))
            }
        });
        let mut connection = http1::Builder::new()
            .max_buf_size(limits.head_bytes.max(MAX_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let close = http1::Connection::graceful_shutdown;
        let Some(result) = self.drive(&mut connection, close, &activity).await else {
            self.report_end(&activity, "time_limit");
            return;
        };
        let error = result.err();
        if let Some(error) = &error {
            self.report_end(&activity, &describe(error));
        }
        // What the caller still sends is only discarded.
        holding.set_stage(Stage::Idle);
        let into_stream = || connection.into_parts().io.into_inner().into_inner();
        if error.as_ref().is_some_and(|error| HeadTooLarge::is_cause_of(error)) {
            linger::send(into_stream(), HEAD_TOO_LARGE).await;
        } else if activity.has_unread_body() || error.is_some_and(|error| error.is_parse()) {
            linger::discard(into_stream()).await;
        }
    }

    /// Runs a connection to its end, and returns `None` if it reached a time limit. `close` shuts it
    /// down gracefully.
    async fn drive<C>(
        &self,
        connection: &mut C,
        close: fn(Pin<&mut C>),
        activity: &Activity,
    ) -> Option<hyper::Result<()>>
    where
        C: Future<Output = hyper::Result<()>> + Unpin,
    {
        let mut is_closing = false;
        loop {
            tokio::select! {
                // A request that has arrived is read before the connection counts as idle.
                biased;
                result = &mut *connection => return Some(result),
                () = self.wait_for_closing(), if !is_closing => {
                    is_closing = true;
                    // The response to a request that is arriving, or to the first one of a new
                    // connection, closes the connection.
                    let now = activity.snapshot(Instant::now());
                    if now.phase != Phase::Receiving && now.last_request.is_some() {
                        close(Pin::new(connection));
                    }
                }
                () = self.wait_for_limit(activity) => return None,
            }
        }
    }

    /// Logs the end of a connection by a limit or an error. Only a connection that was not idle can have
    /// lost a request or a response.
    fn report_end(&self, activity: &Activity, cause: &str) {
        let end = activity.snapshot(Instant::now());
        if end.phase == Phase::Idle {
            log::debug!("closed an idle connection of a caller; cause={cause}");
            return;
        }
        self.components.metrics.count_drop(PART, &end.phase.to_string());
        log::info!(
            "lost a connection of a caller; phase={} bytes={} phase_ms={} last_id={} cause={cause}",
            end.phase,
            end.bytes,
            end.age.as_millis(),
            end.last_request.as_deref().unwrap_or("none")
        );
    }

    /// Waits until a connection has reached a time limit of the configuration in force.
    async fn wait_for_limit(&self, activity: &Activity) {
        loop {
            let left = activity.time_left(&self.limits(), Instant::now());
            if left.is_some_and(|left| left.is_zero()) {
                return;
            }
            let pause = left.unwrap_or(LIMIT_CHECK_INTERVAL).min(LIMIT_CHECK_INTERVAL);
            tokio::time::sleep(pause).await;
        }
    }

    /// Returns the limits of the configuration in force.
    fn limits(&self) -> Limits {
        self.components.cell.load().rules.limits.clone()
    }

    /// Waits until the instance closes its connections.
    async fn wait_for_closing(&self) {
        let mut closing = self.components.closing.subscribe();
        if closing.wait_for(|closing| *closing).await.is_err() {
            log::debug!("instance was dropped while a connection from a caller was open");
        }
    }

    async fn handle(&self, request: Request<Incoming>, activity: &Activity) -> Response {
        let arrived = Instant::now();
        let in_flight = self.components.in_flight.enter();
        let (mut head, incoming) = request.into_parts();
        let request = self.components.dialect.parse_request(&head);
        let id = request.id.clone().unwrap_or_else(|| id::generate("r"));
        activity.set_request(&id);
        let admitted = self.admit(&mut head, &id);
        let attempts = pass::take_attempts(&mut head.headers);
        let mut exchange = Exchange {
            id,
            is_passed: self.origin == Origin::Instance,
            attempts: attempts.filter(|_| self.origin == Origin::Instance),
            arrived,
            head,
            incoming: Some(incoming),
            body: bytes::Bytes::new(),
            is_body_abandoned: false,
            request,
            view: self.components.cell.load(),
            route: None,
            principal: None,
            response: None,
        };
        let outcome = match admitted {
            Ok(()) => self.run(&mut exchange, activity).await,
            Err(problem) => Err(problem),
        };
        let has_unread_body = exchange.has_unread_body();
        if has_unread_body {
            activity.set_unread_body();
        }
        let mut response = match outcome {
            Ok(mut response) => {
                // Only an instance can say that it gave no answer.
                response.headers_mut().remove(RAN);
                response.headers_mut().remove(NO_PATH);
                response
            }
            Err(problem) => {
                self.components.metrics.count_refusal(problem.reason);
                log::info!(
                    "no answer; id={} reason={} status={} route={} account={} revision={} \
                     confirmed_ms={} waited_ms={} unread_body={has_unread_body} detail={}",
                    exchange.id,
                    problem.reason,
                    problem.status,
                    exchange.route.as_ref().map_or("none", |route| &*route.id),
                    exchange.principal.as_ref().map_or("none", |principal| &*principal.account),
                    exchange.view.rules.revision,
                    self.components.freshness.age().as_millis(),
                    arrived.elapsed().as_millis(),
                    problem.detail
                );
                let mut response = response::problem(&problem, &exchange.id);
                self.mark_refusal(&problem, &mut response);
                response
            }
        };
        if self.components.is_stopping() || has_unread_body {
            response.headers_mut().insert(header::CONNECTION, response::CLOSE);
        }
        response::with_guard(response, in_flight)
    }

    /// Checks that a request may be sent on this listener, and removes its mark.
    fn admit(&self, head: &mut request::Parts, id: &str) -> Result<(), Problem> {
        if self.origin == Origin::Caller {
            head.headers.remove(PASS);
            return Ok(());
        }
        let (path, own) = (self.components.forwarder.path(), &self.components.settings.instance);
        let secret = path.secret().unwrap_or_default();
        let digest = pass::digest(&head.method, &head.uri);
        match Pass::take(&mut head.headers, &secret, own, id, digest) {
            Ok(pass) => {
                log::info!("takes a passed request; id={id} from={}", pass.from);
                Ok(())
            }
            Err(invalid) => {
                self.components.metrics.count_drop(PASSED_PART, &invalid.to_string());
                log::warn!("rejected a request without a valid mark; id={id} cause={invalid}");
                Err(Problem::new(Refusal::NotAllowed, "only instances send requests here"))
            }
        }
    }

    /// States in a refusal to another instance whether the request may have run, and whether this
    /// instance reaches servers.
    fn mark_refusal(&self, problem: &Problem, response: &mut Response) {
        if self.origin == Origin::Caller {
            return;
        }
        let ran = match problem.ran {
            Execution::NotRun => RAN_NO,
            Execution::Unknown => RAN_UNKNOWN,
        };
        response.headers_mut().insert(RAN, HeaderValue::from_static(ran));
        if problem.reason == Refusal::NoPath {
            response.headers_mut().insert(NO_PATH, HeaderValue::from_static("1"));
        }
    }

    /// Applies the filters to a request and returns the response.
    async fn run(&self, exchange: &mut Exchange, activity: &Activity) -> Result<Response, Problem> {
        for filter in &self.filters {
            filter.apply(exchange).await?;
            if exchange.incoming.is_none() {
                activity.set_whole_body();
            }
        }
        Ok(exchange.response.take().unwrap_or_else(response::no_response))
    }
}

/// Returns the largest number of bytes that a caller may send from the head of a request to the
/// head of the next one. Each byte of a body may be in a chunk of its own.
fn max_request_bytes(limits: &Limits) -> usize {
    2 * limits.head_bytes + MAX_CHUNK_FRAMING * limits.body_bytes + MIN_FRAMING_BYTES
}
