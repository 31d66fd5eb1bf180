//! Stream of a connection from a caller that records its activity.

use {
    super::activity::Activity,
    std::{
        io::{self, IoSlice},
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::io::{AsyncRead, AsyncWrite, ReadBuf},
};

/// Stream that records what is read, and what can't be written yet.
#[derive(Debug)]
pub struct Transport<S> {
    stream: S,
    activity: Activity,
}

impl<S> Transport<S> {
    /// Creates a stream that records the activity of `stream`.
    pub const fn new(stream: S, activity: Activity) -> Self {
        Self { stream, activity }
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
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.activity.record_read(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
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
