//! Constructors of streamed and of failing bodies, and bodies that keep a guard.

mod guarded;

pub use guarded::Guarded;

use {
    crate::Body, bytes::Bytes, futures::stream, http_body::Frame, std::error::Error,
    tokio::sync::mpsc,
};

/// Size up to which an incomplete event of a stream is kept, in bytes. An event holds a few tokens, some
/// hundred bytes; this has room for an answer of 10,000 tokens in one event.
pub const MAX_EVENT_BYTES: usize = 64 << 10;

/// Chunk of a body, or the error that aborts it.
pub type Chunk = Result<Bytes, Box<dyn Error + Send + Sync>>;

/// Returns a body and the sender that feeds it, with room for `capacity` unread chunks.
///
/// The body ends when the sender is dropped. Sending fails once the body was dropped.
pub fn channel(capacity: usize) -> (mpsc::Sender<Chunk>, Body) {
    let (sender, receiver) = mpsc::channel::<Chunk>(capacity);
    let frames = stream::unfold(receiver, |mut receiver| async {
        let chunk = receiver.recv().await?;
        Some((chunk.map(Frame::data), receiver))
    });
    (sender, Body::from_stream(Box::pin(frames)))
}

/// Returns a body that fails with `cause` before its first byte.
pub fn aborted(cause: &'static str) -> Body {
    let chunk: Result<Frame<Bytes>, Box<dyn Error + Send + Sync>> = Err(cause.into());
    Body::from_stream(stream::iter([chunk]))
}
