//! Callers that connect at the same time, send what they are told to, and stay connected.

use {
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpSocket, TcpStream},
        task::JoinSet,
    },
};

/// Size of the buffer in which a caller of a crowd receives, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
/// Time without any progress of a crowd after which it has done what it can.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Bytes that dripping callers may send in that time.
const DRIPPED_BYTES: usize = 4_096;
/// Number of times for which a crowd is awaited for [`SETTLE_TIME`] at most.
const SETTLE_ROUNDS: usize = 40;
/// Time for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of times that an ordinary caller sends its request.
const MAX_TRIES: usize = 10;
/// Pause between them.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Bytes after which a caller that sends without end stops.
const MAX_ENDLESS_BYTES: usize = 32 << 20;

/// What one caller sends, and how.
#[derive(Clone, Debug)]
pub struct Script {
    /// First bytes, sent at once.
    pub head: Vec<u8>,
    /// What follows them; the callers of a crowd share it.
    pub rest: Arc<[u8]>,
    /// What happens after that.
    pub end: End,
}

/// What a caller does after it has sent its script.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// Stays connected, sends nothing more and reads nothing.
    Stay,
    /// Sends the rest again, over and over.
    Repeat,
    /// Sends a byte from time to time.
    Drip(u8),
    /// Reads the answer, and stays connected.
    Read,
}

/// Callers that stay connected until the crowd is dropped.
pub struct Crowd {
    _members: JoinSet<()>,
    progress: Arc<AtomicUsize>,
}

impl Crowd {
    /// Starts callers that each follow a script.
    pub fn start(address: SocketAddr, count: usize, script: impl Fn() -> Script) -> Self {
        let progress = Arc::new(AtomicUsize::new(0));
        let mut members = JoinSet::new();
        for _ in 0..count {
            members.spawn(follow(address, script(), progress.clone()));
        }
        Self { _members: members, progress }
    }

    /// Waits until neither the callers nor the process make any more progress, or for a long time at
    /// most. `observe` is called all the while, and returns the bytes that the process has not read.
    pub async fn settle(&self, mut observe: impl FnMut() -> usize) {
        let mut before = (usize::MAX, usize::MAX);
        for _ in 0..SETTLE_ROUNDS {
            let mut unread = 0;
            for _ in 0..20 {
                tokio::time::sleep(SETTLE_TIME / 20).await;
                unread = observe();
            }
            let sent = self.progress.load(Ordering::Relaxed);
            // Dripping callers always send a few bytes.
            if sent.abs_diff(before.0) < DRIPPED_BYTES && unread.abs_diff(before.1) < DRIPPED_BYTES
            {
                return;
            }
            before = (sent, unread);
        }
    }
}

async fn follow(address: SocketAddr, script: Script, progress: Arc<AtomicUsize>) {
    let Ok(mut stream) = connect(address).await else { return };
    let is_sent = send(&mut stream, &script.head, &progress).await
        && send(&mut stream, &script.rest, &progress).await;
    match script.end {
        End::Repeat if is_sent => {
            let mut sent = 0;
            while sent < MAX_ENDLESS_BYTES && send(&mut stream, &script.rest, &progress).await {
                sent += script.rest.len();
            }
        }
        End::Drip(byte) if is_sent => {
            while stream.write_all(&[byte]).await.is_ok() {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
        End::Read => {
            let mut buffer = vec![0; 16 << 10];
            while matches!(stream.read(&mut buffer).await, Ok(length) if length > 0) {}
        }
        End::Stay | End::Repeat | End::Drip(_) => {}
    }
    std::future::pending::<()>().await;
}

/// Connects with a small buffer for what is received, so that answers that are not read stay with their
/// sender.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.connect(address).await
}

async fn send(stream: &mut TcpStream, bytes: &[u8], progress: &AtomicUsize) -> bool {
    for piece in bytes.chunks(64 << 10) {
        if stream.write_all(piece).await.is_err() {
            return false;
        }
        progress.fetch_add(piece.len(), Ordering::Relaxed);
    }
    true
}

/// Sends an ordinary request until it is answered with status 200, as callers do that come back
/// after a refusal. Returns the statuses so far, 0 for a closed connection, if it never is.
pub async fn ask(address: SocketAddr, request: impl Fn() -> String) -> Result<(), Vec<u16>> {
    let mut statuses = Vec::new();
    for _ in 0..MAX_TRIES {
        let status = ask_once(address, request().as_bytes()).await;
        if status == 200 {
            return Ok(());
        }
        statuses.push(status);
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    Err(statuses)
}

/// Sends a request and returns the status of the answer; 0 if there is none.
pub async fn ask_once(address: SocketAddr, request: &[u8]) -> u16 {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let (mut reader, mut writer) = stream.split();
        let mut answer = Vec::new();
        let mut buffer = [0; 4_096];
        let send = async {
            let _ = writer.write_all(request).await;
            std::future::pending::<()>().await;
        };
        let read = async {
            while !answer.windows(4).any(|end| end == b"\r\n\r\n") {
                match reader.read(&mut buffer).await {
                    Ok(length) if length > 0 => answer.extend_from_slice(&buffer[..length]),
                    _ => break,
                }
            }
        };
        tokio::select! {
            () = read => {}
            () = send => {}
        }
        let head = String::from_utf8_lossy(&answer).into_owned();
        head.split(' ').nth(1)?.parse().ok()
    };
    tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.ok().flatten().unwrap_or(0)
}

/// Returns a body of `length` bytes in chunks of `chunk` bytes, without the chunk that ends it.
pub fn chunks(length: usize, chunk: usize) -> Vec<u8> {
    let mut body = Vec::new();
    let piece = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
    for _ in 0..length / chunk {
        body.extend_from_slice(piece.as_bytes());
    }
    let rest = length % chunk;
    if rest > 0 {
        body.extend_from_slice(format!("{rest:x}\r\n{}\r\n", "x".repeat(rest)).as_bytes());
    }
    body
}
