//! Body of a completion request: parsed once, and sent to a server with the chosen model filled in.

use {
    bytes::Bytes,
    hawthornmount_core::{id::ModelId, problem::Problem, reason::Refusal},
    serde::{Serialize, Serializer, ser::SerializeMap},
    serde_json::{Map, Value},
    std::sync::Arc,
};

/// Maximum number of tokens of an answer if the caller sets none.
const DEFAULT_MAX_TOKENS: u64 = 1_024;
/// Approximate length of a token, in bytes of UTF-8.
const BYTES_PER_TOKEN: u64 = 4;
/// Number of bytes of the first message that are hashed for cache affinity.
const PREFIX_BYTES: usize = 256;
/// Field of the body that names the model.
const MODEL_FIELD: &str = "model";
/// Number of bytes of the BLAKE3 hash that make up the prefix hash.
const HASH_BYTES: usize = 8;

/// A parsed completion request.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Model that the caller named; `None` selects the account's cascade.
    pub model: Option<ModelId>,
    /// Whether the caller wants the answer as a stream of events.
    pub stream: bool,
    /// Maximum number of tokens of the answer.
    pub max_tokens: u64,
    prefix_hash: u64,
    prompt_tokens: u64,
    fields: Map<String, Value>,
}

impl Completion {
    /// Model name that selects the account's cascade, as a request without a model does.
    pub const AUTO: &'static str = "auto";

    /// Parses the body of a request.
    ///
    /// # Errors
    ///
    /// Returns a problem if the body is not a valid completion request.
    pub fn parse(body: &[u8]) -> Result<Self, Problem> {
        let fields: Map<String, Value> = serde_json::from_slice(body)
            .map_err(|error| malformed(format!("the body is not a JSON object: {error}")))?;
        if !fields.get("messages").is_some_and(Value::is_array) {
            return Err(malformed("messages is missing: give an array of messages".to_owned()));
        }
        let model = match fields.get(MODEL_FIELD) {
            None => None,
            Some(Value::String(name)) if name == Self::AUTO => None,
            Some(Value::String(name)) => Some(name.as_str().into()),
            Some(_) => return Err(malformed("model is not text: name a model".to_owned())),
        };
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(malformed("stream is neither true nor false".to_owned())),
        };
        let max_tokens =
            fields.get("max_tokens").and_then(Value::as_u64).unwrap_or(DEFAULT_MAX_TOKENS);
        let prefix_hash = hash_prefix(message_contents(&fields).next().unwrap_or_default());
        let content_bytes: usize = message_contents(&fields).map(str::len).sum();
        let prompt_tokens = content_bytes as u64 / BYTES_PER_TOKEN;
        Ok(Self { model, stream, max_tokens, prefix_hash, prompt_tokens, fields })
    }

    /// Returns the body with the model set to `model`.
    pub fn body_for(&self, model: &str) -> Bytes {
        let body = WithModel { fields: &self.fields, model };
        serde_json::to_vec(&body).unwrap_or_default().into()
    }

    /// Returns a hash of the first bytes of the first message that is text.
    pub const fn prefix_hash(&self) -> u64 {
        self.prefix_hash
    }

    /// Returns the estimated number of tokens of the prompt.
    pub const fn prompt_tokens(&self) -> u64 {
        self.prompt_tokens
    }
}

/// Serializes the fields of a request with the model replaced.
struct WithModel<'a> {
    fields: &'a Map<String, Value>,
    model: &'a str,
}

impl Serialize for WithModel<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        map.serialize_entry(MODEL_FIELD, self.model)?;
        for (name, value) in self.fields.iter().filter(|(name, _)| *name != MODEL_FIELD) {
            map.serialize_entry(name, value)?;
        }
        map.end()
    }
}

/// Returns the contents of the messages whose content is plain text.
fn message_contents(fields: &Map<String, Value>) -> impl Iterator<Item = &str> {
    let messages = fields.get("messages").and_then(Value::as_array);
    messages.into_iter().flatten().filter_map(|message| message.get("content")?.as_str())
}

fn hash_prefix(content: &str) -> u64 {
    let bytes = &content.as_bytes()[..content.len().min(PREFIX_BYTES)];
    let hash = blake3::hash(bytes);
    let mut truncated = [0; HASH_BYTES];
    truncated.copy_from_slice(&hash.as_bytes()[..HASH_BYTES]);
    u64::from_le_bytes(truncated)
}

fn malformed(detail: String) -> Problem {
    Problem::new(Refusal::Malformed, Arc::from(detail))
}
