//! Bodies that are written while they are sent.

use {
    crate::Body, bytes::Bytes, futures::stream, http_body::Frame, std::error::Error,
    tokio::sync::mpsc,
};

/// Part of a body, or the fault that cuts it.
pub type Chunk = Result<Bytes, Box<dyn Error + Send + Sync>>;

/// Returns a body and the sender that writes it; the body ends when the sender is dropped, and
/// sending fails once the reader is gone.
pub fn channel(backlog: usize) -> (mpsc::Sender<Chunk>, Body) {
    let (sender, receiver) = mpsc::channel::<Chunk>(backlog);
    let frames = stream::unfold(receiver, |mut receiver| async {
        let chunk = receiver.recv().await?;
        Some((chunk.map(Frame::data), receiver))
    });
    (sender, Body::from_stream(Box::pin(frames)))
}

/// Returns a body that breaks off before its first byte.
pub fn aborted(cause: &'static str) -> Body {
    let chunk: Result<Frame<Bytes>, Box<dyn Error + Send + Sync>> = Err(cause.into());
    Body::from_stream(stream::iter([chunk]))
}
