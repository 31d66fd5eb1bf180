//! HTTP/1.1 server that passes every request to one handler.

mod acceptor;
mod connection;
mod response;
mod watched;

pub use response::{json, text};

use {
    crate::{
        Request, Response,
        capacity::{Capacity, Group, Shortage},
        listener,
    },
    async_trait::async_trait,
    connection::Connections,
    derive_more::{Display, Error},
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::task::JoinHandle,
};

/// Handles the requests of a server.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Handles one request and returns its response. A panic is answered with status 500.
    async fn handle(&self, request: Request) -> Response;

    /// Called for a connection that is closed before its request was read, for logs and metrics.
    fn rejected(&self, _rejection: Rejection) {}

    /// Called for a connection that is closed because something is short, for logs and metrics.
    fn closed(&self, _shortage: Shortage) {}
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
    /// There is no memory for the head of the request.
    NoRoom,
}

impl Rejection {
    /// Returns the complete HTTP response as it is sent.
    const fn response(self) -> &'static str {
        match self {
            Self::SlowHead => concat!(
                "HTTP/1.1 408 Request Timeout\r\n",
                "connection: close\r\ncontent-length: 0\r\n\r\n",
            ),
            Self::NoRoom => concat!(
                "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n",
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
    connections: Arc<Connections>,
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
        let unbounded = Capacity::new(usize::MAX).group(usize::MAX);
        Self::start_within(address, handler, limits, unbounded).await
    }

    /// Listens like [`Server::start_with`], for connections of a group. The [`crate::capacity::Holding`] of its connection, in an `Arc`,
    /// is an extension of each request; the handler sets the stage `Busy` once it has the whole body.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub async fn start_within(
        address: SocketAddr,
        handler: Arc<dyn Handler>,
        limits: Limits,
        group: Group,
    ) -> Result<Self, ListenError> {
        let listener =
            listener::listen(address).map_err(|source| ListenError { address, source })?;
        let address = listener.local_addr().map_err(|source| ListenError { address, source })?;
        let connections = Arc::new(Connections::new());
        let task =
            tokio::spawn(acceptor::accept(listener, handler, limits, connections.clone(), group));
        Ok(Self { address, connections, task })
    }

    /// Returns the address that the server listens on, with the port that was selected for port 0.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of open connections on which a request has arrived. A connection is open
    /// until its last response is written.
    pub fn connections(&self) -> usize {
        self.connections.count()
    }

    /// Closes idle connections, and the others once their response is written. New connections are
    /// still accepted, for one request each.
    pub fn close_connections(&self) {
        self.connections.close();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}
