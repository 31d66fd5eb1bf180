//! Callers of an experiment.

use {
    super::ACCOUNT_KEY,
    crate::load::Outcome,
    hawthornmount_core::problem::Document,
    hawthornmount_http::{
        Body, Method, StatusCode,
        client::{self, Client},
    },
    http_body_util::BodyExt,
    std::{net::SocketAddr, sync::Arc},
    tokio::time::Instant,
};

/// What a caller asks.
#[derive(Clone, Debug)]
pub struct Request {
    /// Account of the caller.
    pub account: &'static str,
    /// Kind of task.
    pub task: &'static str,
    /// Prompt.
    pub prompt: String,
    /// Model, unless the cascade chooses.
    pub model: Option<&'static str>,
    /// Largest number of tokens of the answer.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Deadline in milliseconds.
    pub timeout_ms: u64,
}

/// What came back.
#[derive(Clone, Debug)]
pub struct Reply {
    /// What came of the request.
    pub outcome: Outcome,
    /// Model and version that answered.
    pub release: Arc<str>,
    /// Status of the answer, 0 if none came.
    pub status: u16,
    /// The problem document of a refusal.
    pub problem: Option<Document>,
}

/// Callers with their connections.
#[derive(Clone)]
pub struct Caller {
    client: Client,
}

impl Caller {
    /// Creates callers without connections.
    pub fn new() -> Self {
        Self { client: Client::new() }
    }

    /// Asks one instance.
    pub async fn send(&self, address: SocketAddr, asked: Request) -> Reply {
        let failed =
            Reply { outcome: Outcome::Failed, release: "".into(), status: 0, problem: None };
        let Some(request) = request(&asked) else { return failed };
        let Ok(response) = self.client.send(address, request).await else { return failed };
        let status = response.status();
        let release: Arc<str> = response
            .headers()
            .get("x-answered-by")
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .into();
        if status != StatusCode::OK {
            let read = client::read_body(address, response.into_body()).await;
            let outcome = if read.is_ok() { Outcome::Refused } else { Outcome::Failed };
            let problem = read.ok().and_then(|body| serde_json::from_slice(&body).ok());
            return Reply { outcome, release, status: status.as_u16(), problem };
        }
        let mut body = response.into_body();
        let mut first_byte = None;
        let mut tail = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return failed };
            first_byte.get_or_insert_with(Instant::now);
            if let Ok(data) = frame.into_data() {
                tail = data.to_vec();
            }
        }
        if asked.stream && !tail.ends_with(b"data: [DONE]\n\n") {
            return failed;
        }
        let outcome = Outcome::Answered { first_byte };
        Reply { outcome, release, status: status.as_u16(), problem: None }
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

fn request(asked: &Request) -> Option<hawthornmount_http::Request> {
    let body = serde_json::json!({
        "model": asked.model.unwrap_or("auto"),
        "messages": [{ "role": "user", "content": asked.prompt }],
        "max_tokens": asked.max_tokens,
        "stream": asked.stream,
    });
    http::Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header("authorization", format!("Bearer {ACCOUNT_KEY}{}", asked.account))
        .header("content-type", "application/json")
        .header("x-task-kind", asked.task)
        .header("x-request-timeout-ms", asked.timeout_ms.to_string())
        .body(Body::from(body.to_string()))
        .ok()
}
