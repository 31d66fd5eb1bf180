//! Bodies that are kept within the capacity.

use {
    super::{Capacity, Holding, Shortage, Stage},
    bytes::Bytes,
    derive_more::{Display, Error},
    http_body::Body,
    http_body_util::BodyExt,
    std::sync::Arc,
};

/// Smallest size to which the buffer of a body grows, in bytes.
const MIN_BUFFER_BYTES: usize = 4 << 10;

/// Error of a body that was not read to its end.
#[derive(Clone, Debug, Display, Error)]
pub enum Failure {
    /// It is longer than its limit.
    #[display("the body is too long")]
    TooLong,
    /// There is no room for it, or it had to yield.
    #[display("{_0}")]
    NoRoom(#[error(not(source))] Shortage),
    /// It was not received.
    #[display("{_0}")]
    Broken(#[error(not(source))] Arc<str>),
}

/// Complete body with the memory that is held for it.
struct Held {
    bytes: Vec<u8>,
    _holding: Holding,
}

/// Buffer of a body that is arriving.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    holding: Holding,
    /// Size that is held for the buffer.
    held: usize,
    limit: usize,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Buffer {
    /// Creates a buffer of at most `limit` bytes without any content.
    ///
    /// # Errors
    ///
    /// Returns a failure if there is no room.
    pub fn new(capacity: &Capacity, limit: usize) -> Result<Self, Failure> {
        let holding = capacity.hold(0).map_err(Failure::NoRoom)?;
        Ok(Self { bytes: Vec::new(), holding, held: 0, limit })
    }

    /// Returns the memory that is held for it.
    pub const fn holding(&self) -> &Holding {
        &self.holding
    }

    /// Holds memory of this size for the content.
    ///
    /// # Errors
    ///
    /// Returns what is short if there is no room.
    pub fn hold(&mut self, bytes: usize) -> Result<(), Shortage> {
        self.holding.resize(bytes)?;
        self.held = bytes;
        Ok(())
    }

    /// Holds memory of this size for the content once there is room.
    ///
    /// # Errors
    ///
    /// Returns what is short if the memory has been yielded.
    pub async fn hold_when_free(&mut self, bytes: usize) -> Result<(), Shortage> {
        self.holding.resize_when_free(bytes).await?;
        self.held = bytes;
        Ok(())
    }

    /// Returns the size to which the buffer has to grow for more content; `None` if it need not.
    ///
    /// # Errors
    ///
    /// Returns a failure if the content gets too long.
    pub fn growth(&self, more: usize) -> Result<Option<usize>, Failure> {
        let needed = self.bytes.len() + more;
        if needed > self.limit {
            return Err(Failure::TooLong);
        }
        let grown = needed.max(2 * self.held).max(MIN_BUFFER_BYTES).min(self.limit);
        Ok((needed > self.held).then_some(grown))
    }

    /// Adds content for which the memory is held.
    pub fn push(&mut self, data: &[u8]) {
        let needed = self.bytes.len() + data.len();
        if needed > self.bytes.capacity() {
            let grown = needed.max(2 * self.bytes.capacity()).max(MIN_BUFFER_BYTES).min(self.held);
            self.bytes.reserve_exact(grown.max(needed) - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        self.holding.record_progress(data.len());
    }

    /// Returns the content; the memory is given back when its last copy is dropped.
    ///
    /// # Errors
    ///
    /// Returns a failure if the memory has been yielded.
    pub fn finish(mut self) -> Result<Bytes, Failure> {
        self.bytes.shrink_to_fit();
        self.holding.set_stage(Stage::Busy);
        self.holding.resize(self.bytes.len()).map_err(Failure::NoRoom)?;
        Ok(Bytes::from_owner(Held { bytes: self.bytes, _holding: self.holding }))
    }
}

/// Reads the body of a request, of at most `limit` bytes, to its end. The memory for an announced
/// length is held at once, and used as bytes arrive.
///
/// # Errors
///
/// Returns a failure if the body does not end, is too long, or has to yield to others.
pub async fn read<B>(mut body: B, limit: usize, capacity: &Capacity) -> Result<Bytes, Failure>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let mut buffer = Buffer::new(capacity, limit)?;
    if let Some(length) = body.size_hint().exact() {
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        if length > limit {
            return Err(Failure::TooLong);
        }
        buffer.hold(length).map_err(Failure::NoRoom)?;
    }
    loop {
        let frame = tokio::select! {
            biased;
            shortage = buffer.holding().yielded() => return Err(Failure::NoRoom(shortage)),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { return buffer.finish() };
        let frame = frame.map_err(|error| Failure::Broken(error.to_string().into()))?;
        let Ok(data) = frame.into_data() else { continue };
        if let Some(size) = buffer.growth(data.len())? {
            buffer.hold(size).map_err(Failure::NoRoom)?;
        }
        buffer.push(&data);
    }
}
