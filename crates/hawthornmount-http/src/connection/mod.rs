//! Single HTTP/1.1 connections to a server, over hyper's low-level client.
//!
//! The owner of a connection decides whether to reuse it. Dropping it closes it at once, which also
//! makes the server abandon the request in progress.

pub mod linger;
pub mod meter;

use {
    crate::{
        capacity::{self, Capacity, SOCKET_BUFFER_BYTES, Stage, body::Buffer},
        status,
    },
    bytes::{Bytes, BytesMut},
    derive_more::{Display, Error},
    http_body::{Body, Frame},
    http_body_util::{BodyExt, Full},
    hyper::{body::Incoming, client::conn::http1},
    hyper_util::rt::TokioIo,
    meter::{Allowance, MAX_PIECE_BYTES, Meter},
    std::{
        io,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        io::AsyncReadExt,
        net::{TcpSocket, TcpStream},
        task::AbortHandle,
    },
};

/// Largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Largest number of bytes that frame a body or an event: sizes and extensions of chunks, and
/// trailers.
const MAX_FRAMING_BYTES: usize = 1 << 20;

/// Time in which an address closes a connection that it does not serve.
const CLOSE_TIME: Duration = Duration::from_millis(50);

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
    allowance: Allowance,
}

/// Slowest rate at which a long body may arrive.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Time in which nothing needs to arrive.
    pub grace: Duration,
    /// Bytes that have to arrive in each second after that.
    pub bytes_per_second: f64,
}

impl Pace {
    /// Returns the time in which more than a number of bytes have to arrive.
    fn time_for(self, bytes: usize) -> Duration {
        self.grace + Duration::from_secs_f64(bytes as f64 / self.bytes_per_second)
    }
}

/// Closes a connection at a time, unless it is dropped before.
#[derive(Debug)]
pub struct Closing(AbortHandle);

impl Connection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unsent`] if the server does not accept the connection within `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, Failure> {
        Self::establish(address, timeout, TcpStream::connect(address)).await
    }

    /// Opens a connection for answers that a client may take slowly: what is not read yet is bounded in the
    /// kernel too.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unsent`] as [`Connection::open`] does.
    pub async fn open_bounded(address: SocketAddr, timeout: Duration) -> Result<Self, Failure> {
        Self::establish(address, timeout, connect_bounded(address)).await
    }

    async fn establish(
        address: SocketAddr,
        timeout: Duration,
        connecting: impl Future<Output = io::Result<TcpStream>>,
    ) -> Result<Self, Failure> {
        let stream = match tokio::time::timeout(timeout, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(Failure::unsent(&error)),
            Err(elapsed) => return Err(Failure::unsent(&elapsed)),
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(
                "can't set TCP_NODELAY, writes may be delayed; address={address} cause={error}"
            );
        }
        let allowance = Allowance::default();
        let meter = Meter::new(stream, allowance.clone());
        allowance.set(MAX_PIECE_BYTES);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(meter))
            .await
            .map_err(|error| Failure::unsent(&error))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to a server failed; address={address} cause={error}");
            }
        });
        let driver = driver.abort_handle();
        Ok(Self { sender, driver, allowance })
    }

    /// Sends a request and returns the response once its head has arrived. The body is read
    /// with [`Connection::read_body`], or with [`Connection::read_frame`] after
    /// [`Connection::allow`].
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unsent`] if the request was not written, else [`Failure::Broken`], also if the
    /// response has no final status.
    pub async fn send(&mut self, request: http::Request<Full<Bytes>>) -> Result<Response, Failure> {
        if let Err(error) = self.sender.ready().await {
            return Err(Failure::unsent(&error));
        }
        self.allowance.set(MAX_PIECE_BYTES);
        match self.sender.try_send_request(request).await {
            Ok(response) => match status::check_final(response.status()) {
                Ok(()) => Ok(response),
                Err(error) => {
                    self.driver.abort();
                    Err(Failure::broken(&error))
                }
            },
            // hyper returns the request if it failed before it began to write it.
            Err(error) if error.message().is_some() => Err(Failure::unsent(error.error())),
            Err(error) => Err(Failure::broken(error.error())),
        }
    }

    /// Reads a body of at most `limit` bytes to its end.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Broken`] if the body does not end, or the server sends bytes that add
    /// nothing to it.
    pub async fn read_body(&self, body: &mut Incoming, limit: usize) -> Result<Bytes, Failure> {
        self.read_pieces(body, limit, None).await
    }

    /// Reads a body like [`Connection::read_body`], and waits for room in the capacity: at once for an
    /// announced length, else as the body arrives. The memory is given back with the last copy of the body.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Broken`] as [`Connection::read_body`] does.
    pub async fn read_held_body(
        &self,
        body: &mut Incoming,
        limit: usize,
        capacity: &Capacity,
    ) -> Result<Bytes, Failure> {
        if body.is_end_stream() {
            return Ok(Bytes::new());
        }
        self.allow(limit);
        let broken = |error: capacity::body::Failure| Failure::broken(&error);
        let mut buffer = Buffer::new(capacity, limit).map_err(broken)?;
        buffer.holding().set_stage(Stage::Busy);
        let announced = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
        if let Some(length) = announced.filter(|length| *length <= limit) {
            let held = buffer.hold_when_free(length).await;
            held.map_err(|shortage| Failure::broken(&shortage))?;
        }
        while let Some(frame) = self.read_frame(body).await {
            let frame = frame.map_err(|error| Failure::broken(&error))?;
            let Ok(data) = frame.into_data() else { continue };
            if let Some(size) = buffer.growth(data.len()).map_err(broken)? {
                let held = buffer.hold_when_free(size).await;
                held.map_err(|shortage| Failure::broken(&shortage))?;
            }
            buffer.push(&data);
        }
        buffer.finish().map_err(broken)
    }

    /// Reads a body of at most `limit` bytes to its end, however long that takes, as long as it arrives
    /// at the rate `pace`.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Broken`] as [`Connection::read_body`] does, or if the body is too slow.
    pub async fn read_long_body(
        &self,
        body: &mut Incoming,
        limit: usize,
        pace: Pace,
    ) -> Result<Bytes, Failure> {
        self.read_pieces(body, limit, Some(pace)).await
    }

    async fn read_pieces(
        &self,
        body: &mut Incoming,
        limit: usize,
        pace: Option<Pace>,
    ) -> Result<Bytes, Failure> {
        self.allow(limit);
        let began_at = Instant::now();
        let mut bytes = BytesMut::new();
        loop {
            let frame = match pace {
                None => self.read_frame(body).await,
                Some(pace) => {
                    let due = began_at + pace.time_for(bytes.len());
                    tokio::time::timeout_at(due.into(), self.read_frame(body))
                        .await
                        .map_err(|elapsed| Failure::broken(&elapsed))?
                }
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|error| Failure::broken(&error))?;
            let Ok(data) = frame.into_data() else { continue };
            if bytes.len() + data.len() > limit {
                let cause = format!("the body is longer than {limit} bytes");
                return Err(Failure::Broken { cause: cause.into() });
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }

    /// Reads the next piece of a body.
    pub async fn read_frame(&self, body: &mut Incoming) -> Option<hyper::Result<Frame<Bytes>>> {
        let frame = body.frame().await;
        self.allowance.set_piece();
        frame
    }

    /// Allows the server to send another `bytes` bytes and their framing from now on. When it has
    /// sent them, reading fails and the connection is closed.
    pub fn allow(&self, bytes: usize) {
        self.allowance.set(bytes + MAX_FRAMING_BYTES);
    }

    /// Closes the connection at `time`, also while no one reads from it, unless the returned guard is
    /// dropped before.
    pub fn close_at(&self, time: Instant) -> Closing {
        let driver = self.driver.clone();
        let closing = tokio::spawn(async move {
            tokio::time::sleep_until(time.into()).await;
            driver.abort();
        });
        Closing(closing.abort_handle())
    }

    /// Returns whether the connection is open, can take a request and has received no unsolicited
    /// bytes.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }
}

impl Drop for Closing {
    fn drop(&mut self) {
        self.0.abort();
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

    /// Returns the error message of the transport.
    pub const fn cause(&self) -> &Arc<str> {
        match self {
            Self::Unsent { cause } | Self::Broken { cause } => cause,
        }
    }

    fn broken(error: &dyn std::error::Error) -> Self {
        Self::Broken { cause: describe(error).into() }
    }

    fn unsent(error: &dyn std::error::Error) -> Self {
        Self::Unsent { cause: describe(error).into() }
    }
}

/// Opens a connection whose unread bytes are bounded in the kernel.
async fn connect_bounded(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.connect(address).await
}

/// What an address does with a new connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// It refuses the connection: no process listens there.
    Refused,
    /// It does not answer in time, or is out of reach.
    Silent,
    /// It accepts the connection and closes it at once.
    Closed,
    /// It accepts the connection.
    Accepted,
}

/// Opens a connection to an address and closes it, and returns what the address does with it.
pub async fn probe(address: SocketAddr, timeout: Duration) -> Reach {
    match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Ok(mut stream)) => {
            let mut byte = [0];
            match tokio::time::timeout(CLOSE_TIME, stream.read(&mut byte)).await {
                Ok(Ok(0) | Err(_)) => Reach::Closed,
                Ok(Ok(_)) | Err(_) => Reach::Accepted,
            }
        }
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Reach::Refused,
        Ok(Err(_)) | Err(_) => Reach::Silent,
    }
}

/// Returns the messages of an error and of its sources.
pub fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(error) = source {
        text.push_str(&format!(": {error}"));
        source = error.source();
    }
    text
}
