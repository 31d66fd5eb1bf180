//! Splits the bytes of a server-sent event stream into complete events, so that a stream that
//! breaks off in the middle of an event can be resumed after the last complete one.

use {
    crate::message::EventId,
    bytes::{Bytes, BytesMut},
    derive_more::Display,
    hawthornmount_http::{
        body::MAX_EVENT_BYTES,
        capacity::{Capacity, Holding, Shortage, Stage},
    },
    std::future,
};

/// Size up to which an incomplete event needs no memory beyond that of its connection, in bytes.
const UNHELD_BYTES: usize = 4 << 10;

/// Why a stream can't be relayed.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Fault {
    /// An event exceeds the size limit.
    #[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The id of an event is not the successor of the last one.
    #[display("events are missing")]
    MissingEvents,
    /// An event has no id although those before it have one, so it is not one of this stream.
    #[display("an event has no id")]
    NoId,
    /// There is no memory for an incomplete event, or it had to yield to others.
    #[display("an event is not complete, and {_0} is reached")]
    NoRoom(Shortage),
}

/// Complete events that can be sent to the caller.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Events {
    /// Bytes of the events.
    pub bytes: Bytes,
    /// Number of events.
    pub count: usize,
}

/// Buffers bytes until events are complete, and drops events that the caller already has.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Start of the last line in the buffer.
    line_start: usize,
    /// Number of bytes of the buffer in which no event ends.
    searched: usize,
    last: Option<EventId>,
    /// Fault after the events that were returned last.
    fault: Option<Fault>,
    /// Capacity within which incomplete events are kept; `None` if it is not bounded.
    capacity: Option<Capacity>,
    /// Memory of an incomplete event that is larger than [`UNHELD_BYTES`].
    holding: Option<Holding>,
}

impl Splitter {
    /// Creates a splitter for a caller that already has the events up to `last`.
    pub fn new(last: Option<EventId>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Keeps incomplete events within a capacity that is shared with others.
    #[must_use]
    pub fn within(mut self, capacity: Capacity) -> Self {
        self.capacity = Some(capacity);
        self
    }

    /// Returns the id of the last complete event.
    pub const fn last_id(&self) -> Option<EventId> {
        self.last
    }

    /// Returns whether the buffer holds an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the fault after the events that were returned last, if there is one.
    pub const fn fault(&self) -> Option<Fault> {
        self.fault
    }

    /// Discards the incomplete event that an interrupted stream left in the buffer.
    pub fn discard_partial_event(&mut self) {
        self.fault = None;
        (self.buffer, self.holding) = (BytesMut::new(), None);
        (self.line_start, self.searched) = (0, 0);
    }

    /// Waits until the incomplete event has to yield its memory, and returns that as a fault.
    pub async fn yielded(&self) -> Fault {
        match &self.holding {
            Some(holding) => Fault::NoRoom(holding.yielded().await),
            None => future::pending().await,
        }
    }

    /// Adds bytes to the buffer and returns the events that are now complete.
    ///
    /// # Errors
    ///
    /// Returns a fault if the stream can't be relayed. Events before the fault are returned first, and
    /// the fault by [`Splitter::fault`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<Events, Fault> {
        self.buffer.extend_from_slice(bytes);
        let mut events = BytesMut::new();
        let mut count = 0;
        while let Some(length) = self.event_length() {
            let event = self.buffer.split_to(length);
            let fault = match (id(&event), self.last) {
                (Some(id), Some(last)) if id <= last => continue,
                (Some(id), Some(last)) if id > last + 1 => Some(Fault::MissingEvents),
                (Some(id), _) => {
                    self.last = Some(id);
                    None
                }
                (None, Some(_)) if !is_comment(&event) => Some(Fault::NoId),
                (None, _) => None,
            };
            match fault {
                Some(fault) if count == 0 => return Err(fault),
                Some(_) => {
                    self.fault = fault;
                    break;
                }
                None => {}
            }
            events.extend_from_slice(&event);
            count += 1;
        }
        let fault = self.fault.or(self.keep_partial_event(bytes.len()).err());
        match fault {
            Some(fault) if count == 0 => return Err(fault),
            fault => self.fault = fault,
        }
        Ok(Events { bytes: events.freeze(), count })
    }

    /// Checks that the incomplete event, of which `arrived` bytes are new, may be kept.
    fn keep_partial_event(&mut self, arrived: usize) -> Result<(), Fault> {
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(Fault::TooLong);
        }
        self.hold(arrived).map_err(Fault::NoRoom)
    }

    /// Holds the memory of the incomplete event, of which `arrived` bytes are new.
    fn hold(&mut self, arrived: usize) -> Result<(), Shortage> {
        let Some(capacity) = &self.capacity else { return Ok(()) };
        if self.buffer.len() <= UNHELD_BYTES {
            if self.holding.take().is_some() {
                // The buffer would keep the memory of the event before.
                self.buffer = BytesMut::from(&*self.buffer);
            }
            return Ok(());
        }
        let size = self.buffer.capacity();
        match &self.holding {
            Some(holding) => {
                holding.record_progress(arrived);
                holding.resize(size)?;
            }
            None => {
                let holding = capacity.hold(size)?;
                holding.set_stage(Stage::Body);
                self.holding = Some(holding);
            }
        }
        Ok(())
    }

    /// Returns the length of the first complete event, including the empty line that ends it. Bytes
    /// are searched once, however small the pieces are in which an event arrives.
    fn event_length(&mut self) -> Option<usize> {
        for at in self.searched..self.buffer.len() {
            if self.buffer[at] != b'\n' {
                continue;
            }
            let is_empty = matches!(&self.buffer[self.line_start..at], b"" | b"\r");
            self.line_start = at + 1;
            if is_empty {
                (self.line_start, self.searched) = (0, 0);
                return Some(at + 1);
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

/// Returns whether a block of lines consists of comments.
fn is_comment(block: &[u8]) -> bool {
    let mut lines = block.split(|byte| *byte == b'\n');
    lines.all(|line| matches!(line, b"" | b"\r") || line.starts_with(b":"))
}

/// Returns the id of an event, if it has a numeric one.
fn id(event: &[u8]) -> Option<EventId> {
    let lines = event.split(|byte| *byte == b'\n');
    let text = lines.filter_map(|line| line.strip_prefix(b"id:")).next_back()?;
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
