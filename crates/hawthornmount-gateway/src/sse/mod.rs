//! Splits the bytes of an event stream into whole events, so that a stream that breaks in the
//! middle of an event can go on after the last whole one.

use {
    crate::message::EventId,
    bytes::{Bytes, BytesMut},
};

/// Longest event that is waited for, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a stream can't be passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// An event is longer than any server sends.
    TooLong,
    /// Events are missing before this one.
    Gap,
}

/// Whole events that can go to the caller.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Events {
    /// Their bytes.
    pub bytes: Bytes,
    /// How many they are.
    pub count: usize,
}

/// Collects bytes until events are whole, and drops events that the caller already has.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last: Option<EventId>,
}

impl Splitter {
    /// Creates a splitter for a caller that has the events up to `last`.
    pub fn new(last: Option<EventId>) -> Self {
        Self { buffer: BytesMut::new(), last }
    }

    /// Returns the id of the last whole event.
    pub const fn last_id(&self) -> Option<EventId> {
        self.last
    }

    /// Tells whether part of an event waits for its rest.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the part of an event that a broken stream left.
    pub fn discard_partial_event(&mut self) {
        self.buffer.clear();
    }

    /// Takes bytes and returns the events that are whole now.
    ///
    /// # Errors
    ///
    /// Returns a fault if the stream can't be passed on; nothing of the bytes is passed on then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Events, Fault> {
        self.buffer.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        let mut count = 0;
        while let Some(length) = event_length(&self.buffer) {
            let event = self.buffer.split_to(length);
            match (id(&event), self.last) {
                (Some(id), Some(last)) if id <= last => continue,
                (Some(id), Some(last)) if id > last + 1 => return Err(Fault::Gap),
                (Some(id), _) => self.last = Some(id),
                (None, _) => {}
            }
            whole.extend_from_slice(&event);
            count += 1;
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(Fault::TooLong);
        }
        Ok(Events { bytes: whole.freeze(), count })
    }
}

/// Returns the length of the first event with the empty line that ends it.
fn event_length(buffer: &[u8]) -> Option<usize> {
    let mut line = 0;
    for (at, byte) in buffer.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let content = buffer[line..at].strip_suffix(b"\r").unwrap_or(&buffer[line..at]);
        if content.is_empty() {
            return Some(at + 1);
        }
        line = at + 1;
    }
    None
}

/// Returns the id of an event.
fn id(event: &[u8]) -> Option<EventId> {
    let lines = event.split(|byte| *byte == b'\n');
    let text = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
