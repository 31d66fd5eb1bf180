//! Callers of the experiment.

use {
    hawthornmount_core::{config::Config, id, problem::Document, units::PRICED_TOKENS},
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

/// Time after which a caller gives up.
const TIMEOUT: Duration = Duration::from_secs(12);
/// Deadline that callers give, in milliseconds.
const DEADLINE_MS: &str = "3000";
/// Tokens of an answer.
const MAX_TOKENS: u64 = 8;

/// What a call was.
#[derive(Clone, Debug)]
pub enum Kind {
    /// A submission under a key.
    Submit(Arc<str>),
    /// A status lookup.
    Lookup,
    /// A completion in a session.
    Complete(Arc<str>),
}

/// How a call ended for its caller.
#[derive(Clone, Debug)]
pub enum End {
    /// A whole answer.
    Answer {
        /// Request that the answer is for, as its content says.
        content: Arc<str>,
        /// Whether it repeats an earlier outcome.
        replayed: bool,
        /// Release that answered.
        release: Arc<str>,
        /// Whether it says that its session moved.
        moved: bool,
        /// Price of the answer, as its caller works it out.
        price: u64,
    },
    /// An explicit refusal or failure that may have run.
    Unknown,
    /// A refusal that says that nothing ran.
    NotRun,
    /// No answer, or a connection that broke.
    Nothing,
    /// A stream whose connection broke.
    Broken,
    /// An answer that is not whole and does not say so.
    Torn,
}

/// One call as its caller saw it.
#[derive(Clone, Debug)]
pub struct Op {
    /// What it was.
    pub kind: Kind,
    /// Instance that it went to.
    pub target: SocketAddr,
    /// Request id of the answer.
    pub request: Arc<str>,
    /// When it was sent.
    pub called: Instant,
    /// When its answer was whole.
    pub answered: Instant,
    /// How it ended.
    pub end: End,
}

/// Callers that share a record of their calls.
pub struct Callers {
    client: Client,
    config: Arc<Config>,
    ops: Mutex<Vec<Op>>,
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
    /// Creates callers under a configuration.
    pub fn new(config: Arc<Config>) -> Arc<Self> {
        Arc::new(Self {
            client: Client::new(),
            config,
            ops: Mutex::default(),
            count: AtomicU64::new(0),
        })
    }

    /// Returns the number of calls so far.
    pub fn count(&self) -> u64 {
        self.count.load(Ordering::SeqCst)
    }

    /// Returns the calls.
    pub fn ops(&self) -> Vec<Op> {
        self.ops.lock().clone()
    }

    /// Calls until `limit` calls were made.
    pub async fn work(
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
                _ => self.converse(&targets, &mut rng).await,
            }
        }
    }

    /// Submits under one key, with duplicates at other instances, some at the same time.
    async fn submit(&self, targets: &[SocketAddr], rng: &mut StdRng) {
        let key = id::fresh("key");
        let count = rng.random_range(1..=targets.len());
        let together = rng.random_bool(0.5);
        let submit = |target| self.call(target, Kind::Submit(key.clone()), None, false);
        if together {
            futures::future::join_all(targets[..count].iter().copied().map(submit)).await;
            return;
        }
        for target in &targets[..count] {
            submit(*target).await;
        }
    }

    /// Holds a session over several instances, with or without its token.
    async fn converse(&self, targets: &[SocketAddr], rng: &mut StdRng) {
        let session = id::fresh("session");
        let with_token = rng.random_bool(0.7);
        let streamed = rng.random_bool(0.5);
        let kind = || Kind::Complete(session.clone());
        let mut token = None;
        if rng.random_bool(0.2) {
            let first = targets[..2].iter().map(|one| self.call(*one, kind(), None, streamed));
            futures::future::join_all(first).await;
        }
        for target in targets {
            let given = self.call(*target, kind(), token.clone(), streamed).await;
            token = if with_token { given.or(token) } else { None };
        }
    }

    /// Makes one call and returns the session token of its answer.
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
        let seen = sent.unwrap_or_else(|_| Seen::nothing());
        let answered = Instant::now();
        let op = Op { kind, target, request: seen.request, called, answered, end: seen.end };
        self.ops.lock().push(op);
        seen.token
    }

    async fn exchange(
        &self,
        target: SocketAddr,
        request: hawthornmount_http::Request,
        kind: &Kind,
    ) -> Seen {
        let Ok(response) = self.client.send(target, request).await else { return Seen::nothing() };
        let head = Head::read(&response);
        let status = response.status();
        let is_stream = header(&response, "content-type").starts_with("text/event-stream");
        let Ok(body) = response.into_body().collect().await else {
            let end = if is_stream { End::Broken } else { End::Nothing };
            return Seen { request: head.request, token: None, end };
        };
        let body = body.to_bytes();
        let end = if !status.is_success() {
            refusal(&body)
        } else if matches!(kind, Kind::Complete(_)) {
            self.completion(&body, is_stream, &head)
        } else {
            self.service(&body, &head)
        };
        Seen { request: head.request, token: head.token, end }
    }

    fn service(&self, body: &[u8], head: &Head) -> End {
        let Ok(accepted) = serde_json::from_slice::<Accepted>(body) else { return End::Torn };
        let price = self.config.services.iter().map(|row| row.value.price).next().unwrap_or(0);
        End::Answer {
            content: accepted.request,
            replayed: head.replayed,
            release: head.release.clone(),
            moved: head.moved,
            price: if head.replayed { 0 } else { price },
        }
    }

    fn completion(&self, body: &[u8], is_stream: bool, head: &Head) -> End {
        let text = String::from_utf8_lossy(body);
        let (content, usage) = if is_stream {
            if text.contains("event: error") {
                return End::Unknown;
            }
            if !text.trim_end().ends_with("data: [DONE]") {
                return End::Torn;
            }
            read_stream(&text)
        } else {
            let Ok(whole) = serde_json::from_slice::<Completed>(body) else { return End::Torn };
            let content: String = whole.choices.iter().map(|one| &*one.message.content).collect();
            (content, whole.usage.prompt_tokens + whole.usage.completion_tokens)
        };
        let name = content.strip_prefix("answer to ").and_then(|rest| rest.split(' ').next());
        let model = head.release.split('@').next().unwrap_or_default();
        let price = self.config.models.get(model).map_or(0, |model| model.price);
        End::Answer {
            content: name.unwrap_or_default().into(),
            replayed: false,
            release: head.release.clone(),
            moved: head.moved,
            price: price * usage / PRICED_TOKENS,
        }
    }
}

struct Seen {
    request: Arc<str>,
    token: Option<String>,
    end: End,
}

impl Seen {
    fn nothing() -> Self {
        Self { request: "".into(), token: None, end: End::Nothing }
    }
}

/// Head of an answer.
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

fn refusal(body: &[u8]) -> End {
    match serde_json::from_slice::<Document>(body) {
        Ok(document) if document.ran == hawthornmount_core::problem::Ran::No => End::NotRun,
        Ok(_) => End::Unknown,
        Err(_) => End::Torn,
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
