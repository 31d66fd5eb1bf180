//! Accepts connections and serves them once the head of their first request has arrived, so that slow
//! callers take no capacity of the server.

use {
    super::{Handler, Limits, Rejection, connection::Connections},
    crate::connection::{
        linger,
        meter::{Allowance, Meter},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore},
    },
};

/// Initial size of the buffer in which the head is peeked.
const INITIAL_PEEK_BYTES: usize = 2 * 1_024;
/// Interval at which an incomplete head is peeked again.
const PEEK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of accepted connections that wait for the head of their first request.
const MAX_PENDING: usize = 4_096;
/// Delay before accepting again after `accept` failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts the connections of `listener`; never returns.
pub async fn accept(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    limits: Limits,
    connections: Arc<Connections>,
) {
    let permits = Arc::new(Semaphore::new(MAX_PENDING));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let connections = connections.clone();
                tokio::spawn(serve_when_ready(
                    stream,
                    handler.clone(),
                    limits,
                    connections,
                    permit,
                ));
            }
            Err(error) => {
                log::warn!(
                    "can't accept a connection, raise the limit on open files; cause={error}"
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the connection once a complete head has arrived, else rejects it.
async fn serve_when_ready(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    limits: Limits,
    connections: Arc<Connections>,
    permit: OwnedSemaphorePermit,
) {
    let _ = stream.set_nodelay(true);
    match wait_for_head(&stream, limits).await {
        Ok(()) => {
            drop(permit);
            connections.serve(stream, handler).await;
        }
        Err(Some(rejection)) => {
            handler.rejected(rejection);
            let meter = Meter::new(stream, Allowance::default());
            linger::send(meter, rejection.response().as_bytes()).await;
        }
        Err(None) => {}
    }
}

/// Waits until the complete head of a request can be read, without consuming it.
///
/// # Errors
///
/// Returns the rejection whose response is to be sent, or `None` if the connection was closed or
/// failed, or if nothing arrived until the timeout.
async fn wait_for_head(stream: &TcpStream, limits: Limits) -> Result<(), Option<Rejection>> {
    let deadline = Instant::now() + limits.head_timeout;
    let mut buffer = vec![0; INITIAL_PEEK_BYTES];
    let mut previous = 0;
    loop {
        let peek = tokio::time::timeout_at(deadline.into(), stream.peek(&mut buffer));
        let length = match peek.await {
            Ok(Ok(0)) | Ok(Err(_)) => return Err(None),
            Ok(Ok(length)) => length,
            Err(_) if previous == 0 => return Err(None),
            Err(_) => return Err(Some(Rejection::SlowHead)),
        };
        if contains_head_end(&buffer[..length]) {
            return Ok(());
        }
        if length >= limits.max_head_bytes {
            return Err(Some(Rejection::LargeHead));
        }
        if length == buffer.len() {
            buffer.resize(limits.max_head_bytes, 0);
        } else if length == previous {
            if Instant::now() >= deadline {
                return Err(Some(Rejection::SlowHead));
            }
            tokio::time::sleep(PEEK_INTERVAL).await;
        }
        previous = length;
    }
}

/// Returns whether the buffer contains the empty line that ends the head. Line feeds without a
/// carriage return count too.
fn contains_head_end(buffer: &[u8]) -> bool {
    buffer.windows(4).any(|bytes| bytes == b"\r\n\r\n")
        || buffer.windows(2).any(|bytes| bytes == b"\n\n")
}
