//! Open connections of a server.
//!
//! They are driven over hyper's connection interface: volo's server can shut connections down
//! gracefully on a signal only, and does not tell whether a response has been written.

use {
    super::{
        Handler, Limits, text,
        watched::{Activity, Watched},
    },
    crate::{
        Body, Response, StatusCode,
        body::Guarded,
        capacity::{Holding, Stage},
        connection::{
            linger,
            meter::{Allowance, Meter},
        },
    },
    futures::FutureExt,
    http::Request,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{
        convert::Infallible,
        panic::AssertUnwindSafe,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
    tokio::{net::TcpStream, sync::watch},
};

/// Smallest bound on the buffers of a connection, in bytes.
const MIN_BUFFER_BYTES: usize = 64 << 10;

/// Open connections on which a request has arrived.
#[derive(Debug)]
pub struct Connections {
    count: AtomicUsize,
    closing: watch::Sender<bool>,
}

/// Counts a connection until it is dropped.
struct Guard(Arc<Connections>);

impl Connections {
    /// Creates a count without connections.
    pub fn new() -> Self {
        Self { count: AtomicUsize::new(0), closing: watch::Sender::new(false) }
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Closes idle connections, and the others once their response is written.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Counts a connection until the returned guard is dropped.
    fn enter(self: &Arc<Self>) -> Guard {
        self.count.fetch_add(1, Ordering::SeqCst);
        Guard(self.clone())
    }

    /// Serves a connection on which the head of a request has arrived, until it is closed.
    pub async fn serve(
        self: Arc<Self>,
        stream: TcpStream,
        handler: Arc<dyn Handler>,
        limits: Limits,
        holding: Arc<Holding>,
    ) {
        let guard = self.enter();
        let activity = Arc::new(Activity::new(holding.clone()));
        let entered = activity.clone();
        let service = service_fn(move |mut request: Request<Incoming>| {
            let (handler, in_flight) = (handler.clone(), entered.enter());
            request.extensions_mut().insert(entered.holding().clone());
            async move {
                let response = handle(&*handler, request).await;
                Ok::<_, Infallible>(response.map(|body| Guarded::new(body, in_flight)))
            }
        });
        let meter = Meter::new(stream, Allowance::unbounded());
        let io = TokioIo::new(Watched::new(meter, activity));
        let mut connection = http1::Builder::new()
            .max_buf_size(MIN_BUFFER_BYTES.max(2 * limits.max_head_bytes))
            .serve_connection(io, service);
        let result = tokio::select! {
            // A request that has arrived is read before the connection counts as idle.
            biased;
            result = &mut connection => result,
            () = self.wait_for_closing() => {
                std::pin::Pin::new(&mut connection).graceful_shutdown();
                (&mut connection).await
            }
        };
        if let Err(error) = result {
            log::debug!("connection of a caller failed; cause={error}");
            if !error.is_parse() {
                return;
            }
        }
        // A stop need not wait for callers that keep the connection open after the response.
        drop(guard);
        holding.set_stage(Stage::Idle);
        linger::discard(connection.into_parts().io.into_inner().into_inner()).await;
    }

    async fn wait_for_closing(&self) {
        if self.closing.subscribe().wait_for(|closing| *closing).await.is_err() {
            log::debug!("server was dropped while a connection was open");
        }
    }
}

/// Handles a request; a panic is answered, too.
async fn handle(handler: &dyn Handler, request: Request<Incoming>) -> Response {
    let target = request.uri().path().to_owned();
    let handled = handler.handle(request.map(Body::from_incoming));
    // The handler is shared with other requests, which a panic of one leaves consistent.
    let handled = AssertUnwindSafe(handled).catch_unwind().await;
    handled.unwrap_or_else(|_panic| {
        log::error!("internal error while a request was handled, report it; path={target}");
        text(StatusCode::INTERNAL_SERVER_ERROR, "the instance failed: report it\n".to_owned())
    })
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.count.fetch_sub(1, Ordering::SeqCst);
    }
}
