//! Callers of the compared paths. All send the same request.

use {
    super::setup::{MODEL, VERSION, api_key},
    crate::load::Outcome,
    bytes::Bytes,
    hawthornmount_http::{Body, Method, Request, Response, StatusCode, client::Client},
    http_body_util::BodyExt,
    std::{net::SocketAddr, sync::Arc},
    tokio::time::Instant,
};

/// Number of tokens of an answer.
pub const TOKENS: u32 = 16;
/// Number of sessions of the callers.
const SESSIONS: u64 = 100;

/// Caller that sends completion requests over one path.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    address: SocketAddr,
    body: Bytes,
    authorization: Arc<str>,
    sessions: bool,
}

impl Caller {
    /// Creates a caller of the path at `address`, with streamed or buffered answers, and with or
    /// without session ids.
    pub fn new(address: SocketAddr, stream: bool, sessions: bool) -> Self {
        let body = serde_json::json!({
            "model": MODEL,
            "messages": [{ "role": "user", "content": "Draft a note on a stairlift grant." }],
            "max_tokens": TOKENS,
            "stream": stream,
        });
        Self {
            client: Client::new(),
            address,
            body: body.to_string().into(),
            authorization: format!("Bearer {}", api_key()).into(),
            sessions,
        }
    }

    /// Sends request `number` and reads its answer to the end.
    pub async fn send(self, number: u64) -> Outcome {
        let Ok(request) = self.request(number) else { return Outcome::Failed };
        match self.client.send(self.address, request).await {
            Ok(response) if response.status() == StatusCode::OK => read_answer(response).await,
            Ok(_) => Outcome::Refused,
            Err(_) => Outcome::Failed,
        }
    }

    fn request(&self, number: u64) -> Result<Request, http::Error> {
        let mut builder = http::Request::builder()
            .method(Method::POST)
            .uri("/v1/chat/completions")
            .header("authorization", &*self.authorization)
            .header("content-type", "application/json")
            .header("x-model-version", VERSION)
            .header("x-request-id", number.to_string());
        if self.sessions {
            builder = builder.header("x-session-id", format!("session-{}", number % SESSIONS));
        }
        builder.body(Body::from(self.body.clone()))
    }
}

async fn read_answer(response: Response) -> Outcome {
    let mut body = response.into_body();
    let mut first_byte = None;
    while let Some(frame) = body.frame().await {
        if frame.is_err() {
            return Outcome::Failed;
        }
        first_byte.get_or_insert_with(Instant::now);
    }
    Outcome::Answered { first_byte }
}
