//! Accepts connections and serves them once the head of their first request has arrived, so that slow
//! callers take no capacity of the server.

use {
    super::{Handler, Limits, Rejection, connection::Connections},
    crate::{
        capacity::{CONNECTION_BYTES, Group, Holding, Stage},
        connection::{
            linger,
            meter::{Allowance, Meter},
        },
        listener,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::net::{TcpListener, TcpStream},
};

/// Initial size of the buffer in which the head is peeked.
const INITIAL_PEEK_BYTES: usize = 2 * 1_024;
/// Interval at which an incomplete head is peeked again.
const PEEK_INTERVAL: Duration = Duration::from_millis(20);

/// Accepts the connections of `listener`, which belong to `group`; never returns.
pub async fn accept(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    limits: Limits,
    connections: Arc<Connections>,
    group: Group,
) {
    loop {
        let stream = listener::accept(&listener).await;
        match group.admit() {
            Ok(holding) => {
                let (handler, connections) = (handler.clone(), connections.clone());
                tokio::spawn(serve_admitted(stream, handler, limits, connections, holding));
            }
            Err(shortage) => handler.closed(shortage),
        }
    }
}

/// Serves the connection until it ends, or has to yield to others.
async fn serve_admitted(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    limits: Limits,
    connections: Arc<Connections>,
    holding: Holding,
) {
    let holding = Arc::new(holding);
    tokio::select! {
        () = serve_when_ready(stream, handler.clone(), limits, connections, &holding) => {}
        shortage = holding.yielded() => handler.closed(shortage),
    }
}

/// Serves the connection once a complete head has arrived, else rejects it.
async fn serve_when_ready(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    limits: Limits,
    connections: Arc<Connections>,
    holding: &Arc<Holding>,
) {
    match wait_for_head(&stream, limits, holding).await {
        Ok(()) => connections.serve(stream, handler, limits, holding.clone()).await,
        Err(Some(rejection)) => {
            handler.rejected(rejection);
            holding.set_stage(Stage::Idle);
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
async fn wait_for_head(
    stream: &TcpStream,
    limits: Limits,
    holding: &Holding,
) -> Result<(), Option<Rejection>> {
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
        if previous == 0 {
            holding.set_stage(Stage::Head);
        }
        if length >= limits.max_head_bytes {
            return Err(Some(Rejection::LargeHead));
        }
        if length == buffer.len() {
            // The head is in this buffer and in that of the socket.
            let memory = CONNECTION_BYTES + 2 * limits.max_head_bytes;
            if holding.resize(memory).is_err() {
                return Err(Some(Rejection::NoRoom));
            }
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
