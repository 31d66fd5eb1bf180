//! HTTP server around one handler.

mod reply;

pub use reply::{json, text};

use {
    crate::{Request, Response},
    async_trait::async_trait,
    derive_more::{Display, Error},
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc},
    tokio::{net::TcpListener, task::JoinHandle},
    volo::net::incoming::DefaultIncoming,
    volo_http::{context::ServerContext, server::Server as VoloServer},
};

/// Answers requests.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    async fn handle(&self, request: Request) -> Response;
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
        let listener =
            TcpListener::bind(address).await.map_err(|source| ListenError { address, source })?;
        let address = listener.local_addr().map_err(|source| ListenError { address, source })?;
        let task = tokio::spawn(run(listener, handler));
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

async fn run(listener: TcpListener, handler: Arc<dyn Handler>) {
    let server = VoloServer::new(Adapter(handler))
        .http1_only()
        .register_shutdown_hook(|| Box::pin(std::future::pending()));
    if let Err(error) = server.run(DefaultIncoming::from(listener)).await {
        log::error!("HTTP server ended, restart the instance; cause={error}");
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
