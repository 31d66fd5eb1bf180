//! One attempt of a request at one server.

use {
    crate::{
        answer::{self, Answer, Content, events},
        exchange::{Exchange, IDEMPOTENCY_KEY_HEADER, Kind, REQUEST_ID_HEADER},
        instance::Components,
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

/// Header by which a server reports that it refused the request before running it.
const NOT_RUN_HEADER: &str = "x-not-run";
/// Header with the version that has to answer.
const VERSION_HEADER: &str = "x-model-version";
/// Content type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Value of `Retry-After` of failed requests, unless the server gives one.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Upper bound of a `Retry-After` time that comes from a server.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Reason why an attempt gave no complete answer.
#[derive(Clone, Debug, Display, Error)]
pub enum Failure {
    /// No byte of the request was sent.
    #[display("the server can't be reached")]
    Unreachable,
    /// The server refused the request before running it, with its `Retry-After` time if it gave
    /// one.
    #[display("the server refused before running")]
    Refused(#[error(not(source))] Option<Duration>),
    /// The server answered with this server error status.
    #[display("the server failed with status {_0}")]
    Status(#[error(not(source))] u16),
    /// The connection was lost, or the answer was cut.
    #[display("the connection broke")]
    Broken,
    /// No answer arrived before the deadline.
    #[display("no answer in time")]
    Timeout,
    /// The answer belongs to another request or is incomplete.
    #[display("{_0}")]
    BadAnswer(#[error(not(source))] &'static str),
}

impl Failure {
    /// Returns whether the server can't have run the request.
    pub const fn cannot_have_run(&self) -> bool {
        matches!(self, Self::Unreachable | Self::Refused(_))
    }

    /// Returns the reason of a retry after this failure.
    pub const fn retry_reason(&self) -> Retry {
        match self {
            Self::Unreachable => Retry::Connect,
            Self::Refused(_) => Retry::ServerRefused,
            Self::Status(_) => Retry::ServerError,
            Self::Broken => Retry::CutAnswer,
            Self::Timeout => Retry::ServerTimeout,
            Self::BadAnswer(_) => Retry::CrossedAnswer,
        }
    }

    /// Returns the `cause` label under which a dropped answer is counted, or `None` if there can't
    /// have been one.
    const fn drop_cause(&self) -> Option<&'static str> {
        match self {
            Self::Unreachable | Self::Refused(_) | Self::Status(_) => None,
            Self::Broken => Some("cut"),
            Self::Timeout => Some("late"),
            Self::BadAnswer(_) => Some("not_its_own"),
        }
    }

    /// Returns the problem that the caller gets.
    pub fn problem(&self, idempotent: bool) -> Problem {
        let reason = match self {
            Self::Unreachable | Self::Refused(_) => Refusal::NoServer,
            Self::Status(_) | Self::Broken => Refusal::ServerFailed,
            Self::Timeout => Refusal::Deadline,
            Self::BadAnswer(_) => Refusal::BadAnswer,
        };
        let remedy = if idempotent || self.cannot_have_run() {
            "send the request again"
        } else {
            "ask the service for the state before you send it again"
        };
        let retry_after = match self {
            Self::Refused(Some(retry_after)) => *retry_after,
            _ => RETRY_AFTER,
        };
        let problem = Problem::new(reason, format!("{self}: {remedy}")).retry_after(retry_after);
        if self.cannot_have_run() { problem } else { problem.execution_unknown() }
    }
}

/// One attempt of a request at one server.
pub struct Attempt {
    client: Client,
    address: SocketAddr,
    id: Arc<str>,
    request: Request,
    is_stream: bool,
    is_completion: bool,
    timeout: Duration,
    metrics: Metrics,
    possible_runs: Arc<AtomicUsize>,
}

impl Attempt {
    /// Prepares the attempt with this number, counted from 1.
    pub fn new(
        components: &Components,
        exchange: &Exchange,
        release: Option<&Release>,
        choice: &Choice,
        number: usize,
    ) -> Self {
        let id: Arc<str> = format!("{}.{number}", exchange.id).into();
        let is_stream = matches!(&exchange.kind, Kind::Completion(completion) if completion.stream);
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
                if let Some(key) = exchange.header(IDEMPOTENCY_KEY_HEADER) {
                    set_header(&mut request, IDEMPOTENCY_KEY_HEADER, key);
                }
                request
            }
            _ => Request::new(Body::empty()),
        };
        let content_type = exchange.header("content-type").unwrap_or("application/json");
        set_header(&mut request, "content-type", content_type);
        set_header(&mut request, REQUEST_ID_HEADER, &id);
        let timeout = exchange.time_left().unwrap_or(Duration::ZERO);
        Self {
            client: components.client.clone(),
            address: choice.address,
            id,
            request,
            is_stream,
            is_completion: matches!(exchange.kind, Kind::Completion(_)),
            timeout,
            metrics: components.metrics.clone(),
            possible_runs: exchange.possible_runs.clone(),
        }
    }

    /// Sends the request and waits for the complete answer, or for the first event of a stream.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no answer.
    pub async fn run(self) -> Result<Answer, Failure> {
        let timeout = self.timeout;
        let metrics = self.metrics.clone();
        let timed = tokio::time::timeout(timeout, self.send()).await;
        let result = timed.unwrap_or(Err(Failure::Timeout));
        if let Err(Some(cause)) = result.as_ref().map_err(Failure::drop_cause) {
            metrics.count_drop("answer", cause);
        }
        result
    }

    async fn send(self) -> Result<Answer, Failure> {
        self.possible_runs.fetch_add(1, Ordering::SeqCst);
        let sent = self.client.send(self.address, self.request).await;
        let response = sent.map_err(|error| {
            if error.is_unsent() {
                self.possible_runs.fetch_sub(1, Ordering::SeqCst);
                Failure::Unreachable
            } else {
                broken(&self.id, &error)
            }
        })?;
        if response.headers().contains_key(NOT_RUN_HEADER) {
            self.possible_runs.fetch_sub(1, Ordering::SeqCst);
            return Err(Failure::Refused(retry_after(&response)));
        }
        check_id(&response, &self.id)?;
        let status = response.status();
        if status.is_server_error() {
            return Err(Failure::Status(status.as_u16()));
        }
        let content_type: Arc<str> = text_header(&response, header::CONTENT_TYPE.as_str()).into();
        if self.is_stream && content_type.starts_with(EVENT_STREAM) {
            return stream_answer(&self.id, status, content_type, response).await;
        }
        let body = client::read_body(self.address, response.into_body())
            .await
            .map_err(|error| broken(&self.id, &error))?;
        if self.is_completion && status.is_success() && answer::read_completion(&body).is_none() {
            return Err(Failure::BadAnswer("the answer is truncated"));
        }
        Ok(Answer { status, content_type, content: Content::Buffered(body) })
    }
}

/// Waits for the first event and returns the answer as a stream.
async fn stream_answer(
    id: &str,
    status: StatusCode,
    content_type: Arc<str>,
    response: Response,
) -> Result<Answer, Failure> {
    let mut reader = events::Reader::new(response.into_body());
    reader.wait_first().await.map_err(|error| broken(id, &error))?;
    Ok(Answer { status, content_type, content: Content::Streamed(Box::new(reader)) })
}

/// Logs the error of a connection that broke after the attempt may have been sent.
fn broken(id: &str, error: &dyn std::error::Error) -> Failure {
    log::info!("the connection to a server broke; attempt={id} cause={error}");
    Failure::Broken
}

/// Checks that the answer carries the id of this attempt.
fn check_id(response: &Response, id: &str) -> Result<(), Failure> {
    if text_header(response, REQUEST_ID_HEADER) == id {
        return Ok(());
    }
    Err(Failure::BadAnswer("the answer is for another request"))
}

/// Returns the time in the `Retry-After` header, at most [`MAX_RETRY_AFTER`].
fn retry_after(response: &Response) -> Option<Duration> {
    let seconds = text_header(response, header::RETRY_AFTER.as_str()).trim().parse().ok()?;
    Some(Duration::from_secs(seconds).min(MAX_RETRY_AFTER))
}

/// Returns the value of a header, or an empty text if it is missing or not visible ASCII.
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
