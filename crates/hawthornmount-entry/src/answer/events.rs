//! Server-sent events of a streamed completion, passed on unbuffered.

use {
    super::Usage,
    bytes::{Bytes, BytesMut},
    derive_more::{Display, Error},
    hawthornmount_core::units::Tokens,
    hawthornmount_http::Body,
    http_body_util::BodyExt,
    serde::Deserialize,
    std::sync::Arc,
};

/// Largest event, in bytes.
const MAX_EVENT: usize = 1 << 20;
/// Characters of the answer's text that are kept for rating.
const MAX_TEXT: usize = 16_384;
/// Data of the event that ends a whole stream.
const TERMINAL: &str = "[DONE]";

/// Why a stream is not whole.
#[derive(Clone, Debug, Display, Error)]
pub enum Error {
    /// The stream ended before its terminal event.
    #[display("the stream was cut before its end: send the request again")]
    UnexpectedEnd,
    /// An event belongs to another answer.
    #[display("an event of another answer came: send the request again")]
    IdMismatch,
    /// The stream ended without saying why the answer is finished.
    #[display("the answer is truncated: send the request again")]
    Truncated,
    /// An event is larger than the limit.
    #[display("an event of the stream is too large: lower max_tokens")]
    TooLarge,
    /// The transport failed.
    #[display("the stream broke: send the request again; cause={cause}")]
    Transport {
        /// Message of the transport.
        cause: Arc<str>,
    },
}

impl Error {
    /// Returns the cause as counters name it.
    pub const fn cause(&self) -> &'static str {
        match self {
            Self::UnexpectedEnd | Self::Transport { .. } => "cut",
            Self::IdMismatch => "crossed",
            Self::Truncated => "truncated",
            Self::TooLarge => "too_large",
        }
    }
}

/// One event with its blank line.
#[derive(Clone, Debug)]
pub struct Event {
    /// Bytes as the server sent them.
    pub bytes: Bytes,
    /// Whether it ends a whole stream.
    pub terminal: bool,
}

/// Reader of a stream's events.
pub struct Reader {
    body: Body,
    buffer: BytesMut,
    first: Option<Event>,
    usage: Usage,
    text: String,
    id: Option<Arc<str>>,
    pieces: Tokens,
    finished: bool,
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
    /// Creates a reader.
    pub fn new(body: Body) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            first: None,
            usage: Usage::default(),
            text: String::new(),
            id: None,
            pieces: 0,
            finished: false,
        }
    }

    /// Waits for the first event and keeps it for [`Reader::next`].
    ///
    /// # Errors
    ///
    /// Returns an error if the stream ends before an event.
    pub async fn wait_first(&mut self) -> Result<(), Error> {
        self.first = Some(self.read().await?);
        Ok(())
    }

    /// Returns the next event.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream ends without its terminal event.
    pub async fn next(&mut self) -> Result<Event, Error> {
        match self.first.take() {
            Some(event) => Ok(event),
            None => self.read().await,
        }
    }

    /// Returns the tokens that the server has told of so far.
    pub const fn usage(&self) -> Usage {
        self.usage
    }

    /// Returns the tokens so far, counted by events if the server has told of none.
    pub fn usage_so_far(&self) -> Usage {
        if self.usage == Usage::default() {
            return Usage { prompt_tokens: 0, completion_tokens: self.pieces };
        }
        self.usage
    }

    /// Returns the text so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    async fn read(&mut self) -> Result<Event, Error> {
        loop {
            if let Some(end) = find_blank_line(&self.buffer) {
                let bytes = self.buffer.split_to(end).freeze();
                return self.note(bytes);
            }
            if self.buffer.len() > MAX_EVENT {
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

    fn note(&mut self, bytes: Bytes) -> Result<Event, Error> {
        let text = String::from_utf8_lossy(&bytes);
        let data = text.lines().find_map(|line| line.strip_prefix("data:")).unwrap_or_default();
        let terminal = data.trim() == TERMINAL;
        if let Ok(chunk) = serde_json::from_str::<Chunk>(data) {
            self.check_id(chunk.id)?;
            self.usage = chunk.usage.unwrap_or(self.usage);
            if let Some(choice) = chunk.choices.into_iter().next() {
                self.add(choice);
            }
        }
        drop(text);
        if terminal && !self.finished {
            return Err(Error::Truncated);
        }
        Ok(Event { bytes, terminal })
    }

    fn add(&mut self, choice: Choice) {
        self.finished |= choice.finish_reason.is_some();
        let Some(content) = choice.delta.content else { return };
        self.pieces += 1;
        if self.text.len() < MAX_TEXT {
            self.text.push_str(&content);
        }
    }

    /// Checks that all events carry the id of the first.
    fn check_id(&mut self, id: Option<Arc<str>>) -> Result<(), Error> {
        match (&self.id, id) {
            (None, id) => self.id = id,
            (Some(first), Some(id)) if *first != id => return Err(Error::IdMismatch),
            _ => {}
        }
        Ok(())
    }
}

/// Returns the position after the first blank line.
fn find_blank_line(buffer: &[u8]) -> Option<usize> {
    let lf = buffer.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = buffer.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}
