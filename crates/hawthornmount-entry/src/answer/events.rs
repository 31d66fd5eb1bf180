//! Server-sent events of a streamed completion, forwarded one by one without buffering the answer.

use {
    super::Usage,
    bytes::{Bytes, BytesMut},
    derive_more::{Display, Error},
    hawthornmount_core::units::Tokens,
    hawthornmount_http::{Body, body::MAX_EVENT_BYTES},
    http_body_util::BodyExt,
    serde::Deserialize,
    std::sync::Arc,
};

/// Length of the text kept for rating at which further pieces are left out.
const MAX_TEXT_BYTES: usize = 16_384;
/// Data of the terminal event.
const DONE: &str = "[DONE]";

/// Reason why a stream is incomplete.
#[derive(Clone, Debug, Display, Error)]
pub enum Error {
    /// The stream ended before its terminal event.
    #[display("the stream was cut before its end: send the request again")]
    UnexpectedEnd,
    /// An event has another id than the first event with an id, so it belongs to another answer.
    #[display("an event of another answer came: send the request again")]
    IdMismatch,
    /// A block of lines is no event, so it is not part of the stream.
    #[display("the server sent something else within the stream: send the request again")]
    NoEvent,
    /// The terminal event arrived, but no event before it had a finish reason.
    #[display("the answer is truncated: send the request again")]
    Truncated,
    /// An event is larger than the limit.
    #[display("an event of the stream is too large: lower max_tokens")]
    TooLarge,
    /// The connection failed.
    #[display("the stream broke: send the request again; cause={cause}")]
    Transport {
        /// Message of the transport error.
        cause: Arc<str>,
    },
}

impl Error {
    /// Returns the value of the `cause` label of the dropped answers metric.
    pub const fn cause(&self) -> &'static str {
        match self {
            Self::UnexpectedEnd | Self::Transport { .. } => "cut",
            Self::IdMismatch => "crossed",
            Self::NoEvent => "no_event",
            Self::Truncated => "truncated",
            Self::TooLarge => "too_large",
        }
    }
}

/// One event, including the blank line that ends it.
#[derive(Clone, Debug)]
pub struct Event {
    /// Bytes of the event as the server sent them.
    pub bytes: Bytes,
    /// Whether this is the terminal event.
    pub terminal: bool,
}

/// Reads the events of a stream, checks that the stream is complete and collects usage and text.
pub struct Reader {
    body: Body,
    buffer: BytesMut,
    first: Option<Event>,
    usage: Usage,
    text: String,
    id: Option<Arc<str>>,
    /// Number of events with content, by which the tokens are estimated if the server reports none.
    content_events: Tokens,
    has_finish_reason: bool,
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    id: Option<Arc<str>>,
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    finish_reason: Option<Arc<str>>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Delta {
    content: Option<String>,
}

impl Reader {
    /// Creates a reader of the events in `body`.
    pub fn new(body: Body) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            first: None,
            usage: Usage::default(),
            text: String::new(),
            id: None,
            content_events: 0,
            has_finish_reason: false,
        }
    }

    /// Waits for the first event, which the next call of [`Reader::next`] returns.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream ends before its first event, or if that event is invalid.
    pub async fn wait_first(&mut self) -> Result<(), Error> {
        self.first = Some(self.read().await?);
        Ok(())
    }

    /// Returns the next event.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream ends before its terminal event, or if an event is invalid.
    pub async fn next(&mut self) -> Result<Event, Error> {
        match self.first.take() {
            Some(event) => Ok(event),
            None => self.read().await,
        }
    }

    /// Returns the token counts that the server has reported so far.
    pub const fn usage(&self) -> Usage {
        self.usage
    }

    /// Returns the token counts so far. If the server has reported none, each event with content
    /// counts as one token.
    pub fn usage_so_far(&self) -> Usage {
        if self.usage == Usage::default() {
            return Usage { prompt_tokens: 0, completion_tokens: self.content_events };
        }
        self.usage
    }

    /// Returns the text so far, as far as it is kept for rating.
    pub fn text(&self) -> &str {
        &self.text
    }

    async fn read(&mut self) -> Result<Event, Error> {
        loop {
            if let Some(end) = find_blank_line(&self.buffer) {
                let bytes = self.buffer.split_to(end).freeze();
                return self.parse_event(bytes);
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(Error::TooLarge);
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => {
                    return Err(Error::Transport { cause: error.to_string().into() });
                }
                None => return Err(Error::UnexpectedEnd),
            }
        }
    }

    fn parse_event(&mut self, bytes: Bytes) -> Result<Event, Error> {
        let text = String::from_utf8_lossy(&bytes);
        if !text.lines().all(is_event_line) {
            return Err(Error::NoEvent);
        }
        let data = text.lines().find_map(|line| line.strip_prefix("data:")).unwrap_or_default();
        let terminal = data.trim() == DONE;
        if let Ok(chunk) = serde_json::from_str::<Chunk>(data) {
            self.check_id(chunk.id)?;
            self.usage = chunk.usage.unwrap_or(self.usage);
            if let Some(choice) = chunk.choices.into_iter().next() {
                self.record_choice(choice);
            }
        }
        drop(text);
        if terminal && !self.has_finish_reason {
            return Err(Error::Truncated);
        }
        Ok(Event { bytes, terminal })
    }

    fn record_choice(&mut self, choice: Choice) {
        self.has_finish_reason |= choice.finish_reason.is_some();
        let Some(content) = choice.delta.content else { return };
        self.content_events += 1;
        if self.text.len() < MAX_TEXT_BYTES {
            self.text.push_str(&content);
        }
    }

    /// Checks that the event has the same id as the first event that has one.
    fn check_id(&mut self, id: Option<Arc<str>>) -> Result<(), Error> {
        match (&self.id, id) {
            (None, id) => self.id = id,
            (Some(first), Some(id)) if *first != id => return Err(Error::IdMismatch),
            _ => {}
        }
        Ok(())
    }
}

/// Returns whether a line can be part of an event: it has a known field or is a comment, whose field is
/// empty.
fn is_event_line(line: &str) -> bool {
    let field = line.split(':').next().unwrap_or_default();
    matches!(field, "" | "data" | "event" | "id" | "retry")
}

/// Returns the position after the first blank line, with either kind of line ending.
fn find_blank_line(buffer: &[u8]) -> Option<usize> {
    let lf = buffer.windows(2).position(|pair| pair == b"\n\n").map(|start| start + 2);
    let crlf = buffer.windows(4).position(|four| four == b"\r\n\r\n").map(|start| start + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}
