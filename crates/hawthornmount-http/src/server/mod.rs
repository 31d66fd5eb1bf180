//! HTTP server around one handler.

mod gate;
mod response;

pub use response::{json, text};

use {
    crate::{Request, Response},
    async_trait::async_trait,
    derive_more::{Display, Error},
    gate::Gate,
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, task::JoinHandle},
    volo::net::incoming::MakeIncoming,
    volo_http::{context::ServerContext, server::Server as VoloServer},
};

/// Answers requests.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    async fn handle(&self, request: Request) -> Response;

    /// Takes note of a connection that was closed before its request was read.
    fn rejected(&self, _rejection: Rejection) {}
}

/// Limits on what a caller may send before its request is handled.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time in which the head of the first request has to arrive.
    pub head_timeout: Duration,
    /// Longest head, in bytes.
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
    /// The head of the request came too slowly.
    SlowHead,
    /// The head of the request is too large.
    LargeHead,
}

impl Rejection {
    /// Returns the whole answer as it goes out.
    const fn answer(self) -> &'static str {
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

/// Why a server can't listen.
#[derive(Debug, Display, Error)]
#[display("can't listen on {address}: free the address or set another one")]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// A server that listens and answers in the runtime that it was started in.
///
/// Dropping it stops accepting; open connections end with the runtime. Signals do not stop it: the
/// owner decides when the process ends.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on `address` and answers with `handler`; port 0 takes any free port.
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

    /// Listens as [`Server::start`] does, with other limits.
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

    /// Returns the address that the server listens on.
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
    let gate = Gate::new(listener, handler.clone(), limits);
    let server = VoloServer::new(Adapter(handler))
        .http1_only()
        .register_shutdown_hook(|| Box::pin(std::future::pending()));
    if let Err(error) = server.run(Made(gate)).await {
        log::error!("HTTP server ended, restart the instance; cause={error}");
    }
}

struct Made(Gate);

impl MakeIncoming for Made {
    type Incoming = Gate;

    async fn make_incoming(self) -> io::Result<Gate> {
        Ok(self.0)
    }
}

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
        Ok(self.0.handle(request).await)
    }
}
