//! One caller: sends a request and reads what comes back.

use {
    super::{
        Done,
        plan::{Ask, Kind},
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

/// Time in which an answer has to be whole.
const TIMEOUT: Duration = Duration::from_secs(30);

/// An answer that came.
#[derive(Clone, Debug)]
pub struct Answered {
    /// Id that the instance gave to the request.
    pub request: Arc<str>,
    /// Version that answered; empty for a service.
    pub release: Arc<str>,
    /// Version that the session had to leave.
    pub moved: bool,
    /// Whether the answer repeats an earlier call's.
    pub replayed: bool,
    /// Whether the answer was whole and for this request.
    pub whole: bool,
    /// Tokens of prompt and answer that the server told of.
    pub tokens: u64,
    /// Quality that the stand-in engine marked in the answer.
    pub quality: Option<f64>,
    /// Time to the first byte of the body.
    pub first: Duration,
    /// Time to the last byte of the body.
    pub total: Duration,
}

/// A refusal that came.
#[derive(Clone, Debug)]
pub struct Refused {
    /// Stable reason.
    pub reason: Arc<str>,
    /// Id that the instance gave to the request.
    pub request: Arc<str>,
    /// Whether the request may have run.
    pub ran: Execution,
}

/// What came of a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// An answer.
    Answered(Answered),
    /// A refusal, or a stream that ended with an explicit error event.
    Refused(Refused),
    /// Neither: the connection broke.
    Failed,
}

/// A caller with its connections.
#[derive(Clone, Default)]
pub struct Caller {
    client: Client,
    tokens: Arc<Mutex<Table<HeaderValue>>>,
}

impl Caller {
    /// Creates a caller.
    pub fn new() -> Self {
        Self { client: Client::new(), tokens: Arc::default() }
    }

    /// Sends a request to an instance and reads what comes back.
    pub async fn ask(self, address: SocketAddr, ask: Ask) -> Done {
        let call = self.call(address, &ask);
        let outcome = tokio::time::timeout(TIMEOUT, call).await.unwrap_or(Outcome::Failed);
        Done { ask, outcome }
    }

    async fn call(&self, address: SocketAddr, ask: &Ask) -> Outcome {
        let started = Instant::now();
        let Some(mut request) = request(ask) else { return Outcome::Failed };
        self.bring_token(ask, &mut request);
        let Ok(response) = self.client.send(address, request).await else {
            return Outcome::Failed;
        };
        if response.status() != StatusCode::OK {
            return refused(address, response).await;
        }
        let headers = response.headers().clone();
        self.keep_token(ask, &headers);
        let Some(read) = read(response, started).await else { return Outcome::Failed };
        answered(ask, &headers, &read, started)
    }

    /// Sends the last token of the session along, as the callers' guide asks.
    fn bring_token(&self, ask: &Ask, request: &mut Request) {
        let Some(session) = session(ask) else { return };
        if let Some(token) = self.tokens.lock().get(&session) {
            request.headers_mut().insert(SESSION_TOKEN_HEADER, token.clone());
        }
    }

    fn keep_token(&self, ask: &Ask, headers: &HeaderMap) {
        let Some(session) = session(ask) else { return };
        if let Some(token) = headers.get(SESSION_TOKEN_HEADER) {
            self.tokens.lock().insert(session, token.clone());
        }
    }
}

/// Returns the session's name among those of all accounts.
fn session(ask: &Ask) -> Option<Arc<str>> {
    let session = ask.session.as_ref()?;
    Some(format!("{}/{session}", ask.account.id).into())
}

struct Read {
    text: String,
    first: Duration,
}

async fn read(response: Response, started: Instant) -> Option<Read> {
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut first = None;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        first.get_or_insert_with(|| started.elapsed());
        bytes.extend_from_slice(&data);
    }
    let text = String::from_utf8(bytes).ok()?;
    Some(Read { text, first: first.unwrap_or_default() })
}

fn answered(ask: &Ask, headers: &HeaderMap, read: &Read, started: Instant) -> Outcome {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    let request: Arc<str> = text("x-request-id").unwrap_or_default().into();
    let replayed = text("idempotency-replayed").is_some();
    let whole = match &ask.kind {
        Kind::Json => read.text.contains(&format!("answer to {request}.")),
        Kind::Stream => {
            read.text.contains(&format!("answer to {request}."))
                && read.text.ends_with("data: [DONE]\n\n")
        }
        Kind::Lookup => read.text.contains(&*request) && read.text.contains("found"),
        Kind::Submission(_) => {
            read.text.contains("accepted") && (replayed || read.text.contains(&*request))
        }
    };
    if matches!(ask.kind, Kind::Stream)
        && let Some((_, event)) = read.text.split_once("event: error\n")
    {
        return error_event(event);
    }
    Outcome::Answered(Answered {
        request,
        release: text("x-answered-by").unwrap_or_default().into(),
        moved: text("x-session-moved-from").is_some(),
        replayed,
        whole,
        tokens: tokens(&read.text).unwrap_or(0),
        quality: quality(&read.text),
        first: read.first,
        total: started.elapsed(),
    })
}

async fn refused(address: SocketAddr, response: Response) -> Outcome {
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

fn error_event(event: &str) -> Outcome {
    let data = event.lines().find_map(|line| line.strip_prefix("data:")).unwrap_or_default();
    let event: Option<ErrorEvent> = serde_json::from_str(data).ok();
    event.map_or(Outcome::Failed, |event| Outcome::Refused(event.error.into()))
}

impl From<Document> for Refused {
    fn from(document: Document) -> Self {
        Self { reason: document.reason, request: document.request_id, ran: document.ran }
    }
}

fn request(ask: &Ask) -> Option<Request> {
    let mut builder = http::Request::builder()
        .header("authorization", format!("Bearer {}", ask.account.key))
        .header("content-type", "application/json");
    if let Some(session) = &ask.session {
        builder = builder.header("x-session-id", &**session);
    }
    let completion = |stream: bool| {
        let body = serde_json::json!({
            "messages": [{ "role": "user", "content": prompt(ask.account.id) }],
            "max_tokens": ask.max_tokens,
            "stream": stream,
        });
        Body::from(body.to_string())
    };
    let builder = match &ask.kind {
        Kind::Json | Kind::Stream => builder.method(Method::POST).uri("/v1/chat/completions"),
        Kind::Lookup => builder.method(Method::GET).uri("/services/grant-portal/status/7"),
        Kind::Submission(key) => builder
            .method(Method::POST)
            .uri("/services/grant-portal/submissions")
            .header("idempotency-key", &**key),
    };
    let body = match &ask.kind {
        Kind::Json => completion(false),
        Kind::Stream => completion(true),
        Kind::Lookup => Body::empty(),
        Kind::Submission(key) => Body::from(format!("{{\"dossier\":\"{key}\"}}")),
    };
    builder.body(body).ok()
}

/// Returns the prompt, which tells the account so that the engines' runs can be told apart.
pub fn prompt(account: &str) -> String {
    format!("For {account}: draft a note on a stairlift grant.")
}

fn tokens(text: &str) -> Option<u64> {
    let rest = text.split_once("\"total_tokens\":")?.1;
    rest.split(|one: char| !one.is_ascii_digit()).next()?.parse().ok()
}

fn quality(text: &str) -> Option<f64> {
    text.split_once("[quality ")?.1.split(']').next()?.parse().ok()
}
