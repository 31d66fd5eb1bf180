//! Bodies that keep a guard until they are sent or dropped.

use {
    bytes::Bytes,
    http_body::{Body, Frame, SizeHint},
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Body that keeps a guard of its request.
#[derive(Debug)]
pub struct Guarded<B, G> {
    body: B,
    _guard: G,
}

impl<B, G> Guarded<B, G> {
    /// Creates a body with a guard.
    pub const fn new(body: B, guard: G) -> Self {
        Self { body, _guard: guard }
    }
}

impl<B: Body<Data = Bytes> + Unpin, G: Unpin> Body for Guarded<B, G> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
