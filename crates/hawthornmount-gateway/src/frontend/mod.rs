//! HTTP servers: one for callers, and one for the readiness check of the load balancer and for
//! metrics. They use hyper's connection interface, so that a shutdown can close idle connections
//! and let requests in flight finish.

mod activity;
mod caller;
mod response;
mod transport;

pub use caller::{Origin, serve as serve_requests};

use {
    crate::instance::Components,
    bytes::Bytes,
    derive_more::{Display, Error},
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::{TcpListener, TcpStream},
};

/// Delay before connections are accepted again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time in which the head of a request for readiness or metrics has to arrive, and after which an
/// idle connection is closed.
const OPERATOR_TIMEOUT: Duration = Duration::from_secs(10);

/// Error when listening on an address.
#[derive(Debug, Display, Error)]
#[display("can't listen on {address}: free the address or set another one")]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// A listener with its address.
pub struct Bound {
    /// Address of the listener, with the port that the system chose if port 0 was requested.
    pub address: SocketAddr,
    /// Listener that accepts connections.
    pub listener: TcpListener,
}

/// Listens on an address; port 0 selects any free port.
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
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!(
                        "TCP_NODELAY can't be set, small writes may be delayed; cause={error}"
                    );
                }
                return stream;
            }
            Err(error) => {
                log::warn!(
                    "connection can't be accepted, raise the limit on open files; cause={error}"
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the readiness check of the load balancer and the metrics for operators; never returns.
pub async fn serve_operators(listener: TcpListener, components: Arc<Components>) {
    loop {
        let stream = accept(&listener).await;
        let components = components.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let response = operator_response(&components, request.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(OPERATOR_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection from an operator failed; cause={error}");
            }
        });
    }
}

/// Returns the metrics at `/metrics`, and the readiness of the instance at any other path.
fn operator_response(components: &Components, path: &str) -> Response<Full<Bytes>> {
    if path == "/metrics" {
        return Response::new(Full::from(components.metrics.encode()));
    }
    let mut response = Response::new(Full::default());
    if !components.is_ready() {
        *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
