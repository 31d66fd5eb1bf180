//! One attempt at one server.

use {
    crate::{
        answer::{self, Answer, Content, events},
        exchange::{Exchange, KEY_HEADER, Kind, REQUEST_HEADER},
        instance::Parts,
    },
    derive_more::{Display, Error},
    hawthornmount_core::{
        metrics::Metrics,
        problem::Problem,
        reason::{Refusal, Retry},
        snapshot::Release,
    },
    hawthornmount_http::{
        Body, HeaderValue, Method, Request, Response, StatusCode,
        client::{self, Client},
        header,
    },
    hawthornmount_policy::Choice,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
};

/// Header with which a server says that it refused before running.
const NOT_RUN_HEADER: &str = "x-not-run";
/// Header that names the version that should answer.
const VERSION_HEADER: &str = "x-model-version";
/// Content type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// When a caller whose request failed should come back, unless the server says so.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time for which a server may send callers away.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Why an attempt gave no answer.
#[derive(Clone, Debug, Display, Error)]
pub enum Failure {
    /// No byte went out.
    #[display("the server can't be reached")]
    Unreachable,
    /// The server said that it refused before running.
    #[display("the server refused before running")]
    Refused(#[error(not(source))] Option<Duration>),
    /// The server failed.
    #[display("the server failed with status {_0}")]
    Status(#[error(not(source))] u16),
    /// The connection broke or the answer was cut.
    #[display("the connection broke")]
    Broken,
    /// No answer in time.
    #[display("no answer in time")]
    Timeout,
    /// The answer was for another request, or not whole.
    #[display("{_0}")]
    BadAnswer(#[error(not(source))] &'static str),
}

impl Failure {
    /// Tells whether the request can't have run.
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Unreachable | Self::Refused(_))
    }

    /// Returns the reason of a retry after this failure.
    pub const fn retry(&self) -> Retry {
        match self {
            Self::Unreachable => Retry::Connect,
            Self::Refused(_) => Retry::ServerRefused,
            Self::Status(_) => Retry::ServerError,
            Self::Broken => Retry::CutAnswer,
            Self::Timeout => Retry::ServerTimeout,
            Self::BadAnswer(_) => Retry::CrossedAnswer,
        }
    }

    /// Returns how counters name an answer that was dropped, if there may have been one.
    const fn dropped(&self) -> Option<&'static str> {
        match self {
            Self::Unreachable | Self::Refused(_) | Self::Status(_) => None,
            Self::Broken => Some("cut"),
            Self::Timeout => Some("late"),
            Self::BadAnswer(_) => Some("not_its_own"),
        }
    }

    /// Returns what the caller gets.
    pub fn problem(&self, idempotent: bool) -> Problem {
        let reason = match self {
            Self::Unreachable | Self::Refused(_) => Refusal::NoServer,
            Self::Status(_) | Self::Broken => Refusal::ServerFailed,
            Self::Timeout => Refusal::Deadline,
            Self::BadAnswer(_) => Refusal::BadAnswer,
        };
        let remedy = if idempotent || self.is_unsent() {
            "send the request again"
        } else {
            "ask the service for the state before you send it again"
        };
        let after = match self {
            Self::Refused(Some(after)) => *after,
            _ => RETRY_AFTER,
        };
        let problem = Problem::new(reason, format!("{self}: {remedy}")).retry_after(after);
        if self.is_unsent() { problem } else { problem.ran_unknown() }
    }
}

/// One attempt at one server.
pub struct Attempt {
    client: Client,
    address: SocketAddr,
    id: Arc<str>,
    request: Request,
    stream: bool,
    completion: bool,
    timeout: Duration,
    metrics: Metrics,
    runs: Arc<AtomicUsize>,
}

impl Attempt {
    /// Prepares an attempt.
    pub fn new(
        parts: &Parts,
        exchange: &Exchange,
        release: Option<&Release>,
        choice: &Choice,
        number: usize,
    ) -> Self {
        let id: Arc<str> = format!("{}.{number}", exchange.id).into();
        let stream = matches!(&exchange.kind, Kind::Completion(one) if one.stream);
        let mut request = match (&exchange.kind, release) {
            (Kind::Completion(completion), Some(release)) => {
                let mut request = Request::new(Body::from(completion.body_for(&release.model)));
                *request.method_mut() = Method::POST;
                set_uri(&mut request, "/v1/chat/completions");
                set_header(&mut request, VERSION_HEADER, &release.version);
                request
            }
            (Kind::Service(call), _) => {
                let mut request = Request::new(Body::from(exchange.body.clone()));
                *request.method_mut() = call.method.parse().unwrap_or(Method::POST);
                set_uri(&mut request, &call.path);
                if let Some(key) = exchange.header(KEY_HEADER) {
                    set_header(&mut request, KEY_HEADER, key);
                }
                request
            }
            _ => Request::new(Body::empty()),
        };
        let content_type = exchange.header("content-type").unwrap_or("application/json");
        set_header(&mut request, "content-type", content_type);
        set_header(&mut request, REQUEST_HEADER, &id);
        let timeout = exchange.time_left().unwrap_or(Duration::ZERO);
        Self {
            client: parts.client.clone(),
            address: choice.address,
            id,
            request,
            stream,
            completion: matches!(exchange.kind, Kind::Completion(_)),
            timeout,
            metrics: parts.metrics.clone(),
            runs: exchange.runs.clone(),
        }
    }

    /// Sends the request and waits for the whole answer, or for the first event of a stream.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn run(self) -> Result<Answer, Failure> {
        let timeout = self.timeout;
        let metrics = self.metrics.clone();
        let run = tokio::time::timeout(timeout, self.exchange()).await;
        let result = run.unwrap_or(Err(Failure::Timeout));
        if let Err(Some(cause)) = result.as_ref().map_err(Failure::dropped) {
            metrics.drop_one("answer", cause);
        }
        result
    }

    async fn exchange(self) -> Result<Answer, Failure> {
        self.runs.fetch_add(1, Ordering::SeqCst);
        let sent = self.client.send(self.address, self.request).await;
        let response = sent.map_err(|error| {
            if error.is_unsent() {
                self.runs.fetch_sub(1, Ordering::SeqCst);
                Failure::Unreachable
            } else {
                Failure::Broken
            }
        })?;
        if response.headers().contains_key(NOT_RUN_HEADER) {
            self.runs.fetch_sub(1, Ordering::SeqCst);
            return Err(Failure::Refused(retry_after(&response)));
        }
        check_id(&response, &self.id)?;
        let status = response.status();
        if status.is_server_error() {
            return Err(Failure::Status(status.as_u16()));
        }
        let content_type: Arc<str> = text_header(&response, header::CONTENT_TYPE.as_str()).into();
        if self.stream && content_type.starts_with(EVENT_STREAM) {
            return first_event(status, content_type, response).await;
        }
        let body = client::read_body(self.address, response.into_body())
            .await
            .map_err(|_| Failure::Broken)?;
        if self.completion && status.is_success() && answer::read_completion(&body).is_none() {
            return Err(Failure::BadAnswer("the answer is truncated"));
        }
        Ok(Answer { status, content_type, content: Content::Whole(body) })
    }
}

async fn first_event(
    status: StatusCode,
    content_type: Arc<str>,
    response: Response,
) -> Result<Answer, Failure> {
    let mut reader = events::Reader::new(response.into_body());
    reader.wait_first().await.map_err(|_| Failure::Broken)?;
    Ok(Answer { status, content_type, content: Content::Events(Box::new(reader)) })
}

/// Checks that an answer is for this attempt.
fn check_id(response: &Response, id: &str) -> Result<(), Failure> {
    if text_header(response, REQUEST_HEADER) == id {
        return Ok(());
    }
    Err(Failure::BadAnswer("the answer is for another request"))
}

/// Returns the seconds of a `Retry-After` header.
fn retry_after(response: &Response) -> Option<Duration> {
    let seconds = text_header(response, header::RETRY_AFTER.as_str()).trim().parse().ok()?;
    Some(Duration::from_secs(seconds).min(MAX_RETRY_AFTER))
}

fn text_header<'a>(response: &'a Response, name: &str) -> &'a str {
    response.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

fn set_uri(request: &mut Request, path: &str) {
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
}

fn set_header(request: &mut Request, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        request.headers_mut().insert(name, value);
    }
}
