//! Answers to requests, and the token counts and texts that they contain.

pub mod events;

#[cfg(test)]
mod tests;

use {
    bytes::Bytes, events::Reader, hawthornmount_core::units::Tokens,
    hawthornmount_http::StatusCode, serde::Deserialize, std::sync::Arc,
};

/// Answer to a request: that of a backend server, the stored outcome of an earlier call, or the
/// list of models that the router itself gives.
pub struct Answer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Content type of the answer.
    pub content_type: Arc<str>,
    /// Body of the answer.
    pub content: Content,
}

/// Body of an answer, buffered or streamed.
pub enum Content {
    /// The complete body.
    Buffered(Bytes),
    /// Events that are forwarded as they arrive.
    Streamed(Box<Reader>),
}

/// Token counts that a server reports for an answer.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default)]
pub struct Usage {
    /// Number of tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Number of tokens of the answer.
    pub completion_tokens: Tokens,
}

/// Summary of an answer, passed to the answer hooks.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Status of the answer.
    pub status: u16,
    /// Content type of the answer.
    pub content_type: Arc<str>,
    /// Complete body; `None` if the answer was streamed.
    pub body: Option<Bytes>,
    /// Token counts of the answer.
    pub usage: Usage,
    /// Text of the answer for rating; long streams are kept only in part.
    pub text: Arc<str>,
}

#[derive(Deserialize)]
struct CompletionBody {
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

/// Parses a complete, unstreamed completion and returns its token counts and text, or `None` if the
/// body is not a completion.
pub fn read_completion(body: &[u8]) -> Option<(Usage, Arc<str>)> {
    let body: CompletionBody = serde_json::from_slice(body).ok()?;
    let text = body.choices.first()?.message.content.as_str().into();
    Some((body.usage, text))
}
