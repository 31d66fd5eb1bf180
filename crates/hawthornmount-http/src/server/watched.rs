//! Stream of a connection that records in its holding what the client sends and takes.

use {
    crate::{
        capacity::{CONNECTION_BYTES, Holding, SOCKET_BUFFER_BYTES, Stage},
        connection::meter::Meter,
    },
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        task::{Context, Poll, ready},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// What a connection does, for its holding.
#[derive(Debug)]
pub struct Activity {
    holding: Arc<Holding>,
    /// Whether the client did not take what was written last.
    is_unread: AtomicBool,
    is_in_flight: AtomicBool,
}

/// Marks a request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Activity>);

/// Stream that records the progress of a client.
#[derive(Debug)]
pub struct Watched {
    stream: Meter,
    activity: Arc<Activity>,
}

impl Activity {
    /// Creates the activity of a connection without a request.
    pub const fn new(holding: Arc<Holding>) -> Self {
        Self { holding, is_unread: AtomicBool::new(false), is_in_flight: AtomicBool::new(false) }
    }

    /// Returns what is held for the connection.
    pub const fn holding(&self) -> &Arc<Holding> {
        &self.holding
    }

    /// Marks a request as in flight until the returned guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.is_in_flight.store(true, Ordering::Relaxed);
        self.holding.set_stage(Stage::Body);
        InFlight(self.clone())
    }

    /// Records that the client does not take the next `bytes`, or that it took some.
    fn set_unread(&self, bytes: Option<usize>) {
        if self.is_unread.swap(bytes.is_some(), Ordering::Relaxed) == bytes.is_some() {
            return;
        }
        let stage = match bytes {
            Some(_) => Stage::Unread,
            None if self.is_in_flight.load(Ordering::Relaxed) => Stage::Busy,
            None => Stage::Idle,
        };
        self.holding.set_stage(stage);
        let waiting = bytes.map_or(0, |bytes| bytes + 2 * SOCKET_BUFFER_BYTES as usize);
        self.holding.account(CONNECTION_BYTES + waiting);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.is_in_flight.store(false, Ordering::Relaxed);
        if !self.0.is_unread.load(Ordering::Relaxed) {
            self.0.holding.set_stage(Stage::Idle);
        }
    }
}

impl Watched {
    /// Creates a stream that records the progress on `stream` in `activity`.
    pub const fn new(stream: Meter, activity: Arc<Activity>) -> Self {
        Self { stream, activity }
    }

    /// Returns the underlying stream.
    pub fn into_inner(self) -> Meter {
        self.stream
    }

    /// Records the result of an attempt to write `length` bytes.
    fn record_write(
        &self,
        length: usize,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.activity.set_unread(result.is_pending().then_some(length));
        result
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.activity.holding.record_progress(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Watched {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(bytes.len(), result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(slices.iter().map(|slice| slice.len()).sum(), result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
