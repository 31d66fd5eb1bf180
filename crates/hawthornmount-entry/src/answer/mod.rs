//! Answers on their way to the caller.

pub mod events;

#[cfg(test)]
mod tests;

use {
    bytes::Bytes, events::Reader, hawthornmount_core::units::Tokens,
    hawthornmount_http::StatusCode, serde::Deserialize, std::sync::Arc,
};

/// An answer of a backend server.
pub struct Answer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Content type of the answer.
    pub content_type: Arc<str>,
    /// Body of the answer.
    pub content: Content,
}

/// Body of an answer.
pub enum Content {
    /// The whole body.
    Buffered(Bytes),
    /// Events that are passed on as they come.
    Streamed(Box<Reader>),
}

/// Tokens that a server says an answer took.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the answer.
    pub completion_tokens: Tokens,
}

/// What is known of an answer when it is whole.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Status of the answer.
    pub status: u16,
    /// Content type of the answer.
    pub content_type: Arc<str>,
    /// Whole body, unless it was streamed.
    pub body: Option<Bytes>,
    /// Tokens of the answer.
    pub usage: Usage,
    /// Text of the answer, as far as it was kept for rating.
    pub text: Arc<str>,
}

#[derive(Deserialize)]
struct WholeBody {
    #[serde(default)]
    usage: Usage,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    message: Message,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

/// Returns the tokens and the text of a whole completion; nothing if it is not one.
pub fn read_completion(body: &[u8]) -> Option<(Usage, Arc<str>)> {
    let body: WholeBody = serde_json::from_slice(body).ok()?;
    let text = body.choices.first()?.message.content.as_str().into();
    Some((body.usage, text))
}
