//! HTTP server for callers, and the answer to the balancer's question whether the instance is
//! ready. It uses hyper's connection interface, so that a stop can close idle connections and let
//! requests in flight end.

mod caller;
mod response;

pub use caller::serve as serve_callers;

use {
    crate::instance::Parts,
    bytes::Bytes,
    derive_more::{Display, Error},
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::{TcpListener, TcpStream},
};

/// Pause after the operating system gave no connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time in which a question for readiness or metrics has to arrive, and a connection may be idle.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);

/// Why an address can't be listened on.
#[derive(Debug, Display, Error)]
#[display("can't listen on {address}: free the address or set another one")]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// An address that is listened on.
pub struct Bound {
    /// The address; port 0 has been replaced by the one that the system chose.
    pub address: SocketAddr,
    /// Where connections come from.
    pub listener: TcpListener,
}

/// Listens on an address; port 0 takes any free port.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
pub async fn listen(address: SocketAddr) -> Result<Bound, ListenError> {
    let failed = |source| ListenError { address, source };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok(Bound { address, listener })
}

/// Accepts the next connection.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!("small writes to a caller may be delayed; cause={error}");
                }
                return stream;
            }
            Err(error) => {
                log::warn!("a connection was refused, raise the limit on files; cause={error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Answers the balancer and operators: whether the instance is ready, and its metrics.
pub async fn serve_operators(listener: TcpListener, parts: Arc<Parts>) {
    loop {
        let stream = accept(&listener).await;
        let parts = parts.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let response = operators_answer(&parts, request.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(OPERATOR_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("an operator's connection ended; cause={error}");
            }
        });
    }
}

fn operators_answer(parts: &Parts, path: &str) -> Response<Full<Bytes>> {
    if path == "/metrics" {
        return Response::new(Full::from(parts.metrics.text()));
    }
    let mut response = Response::new(Full::default());
    if !parts.is_ready() {
        *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
