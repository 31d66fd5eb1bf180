//! Callers that record each of their calls.

use {
    hawthornmount_core::{config::Config, id, problem::Document, units::TOKENS_PER_PRICE},
    hawthornmount_http::{Body, Method, Response, client::Client},
    http_body_util::BodyExt,
    parking_lot::Mutex,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    serde::Deserialize,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// Time limit of a caller for one call.
const TIMEOUT: Duration = Duration::from_secs(12);
/// Deadline that callers send with a request, in milliseconds.
const DEADLINE_MS: &str = "3000";
/// Maximum number of tokens of an answer.
const MAX_TOKENS: u64 = 8;

/// Kind of a call.
#[derive(Clone, Debug)]
pub enum Kind {
    /// A submission with an idempotency key.
    Submit(Arc<str>),
    /// A status lookup.
    Lookup,
    /// A completion in a session.
    Complete(Arc<str>),
}

/// Outcome of a call as its caller sees it.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A complete answer.
    Answer {
        /// Id of the request that the content of the answer names.
        content: Arc<str>,
        /// Whether the answer replays an earlier outcome.
        replayed: bool,
        /// Release that answered, from the response header.
        release: Arc<str>,
        /// Whether the answer reports that its session moved to another release.
        moved: bool,
        /// Price of the answer, computed from the configuration, in micro-units.
        price: u64,
    },
    /// An explicit refusal or failure that does not rule out that the request ran.
    Unknown,
    /// A refusal that states that nothing ran.
    NotRun,
    /// No answer, or a connection that broke.
    NoAnswer,
    /// A stream whose connection broke.
    Disconnected,
    /// An incomplete or malformed answer that was delivered as if it were complete.
    Incomplete,
}

/// A call as its caller sees it.
#[derive(Clone, Debug)]
pub struct Operation {
    /// Kind of the call.
    pub kind: Kind,
    /// Address of the instance that received the call.
    pub target: SocketAddr,
    /// Request id from the response headers; empty if the caller got no response.
    pub request: Arc<str>,
    /// When the call was sent.
    pub called: Instant,
    /// When the call ended for its caller.
    pub answered: Instant,
    /// Outcome of the call.
    pub outcome: Outcome,
}

/// Callers that share one record of their calls.
pub struct Callers {
    client: Client,
    config: Arc<Config>,
    operations: Mutex<Vec<Operation>>,
    count: AtomicU64,
}

#[derive(Deserialize)]
struct Accepted {
    request: Arc<str>,
}

#[derive(Deserialize)]
struct Completed {
    usage: Tokens,
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Tokens {
    prompt_tokens: u64,
    completion_tokens: u64,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(alias = "delta")]
    message: Message,
}

#[derive(Deserialize)]
struct Message {
    #[serde(default)]
    content: String,
}

impl Callers {
    /// Creates callers that compute prices from a configuration.
    pub fn new(config: Arc<Config>) -> Arc<Self> {
        Arc::new(Self {
            client: Client::new(),
            config,
            operations: Mutex::default(),
            count: AtomicU64::new(0),
        })
    }

    /// Returns the number of calls so far.
    pub fn count(&self) -> u64 {
        self.count.load(Ordering::SeqCst)
    }

    /// Returns the calls that have ended.
    pub fn operations(&self) -> Vec<Operation> {
        self.operations.lock().clone()
    }

    /// Makes random calls until all callers together have made `limit` calls.
    pub async fn run(
        self: Arc<Self>,
        addresses: impl Fn() -> Vec<SocketAddr> + Send,
        limit: u64,
        seed: u64,
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        while self.count() < limit {
            let live = addresses();
            let mut pick = || live[rng.random_range(0..live.len())];
            let targets: Vec<SocketAddr> = (0..4).map(|_| pick()).collect();
            match rng.random_range(0..10) {
                0..5 => self.submit(&targets, &mut rng).await,
                5..7 => drop(self.call(targets[0], Kind::Lookup, None, false).await),
                _ => self.send_session(&targets, &mut rng).await,
            }
        }
    }

    /// Sends a submission and its duplicates with one key to several instances, one after another
    /// or concurrently.
    async fn submit(&self, targets: &[SocketAddr], rng: &mut StdRng) {
        let key = id::generate("key");
        let count = rng.random_range(1..=targets.len());
        let concurrently = rng.random_bool(0.5);
        let submit = |target| self.call(target, Kind::Submit(key.clone()), None, false);
        if concurrently {
            futures::future::join_all(targets[..count].iter().copied().map(submit)).await;
            return;
        }
        for target in &targets[..count] {
            submit(*target).await;
        }
    }

    /// Sends the requests of a session to several instances, with or without the session token.
    async fn send_session(&self, targets: &[SocketAddr], rng: &mut StdRng) {
        let session = id::generate("session");
        let with_token = rng.random_bool(0.7);
        let streamed = rng.random_bool(0.5);
        let kind = || Kind::Complete(session.clone());
        let mut token = None;
        if rng.random_bool(0.2) {
            let first = targets[..2].iter().map(|one| self.call(*one, kind(), None, streamed));
            futures::future::join_all(first).await;
        }
        for target in targets {
            let received = self.call(*target, kind(), token.clone(), streamed).await;
            token = if with_token { received.or(token) } else { None };
        }
    }

    /// Makes and records one call and returns the session token of its answer.
    async fn call(
        &self,
        target: SocketAddr,
        kind: Kind,
        token: Option<String>,
        streamed: bool,
    ) -> Option<String> {
        self.count.fetch_add(1, Ordering::SeqCst);
        let request = request(&kind, token, streamed);
        let called = Instant::now();
        let sent = tokio::time::timeout(TIMEOUT, self.exchange(target, request, &kind)).await;
        let exchange = sent.unwrap_or_else(|_| Exchange::no_answer());
        let answered = Instant::now();
        let operation = Operation {
            kind,
            target,
            request: exchange.request,
            called,
            answered,
            outcome: exchange.outcome,
        };
        self.operations.lock().push(operation);
        exchange.token
    }

    async fn exchange(
        &self,
        target: SocketAddr,
        request: hawthornmount_http::Request,
        kind: &Kind,
    ) -> Exchange {
        let Ok(response) = self.client.send(target, request).await else {
            return Exchange::no_answer();
        };
        let head = Head::read(&response);
        let status = response.status();
        let is_stream = header(&response, "content-type").starts_with("text/event-stream");
        let Ok(body) = response.into_body().collect().await else {
            let outcome = if is_stream { Outcome::Disconnected } else { Outcome::NoAnswer };
            return Exchange { request: head.request, token: None, outcome };
        };
        let body = body.to_bytes();
        let outcome = if !status.is_success() {
            refusal(&body)
        } else if matches!(kind, Kind::Complete(_)) {
            self.completion(&body, is_stream, &head)
        } else {
            self.service(&body, &head)
        };
        Exchange { request: head.request, token: head.token, outcome }
    }

    fn service(&self, body: &[u8], head: &Head) -> Outcome {
        let Ok(accepted) = serde_json::from_slice::<Accepted>(body) else {
            return Outcome::Incomplete;
        };
        let price = self.config.services.iter().map(|row| row.value.price).next().unwrap_or(0);
        Outcome::Answer {
            content: accepted.request,
            replayed: head.replayed,
            release: head.release.clone(),
            moved: head.moved,
            price: if head.replayed { 0 } else { price },
        }
    }

    fn completion(&self, body: &[u8], is_stream: bool, head: &Head) -> Outcome {
        let text = String::from_utf8_lossy(body);
        let (content, usage) = if is_stream {
            if text.contains("event: error") {
                return Outcome::Unknown;
            }
            if !text.trim_end().ends_with("data: [DONE]") {
                return Outcome::Incomplete;
            }
            read_stream(&text)
        } else {
            let Ok(whole) = serde_json::from_slice::<Completed>(body) else {
                return Outcome::Incomplete;
            };
            let content: String = whole.choices.iter().map(|one| &*one.message.content).collect();
            (content, whole.usage.prompt_tokens + whole.usage.completion_tokens)
        };
        let name = content.strip_prefix("answer to ").and_then(|rest| rest.split(' ').next());
        let model = head.release.split('@').next().unwrap_or_default();
        let price = self.config.models.get(model).map_or(0, |model| model.price);
        Outcome::Answer {
            content: name.unwrap_or_default().into(),
            replayed: false,
            release: head.release.clone(),
            moved: head.moved,
            price: price * usage / TOKENS_PER_PRICE,
        }
    }
}

struct Exchange {
    request: Arc<str>,
    token: Option<String>,
    outcome: Outcome,
}

impl Exchange {
    fn no_answer() -> Self {
        Self { request: "".into(), token: None, outcome: Outcome::NoAnswer }
    }
}

/// Values of the response headers.
struct Head {
    request: Arc<str>,
    token: Option<String>,
    replayed: bool,
    release: Arc<str>,
    moved: bool,
}

impl Head {
    fn read(response: &Response) -> Self {
        let token = header(response, "x-session-token");
        Self {
            request: header(response, "x-request-id").into(),
            token: (!token.is_empty()).then(|| token.to_owned()),
            replayed: !header(response, "idempotency-replayed").is_empty(),
            release: header(response, "x-answered-by").into(),
            moved: !header(response, "x-session-moved-from").is_empty(),
        }
    }
}

fn header<'a>(response: &'a Response, name: &str) -> &'a str {
    response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

fn refusal(body: &[u8]) -> Outcome {
    match serde_json::from_slice::<Document>(body) {
        Ok(document) if document.ran == hawthornmount_core::problem::Execution::NotRun => {
            Outcome::NotRun
        }
        Ok(_) => Outcome::Unknown,
        Err(_) => Outcome::Incomplete,
    }
}

fn read_stream(text: &str) -> (String, u64) {
    let mut content = String::new();
    let mut usage = 0;
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        let Ok(value) = serde_json::from_str::<serde_json::Value>(data) else { continue };
        content.push_str(value["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        usage = value["usage"]["total_tokens"].as_u64().unwrap_or(usage);
    }
    (content, usage)
}

fn request(kind: &Kind, token: Option<String>, streamed: bool) -> hawthornmount_http::Request {
    let builder = http::Request::builder().header("x-request-timeout-ms", DEADLINE_MS);
    let built = match kind {
        Kind::Submit(key) => builder
            .method(Method::POST)
            .uri("/services/grant-portal/submissions")
            .header("authorization", "Bearer demo-municipal")
            .header("idempotency-key", &**key)
            .body(Body::from("{}")),
        Kind::Lookup => builder
            .uri("/services/grant-portal/submissions/1")
            .header("authorization", "Bearer demo-municipal")
            .body(Body::empty()),
        Kind::Complete(session) => {
            let body = serde_json::json!({
                "messages": [{ "role": "user", "content": "draft an eligibility note" }],
                "max_tokens": MAX_TOKENS,
                "stream": streamed,
            });
            let mut builder = builder
                .method(Method::POST)
                .uri("/v1/chat/completions")
                .header("authorization", "Bearer demo-rural")
                .header("x-session-id", &**session);
            if let Some(token) = token {
                builder = builder.header("x-session-token", token);
            }
            builder.body(Body::from(body.to_string()))
        }
    };
    built.expect("the request is valid")
}
