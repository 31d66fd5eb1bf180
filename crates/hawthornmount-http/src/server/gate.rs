//! Accepts connections and hands them on once the head of their first request is there, so that
//! slow callers hold no place in the server.

use {
    super::{Handler, Limits, Rejection},
    std::{
        io,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    },
    volo::net::{conn::Conn, incoming::Incoming},
};

/// Bytes that the first look takes.
const FIRST_LOOK: usize = 2 * 1_024;
/// Pause between two looks at an incomplete head.
const PAUSE: Duration = Duration::from_millis(20);
/// Connections whose head has not arrived.
const MAX_WAITING: usize = 4_096;
/// Pause after the operating system refused a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections that wait for the server.
const BACKLOG: usize = 1_024;

/// Connections whose first request's head has arrived.
#[derive(Debug)]
pub struct Gate {
    ready: mpsc::Receiver<TcpStream>,
}

impl Gate {
    /// Starts accepting connections of `listener`.
    pub fn new(listener: TcpListener, handler: Arc<dyn Handler>, limits: Limits) -> Self {
        let (sender, ready) = mpsc::channel(BACKLOG);
        tokio::spawn(accept(listener, handler, limits, sender));
        Self { ready }
    }
}

impl Incoming for Gate {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        Ok(self.ready.recv().await.map(Conn::from))
    }
}

async fn accept(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    limits: Limits,
    sender: mpsc::Sender<TcpStream>,
) {
    let places = Arc::new(Semaphore::new(MAX_WAITING));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = sender.closed() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(admit(stream, handler.clone(), limits, sender.clone(), place));
            }
            Err(error) => {
                log::warn!("a connection was refused, raise the limit on files; cause={error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn admit(
    mut stream: TcpStream,
    handler: Arc<dyn Handler>,
    limits: Limits,
    sender: mpsc::Sender<TcpStream>,
    _place: OwnedSemaphorePermit,
) {
    let _ = stream.set_nodelay(true);
    match wait_head(&stream, limits).await {
        Ok(()) => {
            let _ = sender.send(stream).await;
        }
        Err(Some(rejection)) => {
            handler.rejected(rejection);
            let _ = stream.write_all(rejection.answer().as_bytes()).await;
        }
        Err(None) => {}
    }
}

/// Waits until the whole head of a request can be read.
async fn wait_head(stream: &TcpStream, limits: Limits) -> Result<(), Option<Rejection>> {
    let bound = Instant::now() + limits.head_timeout;
    let mut buffer = vec![0; FIRST_LOOK];
    let mut seen = 0;
    loop {
        let look = tokio::time::timeout_at(bound.into(), stream.peek(&mut buffer));
        let length = match look.await {
            Ok(Ok(0)) | Ok(Err(_)) => return Err(None),
            Ok(Ok(length)) => length,
            Err(_) if seen == 0 => return Err(None),
            Err(_) => return Err(Some(Rejection::SlowHead)),
        };
        if has_end(&buffer[..length]) {
            return Ok(());
        }
        if length >= limits.max_head_bytes {
            return Err(Some(Rejection::LargeHead));
        }
        if length == buffer.len() {
            buffer.resize(limits.max_head_bytes, 0);
        } else if length == seen {
            if Instant::now() >= bound {
                return Err(Some(Rejection::SlowHead));
            }
            tokio::time::sleep(PAUSE).await;
        }
        seen = length;
    }
}

/// Tells whether the head ends in the buffer.
fn has_end(buffer: &[u8]) -> bool {
    buffer.windows(4).any(|four| four == b"\r\n\r\n") || buffer.windows(2).any(|two| two == b"\n\n")
}
