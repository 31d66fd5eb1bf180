//! One connection to a server, over hyper's connection interface. Its owner decides when it is
//! used again; dropping it closes it at once, which also ends what the server does for it.

use {
    bytes::Bytes,
    derive_more::{Display, Error},
    http_body_util::Full,
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpStream, task::AbortHandle},
};

/// Response whose body is still open.
pub type Response = http::Response<Incoming>;

/// Why a connection gave no answer.
#[derive(Clone, Debug, Display, Error)]
pub enum Failure {
    /// No connection came about, or the request was not written to it.
    #[display("the request was not sent: try another server; cause={cause}")]
    Unsent {
        /// Message of the transport.
        cause: Arc<str>,
    },
    /// The connection broke after the request may have gone out.
    #[display("the connection broke: the request may have run; cause={cause}")]
    Broken {
        /// Message of the transport.
        cause: Arc<str>,
    },
}

/// One connection to a server; it carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Connection {
    /// Opens a connection within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unsent`] if the server does not accept it in time.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, Failure> {
        let stream = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(Failure::unsent(&error)),
            Err(elapsed) => return Err(Failure::unsent(&elapsed)),
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("small writes may be delayed; address={address} cause={error}");
        }
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Failure::unsent(&error))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("a connection to a server ended; address={address} cause={error}");
            }
        });
        let driver = driver.abort_handle();
        Ok(Self { sender, driver })
    }

    /// Sends a request and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the request can have gone out.
    pub async fn send(&mut self, request: http::Request<Full<Bytes>>) -> Result<Response, Failure> {
        if let Err(error) = self.sender.ready().await {
            return Err(Failure::unsent(&error));
        }
        match self.sender.try_send_request(request).await {
            Ok(answer) => Ok(answer),
            Err(error) if error.message().is_some() => Err(Failure::unsent(error.error())),
            Err(error) => Err(Failure::Broken { cause: error.error().to_string().into() }),
        }
    }

    /// Tells whether the connection is open and has sent no bytes that nobody asked for.
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
    /// Tells whether the server can't have received the request.
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Unsent { .. })
    }

    fn unsent(error: &dyn std::error::Error) -> Self {
        Self::Unsent { cause: error.to_string().into() }
    }
}
