//! Stream of a connection from a caller that records its activity and bounds the heads of requests.

use {
    super::activity::Activity,
    crate::view::Cell,
    derive_more::{Display, Error},
    std::{
        io::{self, IoSlice},
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Error when the head of a request is larger than the configuration in force allows.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the head of the request is too large")]
pub struct HeadTooLarge;

/// Stream that records what is read, and what can't be written yet. Reads fail once the head of a
/// request exceeds the limit of the configuration in force, which can change on an open connection.
#[derive(Debug)]
pub struct Transport<S> {
    stream: S,
    activity: Activity,
    cell: Arc<Cell>,
    /// Bytes by which heads may exceed the limit.
    extra_head: usize,
}

impl HeadTooLarge {
    /// Returns whether this is the cause of an error.
    pub fn is_cause_of(error: &dyn std::error::Error) -> bool {
        let source = error.source().and_then(|source| source.downcast_ref::<io::Error>());
        source.and_then(io::Error::get_ref).is_some_and(|cause| cause.is::<Self>())
    }
}

impl<S> Transport<S> {
    /// Creates a stream that records the activity of `stream`. `cell` contains the configuration in
    /// force, and `extra_head` is by how many bytes heads may exceed its limit.
    pub const fn new(stream: S, activity: Activity, cell: Arc<Cell>, extra_head: usize) -> Self {
        Self { stream, activity, cell, extra_head }
    }

    /// Returns the underlying stream.
    pub fn into_inner(self) -> S {
        self.stream
    }

    /// Records the result of an attempt to write `length` bytes.
    fn record_write(
        &self,
        length: usize,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if matches!(result, Poll::Ready(Ok(_))) {
            self.activity.record_written();
        } else {
            self.activity.record_unwritten(length);
        }
        result
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Transport<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(received) = self.activity.head_bytes() else {
            let before = buffer.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
            self.activity.record_more(buffer.filled().len() - before);
            return Poll::Ready(Ok(()));
        };
        let limit = self.cell.load().rules.limits.head_bytes + self.extra_head;
        if received >= limit {
            return Poll::Ready(Err(io::Error::other(HeadTooLarge)));
        }
        let wanted = (limit - received).min(buffer.remaining());
        let mut piece = ReadBuf::new(buffer.initialize_unfilled_to(wanted));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut piece))?;
        let length = piece.filled().len();
        buffer.advance(length);
        Poll::Ready(self.activity.record_read(length).map_err(io::Error::other))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Transport<S> {
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
