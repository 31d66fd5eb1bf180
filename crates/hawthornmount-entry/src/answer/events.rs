//! Server-sent events of a streamed completion, passed on unbuffered.

use {
    super::Usage,
    bytes::{Bytes, BytesMut},
    derive_more::{Display, Error},
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
    Cut,
    /// An event is larger than the limit.
    #[display("an event of the stream is too large: lower max_tokens")]
    TooLarge,
    /// The transport failed.
    #[display("the stream broke: send the request again; cause={cause}")]
    Broken {
        /// Message of the transport.
        cause: Arc<str>,
    },
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
}

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
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

    /// Returns the text so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    async fn read(&mut self) -> Result<Event, Error> {
        loop {
            if let Some(end) = find_blank_line(&self.buffer) {
                let bytes = self.buffer.split_to(end).freeze();
                return Ok(self.note(bytes));
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
                    return Err(Error::Broken { cause: error.to_string().into() });
                }
                None => return Err(Error::Cut),
            }
        }
    }

    fn note(&mut self, bytes: Bytes) -> Event {
        let text = String::from_utf8_lossy(&bytes);
        let data = text.lines().find_map(|line| line.strip_prefix("data:")).unwrap_or_default();
        let terminal = data.trim() == TERMINAL;
        if let Ok(chunk) = serde_json::from_str::<Chunk>(data) {
            self.usage = chunk.usage.unwrap_or(self.usage);
            let content = chunk.choices.into_iter().next().and_then(|choice| choice.delta.content);
            if self.text.len() < MAX_TEXT {
                self.text.push_str(&content.unwrap_or_default());
            }
        }
        drop(text);
        Event { bytes, terminal }
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
