//! Completions of the stand-in engine.

use {
    super::{
        Loaded, Run, Shared,
        batch::{MIN_SLICE, SLICES},
        faults::Outcome,
    },
    crate::http::empty,
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

/// Tokens of an answer when the request gives no bound.
const DEFAULT_TOKENS: u64 = 16;
/// Characters of a token, roughly.
const CHARS_PER_TOKEN: usize = 4;
/// Characters of the prompt that the record of a run keeps.
const KEPT_PROMPT: usize = 80;
/// Events that wait for a slow reader.
const EVENT_BACKLOG: usize = 8;

/// Body of a completion request, as far as the engine looks at it.
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

/// Tokens of a completion.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Sum of both.
    pub total_tokens: u64,
}

/// Returns the mark in an answer's text that tells its quality to the stand-in rating service.
pub fn quality_mark(quality: f64) -> String {
    format!("[quality {quality:.2}]")
}

pub async fn answer(
    shared: Arc<Shared>,
    id: Arc<str>,
    version: Arc<str>,
    completion: Completion,
) -> Response {
    let at = Instant::now();
    let loaded = Loaded { model: completion.model.clone(), version };
    if !shared.is_loaded(&loaded) || shared.leaving.load(Ordering::SeqCst) > 0 {
        return not_run();
    }
    let load = Load::new(shared.clone());
    let behaviour = shared.behaviour(&loaded);
    let Ok(permit) = shared.slots.clone().acquire_owned().await else {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    };
    let prompt = completion.prompt();
    let prompt_tokens = (prompt.len() / CHARS_PER_TOKEN) as u64;
    let answer_tokens = completion.max_tokens.unwrap_or(DEFAULT_TOKENS);
    let memory = shared.batch.reserve(prompt_tokens + answer_tokens).await;
    let first_token = shared.batch.first_token(behaviour.first_token, &prompt, prompt_tokens);
    pause(first_token).await;
    if rand::rng().random_bool(behaviour.error_rate) {
        return with_id(empty(StatusCode::INTERNAL_SERVER_ERROR), &id);
    }
    let good = shared.quality.is_good(&prompt, &loaded, behaviour.quality);
    let quality = if good { 1.0 } else { 0.0 };
    let kept = prompt.chars().take(KEPT_PROMPT).collect::<String>().into();
    let run = Run { request: id.clone(), at, prompt: kept, loaded: loaded.clone(), quality };
    shared.runs.lock().push(run);
    let outcome = shared.injector.next();
    let named: Arc<str> =
        if outcome == Outcome::WrongId { "req-of-another.1".into() } else { id.clone() };
    let work = Work {
        id,
        named,
        outcome,
        loaded,
        quality,
        behaviour_per_token: behaviour.per_token,
        completion,
    };
    if work.completion.stream {
        let (sender, body) = body::channel(EVENT_BACKLOG);
        let response = streamed(body, &work.named);
        tokio::spawn(async move {
            work.send_events(&shared, sender).await;
            drop((load, permit, memory));
        });
        return response;
    }
    let mut watch = Watch { shared: shared.clone(), finished: false };
    let response = work.whole(&shared).await;
    watch.finished = true;
    drop((permit, memory));
    response
}

/// Waits; the timer's resolution is a millisecond, so no time at all has to pass it by.
async fn pause(duration: Duration) {
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
}

struct Load(Arc<Shared>);

impl Load {
    fn new(shared: Arc<Shared>) -> Self {
        shared.load.fetch_add(1, Ordering::SeqCst);
        Self(shared)
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.0.load.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Counts a whole answer whose caller hung up while it was made.
struct Watch {
    shared: Arc<Shared>,
    finished: bool,
}

impl Drop for Watch {
    fn drop(&mut self) {
        if !self.finished {
            self.shared.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

struct Work {
    id: Arc<str>,
    named: Arc<str>,
    outcome: Outcome,
    loaded: Loaded,
    quality: f64,
    behaviour_per_token: Duration,
    completion: Completion,
}

impl Work {
    fn usage(&self) -> Usage {
        let chars: usize =
            self.completion.messages.iter().map(|message| message.content.len()).sum();
        let prompt_tokens = (chars / CHARS_PER_TOKEN) as u64;
        let completion_tokens = self.tokens();
        Usage { prompt_tokens, completion_tokens, total_tokens: prompt_tokens + completion_tokens }
    }

    fn tokens(&self) -> u64 {
        self.completion.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }

    /// Returns the words of the answer; the first ones tell whose answer it is.
    fn word(&self, at: u64) -> String {
        match at {
            0 => format!("answer to {} ", self.id),
            1 => quality_mark(self.quality),
            _ => format!(" word{at}"),
        }
    }

    /// Returns the time between two tokens at the present size of the batch.
    fn per_token(&self, shared: &Shared) -> Duration {
        let running = shared.load.load(Ordering::SeqCst);
        shared.batch.per_token(self.behaviour_per_token, running, shared.slot_count)
    }

    async fn whole(&self, shared: &Shared) -> Response {
        let tokens = self.tokens();
        let whole = self.behaviour_per_token.mul_f64(tokens as f64);
        let slices = u32::try_from((whole.as_millis() / MIN_SLICE.as_millis()).clamp(1, SLICES));
        let slices = slices.unwrap_or(1);
        for _ in 0..slices {
            let slice = tokens as f64 / f64::from(slices);
            pause(self.per_token(shared).mul_f64(slice)).await;
        }
        let content: String = (0..tokens.max(2)).map(|at| self.word(at)).collect();
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
            return with_id(server::text(StatusCode::OK, text), &self.named);
        }
        with_id(server::json(StatusCode::OK, &body), &self.named)
    }

    async fn send_events(&self, shared: &Shared, sender: mpsc::Sender<Chunk>) {
        let cut_after = shared.cut_after.load(Ordering::SeqCst);
        for at in 0..self.tokens().max(2) {
            let is_half = at >= self.tokens() / 2;
            if cut_after > 0 && at >= u64::from(cut_after)
                || self.outcome == Outcome::Cut && is_half
            {
                let _ = sender.send(Err("the engine was cut off".into())).await;
                return;
            }
            if at > 0 {
                pause(self.per_token(shared)).await;
            }
            let delta = serde_json::json!({ "content": self.word(at) });
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

    fn event(&self, delta: &serde_json::Value, finish: Option<&str>) -> Chunk {
        let mut body = serde_json::json!({
            "id": &*self.id,
            "object": "chat.completion.chunk",
            "model": &*self.loaded.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
        });
        if finish.is_some() {
            body["usage"] = serde_json::json!(self.usage());
        }
        Ok(format!("data: {body}\n\n").into())
    }
}

fn streamed(body: Body, id: &str) -> Response {
    let mut response = Response::new(body);
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    with_id(response, id)
}

fn not_run() -> Response {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert("x-not-run", HeaderValue::from_static("1"));
    response
}

fn with_id(mut response: Response, id: &str) -> Response {
    if let Ok(value) = HeaderValue::from_str(id) {
        response.headers_mut().insert("x-request-id", value);
    }
    response
}
