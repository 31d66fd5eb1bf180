//! Caller that sends requests and reads their responses.

use {
    super::{
        Completed,
        plan::{Call, Kind},
    },
    hawthornmount_core::{
        problem::{Document, Execution},
        table::Table,
    },
    hawthornmount_entry::exchange::SESSION_TOKEN_HEADER,
    hawthornmount_http::{
        Body, HeaderMap, HeaderValue, Method, Request, Response, StatusCode,
        client::{self, Client},
    },
    http_body_util::BodyExt,
    parking_lot::Mutex,
    serde::Deserialize,
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time limit for a complete response.
const TIMEOUT: Duration = Duration::from_secs(30);

/// An answer to a request.
#[derive(Clone, Debug)]
pub struct Answered {
    /// Id that the instance assigned to the request.
    pub request: Arc<str>,
    /// Version that answered, as `model@version`; empty for a service.
    pub release: Arc<str>,
    /// Whether the session moved from another version.
    pub moved: bool,
    /// Whether the answer replays that of an earlier call with the same key.
    pub replayed: bool,
    /// Whether the answer was complete and for this request.
    pub complete: bool,
    /// Number of prompt and answer tokens that the server reported.
    pub tokens: u64,
    /// Quality that the stand-in engine marked in the answer, from 0 to 1.
    pub quality: Option<f64>,
    /// Time to the first byte of the body.
    pub first_byte: Duration,
    /// Time to the last byte of the body.
    pub total: Duration,
}

/// A refusal of a request.
#[derive(Clone, Debug)]
pub struct Refused {
    /// Machine-readable reason.
    pub reason: Arc<str>,
    /// Id that the instance assigned to the request.
    pub request: Arc<str>,
    /// Whether the request may have run.
    pub ran: Execution,
}

/// Outcome of a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// An answer.
    Answered(Answered),
    /// A refusal, or a stream that ended with an explicit error event.
    Refused(Refused),
    /// Neither an answer nor a valid refusal within the time limit, such as a broken connection.
    Failed,
}

/// A caller with its connections and session tokens.
#[derive(Clone, Default)]
pub struct Caller {
    client: Client,
    tokens: Arc<Mutex<Table<HeaderValue>>>,
}

impl Caller {
    /// Creates a caller without connections or session tokens.
    pub fn new() -> Self {
        Self { client: Client::new(), tokens: Arc::default() }
    }

    /// Sends a request to an instance and reads the response.
    pub async fn send(self, address: SocketAddr, call: Call) -> Completed {
        let exchange = self.exchange(address, &call);
        let outcome = tokio::time::timeout(TIMEOUT, exchange).await.unwrap_or(Outcome::Failed);
        Completed { call, outcome }
    }

    async fn exchange(&self, address: SocketAddr, call: &Call) -> Outcome {
        let started = Instant::now();
        let Some(mut request) = build_request(call) else { return Outcome::Failed };
        self.add_token(call, &mut request);
        let Ok(response) = self.client.send(address, request).await else {
            return Outcome::Failed;
        };
        if response.status() != StatusCode::OK {
            return read_refusal(address, response).await;
        }
        let headers = response.headers().clone();
        self.store_token(call, &headers);
        let Some(response) = read_text(response, started).await else { return Outcome::Failed };
        to_outcome(call, &headers, &response, started)
    }

    /// Adds the session's last token to the request, as the callers' guide requires.
    fn add_token(&self, call: &Call, request: &mut Request) {
        let Some(session) = session_key(call) else { return };
        if let Some(token) = self.tokens.lock().get(&session) {
            request.headers_mut().insert(SESSION_TOKEN_HEADER, token.clone());
        }
    }

    /// Stores the session token of a response for the session's next request.
    fn store_token(&self, call: &Call, headers: &HeaderMap) {
        let Some(session) = session_key(call) else { return };
        if let Some(token) = headers.get(SESSION_TOKEN_HEADER) {
            self.tokens.lock().insert(session, token.clone());
        }
    }
}

/// Returns a key for the request's session that is unique across accounts.
fn session_key(call: &Call) -> Option<Arc<str>> {
    let session = call.session.as_ref()?;
    Some(format!("{}/{session}", call.account.id).into())
}

struct ResponseText {
    text: String,
    first_byte: Duration,
}

async fn read_text(response: Response, started: Instant) -> Option<ResponseText> {
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut first_byte = None;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        first_byte.get_or_insert_with(|| started.elapsed());
        bytes.extend_from_slice(&data);
    }
    let text = String::from_utf8(bytes).ok()?;
    Some(ResponseText { text, first_byte: first_byte.unwrap_or_default() })
}

fn to_outcome(
    call: &Call,
    headers: &HeaderMap,
    response: &ResponseText,
    started: Instant,
) -> Outcome {
    let header = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let request: Arc<str> = header("x-request-id").unwrap_or_default().into();
    let replayed = header("idempotency-replayed").is_some();
    let complete = match &call.kind {
        Kind::Json => response.text.contains(&format!("answer to {request}.")),
        Kind::Stream => {
            response.text.contains(&format!("answer to {request}."))
                && response.text.ends_with("data: [DONE]\n\n")
        }
        Kind::Lookup => response.text.contains(&*request) && response.text.contains("found"),
        Kind::Submission(_) => {
            response.text.contains("accepted") && (replayed || response.text.contains(&*request))
        }
    };
    if matches!(call.kind, Kind::Stream)
        && let Some((_, event)) = response.text.split_once("event: error\n")
    {
        return parse_error_event(event);
    }
    Outcome::Answered(Answered {
        request,
        release: header("x-answered-by").unwrap_or_default().into(),
        moved: header("x-session-moved-from").is_some(),
        replayed,
        complete,
        tokens: total_tokens(&response.text).unwrap_or(0),
        quality: parse_quality_mark(&response.text),
        first_byte: response.first_byte,
        total: started.elapsed(),
    })
}

async fn read_refusal(address: SocketAddr, response: Response) -> Outcome {
    let Ok(body) = client::read_body(address, response.into_body()).await else {
        return Outcome::Failed;
    };
    let document: Option<Document> = serde_json::from_slice(&body).ok();
    document.map_or(Outcome::Failed, |document| Outcome::Refused(document.into()))
}

#[derive(Deserialize)]
struct ErrorEvent {
    error: Document,
}

fn parse_error_event(event: &str) -> Outcome {
    let data = event.lines().find_map(|line| line.strip_prefix("data:")).unwrap_or_default();
    let event: Option<ErrorEvent> = serde_json::from_str(data).ok();
    event.map_or(Outcome::Failed, |event| Outcome::Refused(event.error.into()))
}

impl From<Document> for Refused {
    fn from(document: Document) -> Self {
        Self { reason: document.reason, request: document.request_id, ran: document.ran }
    }
}

fn build_request(call: &Call) -> Option<Request> {
    let mut builder = http::Request::builder()
        .header("authorization", format!("Bearer {}", call.account.key))
        .header("content-type", "application/json");
    if let Some(session) = &call.session {
        builder = builder.header("x-session-id", &**session);
    }
    let completion = |stream: bool| {
        let body = serde_json::json!({
            "messages": [{ "role": "user", "content": prompt(call.account.id) }],
            "max_tokens": call.max_tokens,
            "stream": stream,
        });
        Body::from(body.to_string())
    };
    let builder = match &call.kind {
        Kind::Json | Kind::Stream => builder.method(Method::POST).uri("/v1/chat/completions"),
        Kind::Lookup => builder.method(Method::GET).uri("/services/grant-portal/status/7"),
        Kind::Submission(key) => builder
            .method(Method::POST)
            .uri("/services/grant-portal/submissions")
            .header("idempotency-key", &**key),
    };
    let body = match &call.kind {
        Kind::Json => completion(false),
        Kind::Stream => completion(true),
        Kind::Lookup => Body::empty(),
        Kind::Submission(key) => Body::from(format!("{{\"dossier\":\"{key}\"}}")),
    };
    builder.body(body).ok()
}

/// Returns a prompt that names the account, so that the account of an engine's run is known.
pub fn prompt(account: &str) -> String {
    format!("For {account}: draft a note on a stairlift grant.")
}

fn total_tokens(text: &str) -> Option<u64> {
    let rest = text.split_once("\"total_tokens\":")?.1;
    rest.split(|character: char| !character.is_ascii_digit()).next()?.parse().ok()
}

fn parse_quality_mark(text: &str) -> Option<f64> {
    text.split_once("[quality ")?.1.split(']').next()?.parse().ok()
}
