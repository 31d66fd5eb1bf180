//! HTTP/1.1 server that passes every request to one handler.

mod acceptor;
mod response;

pub use response::{json, text};

use {
    crate::{Request, Response, StatusCode},
    acceptor::Acceptor,
    async_trait::async_trait,
    derive_more::{Display, Error},
    futures::FutureExt,
    std::{
        convert::Infallible, io, net::SocketAddr, panic::AssertUnwindSafe, sync::Arc,
        time::Duration,
    },
    tokio::{net::TcpListener, task::JoinHandle},
    volo::net::incoming::MakeIncoming,
    volo_http::{context::ServerContext, server::Server as VoloServer},
};

/// Handles the requests of a server.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Handles one request and returns its response. A panic is answered with status 500.
    async fn handle(&self, request: Request) -> Response;

    /// Called for a connection that is closed before its request was read, for logs and metrics.
    fn rejected(&self, _rejection: Rejection) {}
}

/// Limits on the head of the first request of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time from accepting a connection until the complete head has to arrive.
    pub head_timeout: Duration,
    /// Maximum size of the head, in bytes.
    pub max_head_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { head_timeout: Duration::from_secs(10), max_head_bytes: 32 * 1_024 }
    }
}

/// Why a connection was closed before its request was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rejection {
    /// The head of the request did not arrive within the timeout.
    SlowHead,
    /// The head of the request is too large.
    LargeHead,
}

impl Rejection {
    /// Returns the complete HTTP response as it is sent.
    const fn response(self) -> &'static str {
        match self {
            Self::SlowHead => concat!(
                "HTTP/1.1 408 Request Timeout\r\n",
                "connection: close\r\ncontent-length: 0\r\n\r\n",
            ),
            Self::LargeHead => concat!(
                "HTTP/1.1 431 Request Header Fields Too Large\r\n",
                "connection: close\r\ncontent-length: 0\r\n\r\n",
            ),
        }
    }
}

/// Error of a server that can't listen on its address.
#[derive(Debug, Display, Error)]
#[display("can't listen on {address}: free the address or set another one")]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// HTTP server that runs on the tokio runtime in which it was started.
///
/// Dropping it stops accepting connections; open connections end with the runtime. It ignores
/// signals: the owner decides when the process ends.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `address` and passes requests to `handler`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub async fn start(
        address: SocketAddr,
        handler: Arc<dyn Handler>,
    ) -> Result<Self, ListenError> {
        Self::start_with(address, handler, Limits::default()).await
    }

    /// Listens like [`Server::start`], with custom limits.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub async fn start_with(
        address: SocketAddr,
        handler: Arc<dyn Handler>,
        limits: Limits,
    ) -> Result<Self, ListenError> {
        let listener =
            TcpListener::bind(address).await.map_err(|source| ListenError { address, source })?;
        let address = listener.local_addr().map_err(|source| ListenError { address, source })?;
        let task = tokio::spawn(run(listener, handler, limits));
        Ok(Self { address, task })
    }

    /// Returns the address that the server listens on, with the port that was selected for port 0.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(listener: TcpListener, handler: Arc<dyn Handler>, limits: Limits) {
    let acceptor = Acceptor::new(listener, handler.clone(), limits);
    let server = VoloServer::new(Adapter(handler))
        .http1_only()
        // A hook that never completes keeps volo from stopping the server on a signal.
        .register_shutdown_hook(|| Box::pin(std::future::pending()));
    if let Err(error) = server.run(Source(acceptor)).await {
        log::error!("HTTP server stopped, restart the instance; cause={error}");
    }
}

/// Passes a started acceptor to volo, which asks for it once.
struct Source(Acceptor);

impl MakeIncoming for Source {
    type Incoming = Acceptor;

    async fn make_incoming(self) -> io::Result<Acceptor> {
        Ok(self.0)
    }
}

/// Adapts a [`Handler`] to volo's service trait.
#[derive(Clone)]
struct Adapter(Arc<dyn Handler>);

impl volo::Service<ServerContext, Request> for Adapter {
    type Response = Response;
    type Error = Infallible;

    async fn call(
        &self,
        _context: &mut ServerContext,
        request: Request,
    ) -> Result<Response, Infallible> {
        let target = request.uri().path().to_owned();
        // The handler is shared with other requests, which a panic of one leaves consistent.
        let handled = AssertUnwindSafe(self.0.handle(request)).catch_unwind().await;
        Ok(handled.unwrap_or_else(|_panic| {
            log::error!("internal error while a request was handled, report it; path={target}");
            text(StatusCode::INTERNAL_SERVER_ERROR, "the instance failed: report it\n".to_owned())
        }))
    }
}
