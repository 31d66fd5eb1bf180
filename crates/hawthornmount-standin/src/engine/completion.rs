//! Completion requests to the stand-in engine.

use {
    super::{
        Loaded, Run, Shared,
        batch::{MAX_SLICES, MIN_SLICE},
        faults::Outcome,
    },
    crate::http::{empty, not_run},
    bytes::Bytes,
    hawthornmount_http::{
        Body, HeaderValue, Response, StatusCode,
        body::{self, Chunk},
        header, server,
    },
    rand::RngExt,
    serde::{Deserialize, Serialize},
    std::{
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Number of answer tokens if the request sets no `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;
/// Number of bytes of a prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Number of characters of the prompt that a [`Run`] records.
const RECORDED_PROMPT_CHARS: usize = 80;
/// Capacity of the channel between a streamed answer and its response body, in events.
const EVENT_BUFFER_LENGTH: usize = 8;

/// Fields of a completion request that the engine reads.
#[derive(Debug, Deserialize)]
pub struct Completion {
    model: Arc<str>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

impl Completion {
    fn prompt(&self) -> String {
        self.messages.iter().map(|message| message.content.as_str()).collect()
    }
}

/// Token counts of a completion.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Usage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of answer tokens.
    pub completion_tokens: u64,
    /// Sum of prompt and answer tokens.
    pub total_tokens: u64,
}

/// Returns the mark in an answer's text from which the stand-in rating service reads its quality.
pub fn quality_mark(quality: f64) -> String {
    format!("[quality {quality:.2}]")
}

/// Runs a completion and returns its response, streamed or in one piece.
pub async fn respond(
    shared: Arc<Shared>,
    id: Arc<str>,
    version: Arc<str>,
    completion: Completion,
) -> Response {
    let at = Instant::now();
    let loaded = Loaded { model: completion.model.clone(), version };
    if !shared.is_loaded(&loaded) || shared.leaving.load(Ordering::SeqCst) > 0 {
        shared.refused.fetch_add(1, Ordering::SeqCst);
        return not_run(StatusCode::SERVICE_UNAVAILABLE);
    }
    let load = LoadGuard::new(shared.clone());
    let behaviour = shared.behaviour(&loaded);
    let Ok(permit) = shared.slots.clone().acquire_owned().await else {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    };
    let prompt = completion.prompt();
    let prompt_tokens = (prompt.len() / BYTES_PER_TOKEN) as u64;
    let answer_tokens = completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    let memory = shared.batch.reserve(prompt_tokens + answer_tokens).await;
    let first_token = shared.batch.first_token(behaviour.first_token, &prompt, prompt_tokens);
    sleep(first_token).await;
    if rand::rng().random_bool(behaviour.error_rate) {
        return with_id(empty(StatusCode::INTERNAL_SERVER_ERROR), &id);
    }
    let good = shared.quality.is_good(&prompt, &loaded, behaviour.quality);
    let quality = if good { 1.0 } else { 0.0 };
    let recorded_prompt = prompt.chars().take(RECORDED_PROMPT_CHARS).collect::<String>().into();
    let run =
        Run { request: id.clone(), at, prompt: recorded_prompt, loaded: loaded.clone(), quality };
    shared.runs.lock().push(run);
    let outcome = shared.injector.next();
    let response_id: Arc<str> =
        if outcome == Outcome::WrongId { "req-of-another.1".into() } else { id.clone() };
    let generation = Generation {
        id,
        response_id,
        outcome,
        loaded,
        quality,
        per_token: behaviour.per_token,
        completion,
    };
    if generation.completion.stream {
        let (sender, body) = body::channel(EVENT_BUFFER_LENGTH);
        let response = event_stream(body, &generation.response_id);
        tokio::spawn(async move {
            generation.send_events(&shared, sender).await;
            drop((load, permit, memory));
        });
        return response;
    }
    let mut guard = CancelGuard { shared: shared.clone(), finished: false };
    let response = generation.single_response(&shared).await;
    guard.finished = true;
    drop((permit, memory));
    response
}

/// Sleeps unless `duration` is zero. The timer's resolution is a millisecond, so even a zero sleep
/// would take time.
async fn sleep(duration: Duration) {
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
}

/// Counts a request in the engine's load while it waits or runs.
struct LoadGuard(Arc<Shared>);

impl LoadGuard {
    fn new(shared: Arc<Shared>) -> Self {
        shared.load.fetch_add(1, Ordering::SeqCst);
        Self(shared)
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.0.load.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Counts a request as cancelled if its caller disconnects while an unstreamed answer is generated.
struct CancelGuard {
    shared: Arc<Shared>,
    finished: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.finished {
            self.shared.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Generation of one answer.
struct Generation {
    id: Arc<str>,
    /// Request id in the response's header; differs from `id` for [`Outcome::WrongId`].
    response_id: Arc<str>,
    outcome: Outcome,
    loaded: Loaded,
    quality: f64,
    /// Time between tokens, before the engine's slowdown and congestion.
    per_token: Duration,
    completion: Completion,
}

impl Generation {
    fn usage(&self) -> Usage {
        let bytes: usize =
            self.completion.messages.iter().map(|message| message.content.len()).sum();
        let prompt_tokens = (bytes / BYTES_PER_TOKEN) as u64;
        let completion_tokens = self.tokens();
        Usage { prompt_tokens, completion_tokens, total_tokens: prompt_tokens + completion_tokens }
    }

    fn tokens(&self) -> u64 {
        self.completion.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// Returns a token's text. The first token names the request and the second one is the quality
    /// mark.
    fn token_text(&self, index: u64) -> String {
        match index {
            0 => format!("answer to {} ", self.id),
            1 => quality_mark(self.quality),
            _ => format!(" word{index}"),
        }
    }

    /// Returns the time between two tokens at the current size of the batch.
    fn current_per_token(&self, shared: &Shared) -> Duration {
        let running = shared.load.load(Ordering::SeqCst);
        shared.batch.per_token(self.per_token, running, shared.slot_count)
    }

    async fn single_response(&self, shared: &Shared) -> Response {
        let tokens = self.tokens();
        let total = self.per_token.mul_f64(tokens as f64);
        let slices =
            u32::try_from((total.as_millis() / MIN_SLICE.as_millis()).clamp(1, MAX_SLICES));
        let slices = slices.unwrap_or(1);
        for _ in 0..slices {
            let slice_tokens = tokens as f64 / f64::from(slices);
            sleep(self.current_per_token(shared).mul_f64(slice_tokens)).await;
        }
        let content: String = (0..tokens.max(2)).map(|index| self.token_text(index)).collect();
        let body = serde_json::json!({
            "id": &*self.id,
            "object": "chat.completion",
            "model": &*self.loaded.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": content },
                "finish_reason": "stop",
            }],
            "usage": self.usage(),
        });
        if self.outcome == Outcome::Truncate {
            let mut text = body.to_string();
            text.truncate(text.len() / 2);
            return with_id(server::text(StatusCode::OK, text), &self.response_id);
        }
        with_id(server::json(StatusCode::OK, &body), &self.response_id)
    }

    async fn send_events(&self, shared: &Shared, sender: mpsc::Sender<Chunk>) {
        let cut_after = shared.cut_after.load(Ordering::SeqCst);
        for index in 0..self.tokens().max(2) {
            let is_second_half = index >= self.tokens() / 2;
            if cut_after > 0 && index >= u64::from(cut_after)
                || self.outcome == Outcome::Cut && is_second_half
            {
                let _ = sender.send(Err("the engine was cut off".into())).await;
                return;
            }
            if index > 0 {
                sleep(self.current_per_token(shared)).await;
            }
            let delta = serde_json::json!({ "content": self.token_text(index) });
            if sender.send(self.event(&delta, None)).await.is_err() {
                shared.cancelled.fetch_add(1, Ordering::SeqCst);
                return;
            }
        }
        if self.outcome != Outcome::Truncate {
            let end = self.event(&serde_json::json!({}), Some("stop"));
            let _ = sender.send(end).await;
        }
        let _ = sender.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
    }

    /// Returns a server-sent event with a chunk of the answer; the last one also has the usage.
    fn event(&self, delta: &serde_json::Value, finish_reason: Option<&str>) -> Chunk {
        let mut body = serde_json::json!({
            "id": &*self.id,
            "object": "chat.completion.chunk",
            "model": &*self.loaded.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
        });
        if finish_reason.is_some() {
            body["usage"] = serde_json::json!(self.usage());
        }
        Ok(format!("data: {body}\n\n").into())
    }
}

fn event_stream(body: Body, id: &str) -> Response {
    let mut response = Response::new(body);
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    with_id(response, id)
}

fn with_id(mut response: Response, id: &str) -> Response {
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert("x-request-id", value);
    }
    response
}
