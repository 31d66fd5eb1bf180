//! Body of a completion request, read once and passed on with the chosen model.

use {
    bytes::Bytes,
    hawthornmount_core::{id::ModelId, problem::Problem, reason::Refusal},
    serde::{Serialize, Serializer, ser::SerializeMap},
    serde_json::{Map, Value},
    std::sync::Arc,
};

/// Tokens of an answer when the caller gives no bound.
const DEFAULT_MAX_TOKENS: u64 = 1_024;
/// Characters of a token, roughly.
const CHARS_PER_TOKEN: u64 = 4;
/// Bytes of the first message that cache affinity looks at.
const PREFIX_BYTES: usize = 256;
/// Field that names the model.
const MODEL: &str = "model";
/// Bytes of a hash that are used as a number.
const HASH_BYTES: usize = 8;

/// A completion request.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Model that the caller named; none leaves it to the account's cascade.
    pub model: Option<ModelId>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Largest number of tokens of the answer.
    pub max_tokens: u64,
    prefix_hash: u64,
    prompt_tokens: u64,
    fields: Map<String, Value>,
}

impl Completion {
    /// Model name that leaves the choice to the account's cascade.
    pub const AUTO: &'static str = "auto";

    /// Reads the body of a request.
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
        let model = match fields.get(MODEL) {
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
        let prefix_hash = hash_prefix(contents(&fields).next().unwrap_or_default());
        let chars: usize = contents(&fields).map(str::len).sum();
        let prompt_tokens = chars as u64 / CHARS_PER_TOKEN;
        Ok(Self { model, stream, max_tokens, prefix_hash, prompt_tokens, fields })
    }

    /// Returns the body with the model set to `model`.
    pub fn body_for(&self, model: &str) -> Bytes {
        let body = WithModel { fields: &self.fields, model };
        serde_json::to_vec(&body).unwrap_or_default().into()
    }

    /// Returns a hash of the prompt's first bytes.
    pub const fn prefix_hash(&self) -> u64 {
        self.prefix_hash
    }

    /// Returns the tokens of the prompt, estimated.
    pub const fn prompt_tokens(&self) -> u64 {
        self.prompt_tokens
    }
}

/// Body of a request whose model is another one than the caller's.
struct WithModel<'a> {
    fields: &'a Map<String, Value>,
    model: &'a str,
}

impl Serialize for WithModel<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        map.serialize_entry(MODEL, self.model)?;
        for (name, value) in self.fields.iter().filter(|(name, _)| *name != MODEL) {
            map.serialize_entry(name, value)?;
        }
        map.end()
    }
}

fn contents(fields: &Map<String, Value>) -> impl Iterator<Item = &str> {
    let messages = fields.get("messages").and_then(Value::as_array);
    messages.into_iter().flatten().filter_map(|message| message.get("content")?.as_str())
}

fn hash_prefix(content: &str) -> u64 {
    let bytes = &content.as_bytes()[..content.len().min(PREFIX_BYTES)];
    let hash = blake3::hash(bytes);
    let mut number = [0; HASH_BYTES];
    number.copy_from_slice(&hash.as_bytes()[..HASH_BYTES]);
    u64::from_le_bytes(number)
}

fn malformed(detail: String) -> Problem {
    Problem::new(Refusal::Malformed, Arc::from(detail))
}
