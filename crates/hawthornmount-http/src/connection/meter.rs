//! Bounds the bytes that are read from a connection.

use {
    super::MAX_HEAD_BYTES,
    std::{
        io,
        pin::Pin,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Largest number of bytes that are read for one piece of a body, with its framing and what is read
/// ahead, or until the head of a response is complete, with the interim responses before it. One
/// read takes at most as many bytes as a head may have.
pub const MAX_PIECE_BYTES: usize = 4 * MAX_HEAD_BYTES;

/// Largest number of bytes that are taken in one read. The buffer of a connection doubles with each read
/// that fills it, and would grow to the size of a head for everybody who sends fast.
const MAX_READ_BYTES: usize = (16 << 10) - 1;

/// Bytes that the other end may still send.
#[derive(Clone, Debug, Default)]
pub struct Allowance(Arc<Counters>);

#[derive(Debug, Default)]
struct Counters {
    /// Bytes for the whole head, body or event.
    total: AtomicUsize,
    /// Bytes until the next piece of it is complete.
    piece: AtomicUsize,
}

impl Allowance {
    /// Allows any number of bytes.
    pub fn unbounded() -> Self {
        let allowance = Self::default();
        allowance.set_whole(usize::MAX);
        allowance
    }

    /// Allows `total` bytes for the next head, body or event.
    pub fn set(&self, total: usize) {
        self.0.total.store(total, Ordering::Relaxed);
        self.set_piece();
    }

    /// Allows `total` bytes, whatever the size of a piece.
    pub fn set_whole(&self, total: usize) {
        self.0.total.store(total, Ordering::Relaxed);
        self.0.piece.store(usize::MAX, Ordering::Relaxed);
    }

    /// Allows the bytes of another piece.
    pub fn set_piece(&self) {
        self.0.piece.store(MAX_PIECE_BYTES, Ordering::Relaxed);
    }

    /// Returns whether the other end has sent as much as it may.
    fn is_exhausted(&self) -> bool {
        [&self.0.total, &self.0.piece].iter().any(|left| left.load(Ordering::Relaxed) == 0)
    }

    fn take(&self, bytes: usize) {
        for counter in [&self.0.total, &self.0.piece] {
            let left = counter.load(Ordering::Relaxed).saturating_sub(bytes);
            counter.store(left, Ordering::Relaxed);
        }
    }
}

/// Stream whose reads fail once the allowance is exhausted. The last read may exceed it.
#[derive(Debug)]
pub struct Meter {
    stream: TcpStream,
    allowance: Allowance,
}

impl Meter {
    /// Creates a stream that reads as much as the allowance permits.
    pub const fn new(stream: TcpStream, allowance: Allowance) -> Self {
        Self { stream, allowance }
    }

    /// Returns the allowance that bounds the reads.
    pub const fn allowance(&self) -> &Allowance {
        &self.allowance
    }
}

impl AsyncRead for Meter {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_exhausted() {
            let cause = format!(
                "more bytes than allowed for one message, or {MAX_PIECE_BYTES} without any of it"
            );
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        let wanted = buffer.remaining().min(MAX_READ_BYTES);
        let mut piece = ReadBuf::new(buffer.initialize_unfilled_to(wanted));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut piece))?;
        let length = piece.filled().len();
        buffer.advance(length);
        self.allowance.take(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Meter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
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
