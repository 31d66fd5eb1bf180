//! HTTP callers that send completion requests to entry instances.

use {
    super::ACCOUNT_KEY_PREFIX,
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

/// Completion request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Client account that the request is sent under.
    pub account: &'static str,
    /// Kind of task, sent as a header.
    pub task: &'static str,
    /// Content of the only message.
    pub prompt: String,
    /// Requested model; with none, the cascade of the account chooses.
    pub model: Option<&'static str>,
    /// Largest number of tokens to generate.
    pub max_tokens: u64,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Deadline of the request, sent as a header.
    pub timeout_ms: u64,
}

/// Response to one request, as the caller saw it.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Outcome that is counted for the load.
    pub outcome: Outcome,
    /// Model and version that answered, as `model@version`; empty if unknown.
    pub release: Arc<str>,
    /// HTTP status; 0 if no response was received or an answer with status 200 was incomplete.
    pub status: u16,
    /// Problem document of a refusal.
    pub problem: Option<Document>,
}

/// HTTP client with a connection pool, shared by its clones.
#[derive(Clone)]
pub struct Caller {
    client: Client,
}

impl Caller {
    /// Creates a caller without open connections.
    pub fn new() -> Self {
        Self { client: Client::new() }
    }

    /// Sends a request to one instance and reads the response to its end. A stream without the
    /// final `[DONE]` event counts as failed.
    pub async fn send(&self, address: SocketAddr, request: Request) -> Reply {
        let failed =
            Reply { outcome: Outcome::Failed, release: "".into(), status: 0, problem: None };
        let Some(http_request) = http_request(&request) else { return failed };
        let Ok(response) = self.client.send(address, http_request).await else { return failed };
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
        if request.stream && !tail.ends_with(b"data: [DONE]\n\n") {
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

fn http_request(request: &Request) -> Option<hawthornmount_http::Request> {
    let body = serde_json::json!({
        "model": request.model.unwrap_or("auto"),
        "messages": [{ "role": "user", "content": request.prompt }],
        "max_tokens": request.max_tokens,
        "stream": request.stream,
    });
    http::Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header("authorization", format!("Bearer {ACCOUNT_KEY_PREFIX}{}", request.account))
        .header("content-type", "application/json")
        .header("x-task-kind", request.task)
        .header("x-request-timeout-ms", request.timeout_ms.to_string())
        .body(Body::from(body.to_string()))
        .ok()
}
