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
    hawthornmount_http::{capacity::Group, listener},
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

/// Name of the connections from operators among the parts that drop something.
const OPERATORS_PART: &str = "operator";
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
pub fn listen(address: SocketAddr) -> Result<Bound, ListenError> {
    let failed = |source| ListenError { address, source };
    let listener = listener::listen(address).map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok(Bound { address, listener })
}

/// Serves the readiness check of the load balancer and the metrics for operators; never returns.
pub async fn serve_operators(listener: TcpListener, components: Arc<Components>, group: Group) {
    loop {
        let stream = listener::accept(&listener).await;
        let holding = match group.admit() {
            Ok(holding) => holding,
            Err(shortage) => {
                components.metrics.count_drop(OPERATORS_PART, &shortage.to_string());
                continue;
            }
        };
        let serving = components.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let response = operator_response(&serving, request.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(OPERATOR_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        let metrics = components.metrics.clone();
        tokio::spawn(async move {
            tokio::select! {
                result = connection => {
                    if let Err(error) = result {
                        log::debug!("connection from an operator failed; cause={error}");
                    }
                }
                shortage = holding.yielded() => {
                    metrics.count_drop(OPERATORS_PART, &shortage.to_string());
                }
            }
        });
    }
}

/// Returns the metrics at `/metrics`, and the readiness of the instance at any other path.
fn operator_response(components: &Components, path: &str) -> Response<Full<Bytes>> {
    if path == "/metrics" {
        let usage = components.clients.capacity().usage();
        let gauges = &components.metrics.gauges;
        for (name, value) in
            [("client_connections", usage.connections), ("client_memory_bytes", usage.bytes)]
        {
            gauges.with_label_values(&[name]).set(i64::try_from(value).unwrap_or(i64::MAX));
        }
        return Response::new(Full::from(components.metrics.encode()));
    }
    let mut response = Response::new(Full::default());
    if !components.is_ready() {
        *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
