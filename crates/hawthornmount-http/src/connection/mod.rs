//! Single HTTP/1.1 connections to a server, over hyper's low-level client.
//!
//! The owner of a connection decides whether to reuse it. Dropping it closes it at once, which also
//! makes the server abandon the request in progress.

use {
    bytes::Bytes,
    derive_more::{Display, Error},
    http_body_util::Full,
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpStream, task::AbortHandle},
};

/// Response whose body has not been read yet.
pub type Response = http::Response<Incoming>;

/// Error of a request that got no response on a connection.
///
/// The messages can become part of a problem that is returned to a caller: keep them unchanged.
#[derive(Clone, Debug, Display, Error)]
pub enum Failure {
    /// No connection was established, or the request was not written to it.
    #[display("the request was not sent: try another server; cause={cause}")]
    Unsent {
        /// Error message of the transport.
        cause: Arc<str>,
    },
    /// The connection failed after the request may have been sent.
    #[display("the connection broke: the request may have run; cause={cause}")]
    Broken {
        /// Error message of the transport.
        cause: Arc<str>,
    },
}

/// Connection to a server that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    /// Task that runs the connection's protocol.
    driver: AbortHandle,
}

impl Connection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unsent`] if the server does not accept the connection within `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, Failure> {
        let stream = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(Failure::unsent(&error)),
            Err(elapsed) => return Err(Failure::unsent(&elapsed)),
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(
                "can't set TCP_NODELAY, writes may be delayed; address={address} cause={error}"
            );
        }
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Failure::unsent(&error))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to a server failed; address={address} cause={error}");
            }
        });
        let driver = driver.abort_handle();
        Ok(Self { sender, driver })
    }

    /// Sends a request and returns the response once its head has arrived.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unsent`] if the request was not written, else [`Failure::Broken`].
    pub async fn send(&mut self, request: http::Request<Full<Bytes>>) -> Result<Response, Failure> {
        if let Err(error) = self.sender.ready().await {
            return Err(Failure::unsent(&error));
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            // hyper returns the request if it failed before it began to write it.
            Err(error) if error.message().is_some() => Err(Failure::unsent(error.error())),
            Err(error) => Err(Failure::Broken { cause: error.error().to_string().into() }),
        }
    }

    /// Returns whether the connection is open, can take a request and has received no unsolicited
    /// bytes.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Failure {
    /// Returns whether the server can't have received the request.
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Unsent { .. })
    }

    fn unsent(error: &dyn std::error::Error) -> Self {
        Self::Unsent { cause: error.to_string().into() }
    }
}
