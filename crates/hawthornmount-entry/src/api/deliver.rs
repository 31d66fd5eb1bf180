//! Delivers answers and problems to callers. The answer hooks of the filters run before the last
//! byte of an answer is sent.

use {
    crate::{
        answer::{self, Answer, Content, Summary, Usage, events::Reader},
        exchange::{Exchange, REQUEST_ID_HEADER, SESSION_TOKEN_HEADER},
        instance::Components,
    },
    bytes::Bytes,
    hawthornmount_core::{problem::Problem, reason::Refusal},
    hawthornmount_http::{
        Body, HeaderValue, Response, StatusCode,
        body::{self, Chunk},
        header,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Header of an answer that is the stored outcome of an earlier call with the same idempotency key.
const REPLAYED_HEADER: &str = "idempotency-replayed";
/// Header with the model and version that answered.
const ANSWERED_BY_HEADER: &str = "x-answered-by";
/// Header with the model and version that the session was moved away from.
const MOVED_FROM_HEADER: &str = "x-session-moved-from";
/// Header with the number of times that the session was moved to another version.
const GENERATION_HEADER: &str = "x-session-generation";
/// Maximum time to send the error event of a stream that missed its deadline.
const ERROR_EVENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of events that are buffered for a slow caller.
const EVENT_BUFFER: usize = 16;
/// Content type of problem documents.
const PROBLEM_TYPE: &str = "application/problem+json";

/// Answers with a problem and counts it as a refusal. Requests with an exchange use [`problem`],
/// which also records the trace.
pub fn refuse(components: &Components, id: &str, problem: &Problem) -> Response {
    components.metrics.count_refusal(problem.reason);
    log::info!("request refused; request={id} reason={} detail={}", problem.reason, problem.detail);
    let document = serde_json::to_vec(&problem.document(id)).unwrap_or_default();
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = respond(status, PROBLEM_TYPE, id, Body::from(document));
    if let Some(retry_after) = problem.retry_after {
        let seconds = retry_after.as_secs().max(1);
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Answers an exchange with a problem and records its trace.
pub fn problem(components: &Components, mut exchange: Exchange, problem: &Problem) -> Response {
    let response = refuse(components, &exchange.id, problem);
    exchange.trace.outcome = problem.reason.as_str().into();
    record_request(components, exchange, "refused");
    response
}

/// Delivers the answer of an exchange.
pub async fn answer(components: &Arc<Components>, mut exchange: Exchange) -> Response {
    let Some(answer) = exchange.answer.take() else {
        let missing = Problem::new(Refusal::Internal, "no filter gave an answer: report it");
        return problem(components, exchange, &missing);
    };
    let Answer { status, content_type, content } = answer;
    match content {
        Content::Buffered(bytes) => {
            deliver_buffered(components, exchange, status, content_type, bytes).await
        }
        Content::Streamed(reader) => {
            let (sender, body) = body::channel(EVENT_BUFFER);
            let response = with_answer_headers(
                components,
                respond(status, &content_type, &exchange.id, body),
                &exchange,
            );
            let relay =
                Relay { components: components.clone(), exchange, reader: *reader, content_type };
            tokio::spawn(relay.run(sender));
            response
        }
    }
}

async fn deliver_buffered(
    components: &Components,
    mut exchange: Exchange,
    status: StatusCode,
    content_type: Arc<str>,
    bytes: Bytes,
) -> Response {
    let (usage, text) =
        answer::read_completion(&bytes).unwrap_or_else(|| (Usage::default(), "".into()));
    let summary = Summary {
        status: status.as_u16(),
        content_type: content_type.clone(),
        body: Some(bytes.clone()),
        usage,
        text,
    };
    if let Err(error) = complete(&mut exchange, &summary).await {
        return problem(components, exchange, &error);
    }
    let response = respond(status, &content_type, &exchange.id, Body::from(bytes));
    let response = with_answer_headers(components, response, &exchange);
    exchange.trace.outcome = "answered".into();
    record_request(components, exchange, "answered");
    response
}

/// Forwards the events of a stream to the caller as they arrive.
struct Relay {
    components: Arc<Components>,
    exchange: Exchange,
    reader: Reader,
    content_type: Arc<str>,
}

impl Relay {
    async fn run(mut self, sender: mpsc::Sender<Chunk>) {
        let deadline = self.exchange.deadline.into();
        let outcome = match tokio::time::timeout_at(deadline, self.forward(&sender)).await {
            Ok(outcome) => outcome,
            Err(_) => self.fail_late(&sender).await,
        };
        self.abort().await;
        self.exchange.trace.outcome = outcome.into();
        record_request(&self.components, self.exchange, outcome);
    }

    /// Forwards events until the stream ends, and returns its outcome.
    async fn forward(&mut self, sender: &mpsc::Sender<Chunk>) -> &'static str {
        let mut is_first = true;
        loop {
            let event = tokio::select! {
                event = self.reader.next() => event,
                () = sender.closed() => return self.record_hang_up(),
            };
            let event = match event {
                Ok(event) => event,
                Err(error) => {
                    self.components.metrics.count_drop("answer", error.cause());
                    let detail = format!("the answer is not whole: {error}");
                    let problem = Problem::new(Refusal::BadAnswer, detail).execution_unknown();
                    return self.fail(sender, &problem).await;
                }
            };
            if is_first {
                self.observe_first_token();
                is_first = false;
            }
            if event.terminal
                && let Err(problem) = self.complete().await
            {
                return self.fail(sender, &problem).await;
            }
            if sender.send(Ok(event.bytes)).await.is_err() {
                return self.record_hang_up();
            }
            if event.terminal {
                return "answered";
            }
        }
    }

    /// Ends a stream whose deadline has passed. A caller that no longer reads is given up on after
    /// [`ERROR_EVENT_TIMEOUT`].
    async fn fail_late(&self, sender: &mpsc::Sender<Chunk>) -> &'static str {
        let detail = "the answer is not whole at the deadline: allow more time";
        let problem = Problem::new(Refusal::Deadline, detail).execution_unknown();
        let sent = tokio::time::timeout(ERROR_EVENT_TIMEOUT, self.fail(sender, &problem));
        sent.await.unwrap_or(problem.reason.as_str())
    }

    /// Runs the answer hooks of a complete stream.
    async fn complete(&mut self) -> Result<(), Problem> {
        let summary = self.summary(self.reader.usage());
        complete(&mut self.exchange, &summary).await
    }

    /// Runs the answer hooks of a stream that ended early; a complete one has none left.
    async fn abort(&mut self) {
        let summary = self.summary(self.reader.usage_so_far());
        for hook in std::mem::take(&mut self.exchange.answer_hooks) {
            hook.on_abort(&summary).await;
        }
    }

    fn summary(&self, usage: Usage) -> Summary {
        Summary {
            status: StatusCode::OK.as_u16(),
            content_type: self.content_type.clone(),
            body: None,
            usage,
            text: self.reader.text().into(),
        }
    }

    /// Ends the stream with an error event in place of the terminal event, and returns its outcome.
    async fn fail(&self, sender: &mpsc::Sender<Chunk>, problem: &Problem) -> &'static str {
        self.components.metrics.count_refusal(problem.reason);
        let document = problem.document(&self.exchange.id);
        let data = serde_json::json!({ "error": document });
        let _ = sender.send(Ok(format!("event: error\ndata: {data}\n\n").into())).await;
        problem.reason.as_str()
    }

    /// Counts an answer whose caller disconnected.
    fn record_hang_up(&self) -> &'static str {
        self.components.metrics.count_drop("answer", "caller_hung_up");
        "caller hung up"
    }

    /// Records the time from the arrival of the request to the first event.
    fn observe_first_token(&self) {
        let model = self.exchange.answered_by.as_ref().map_or("", |release| &release.model);
        let elapsed = self.exchange.arrived.elapsed().as_secs_f64();
        self.components.metrics.first_token.with_label_values(&[model]).observe(elapsed);
    }
}

/// Runs the answer hooks of a complete answer.
async fn complete(exchange: &mut Exchange, summary: &Summary) -> Result<(), Problem> {
    for hook in std::mem::take(&mut exchange.answer_hooks) {
        hook.on_complete(summary).await?;
    }
    Ok(())
}

/// Records the metrics and the trace of a request that has ended.
fn record_request(components: &Components, exchange: Exchange, class: &str) {
    let release = exchange.answered_by.as_ref();
    let model = release.map_or("", |release| &release.model);
    let version = release.map_or("", |release| &release.version);
    components
        .metrics
        .requests
        .with_label_values(&[&*exchange.account, model, version, class])
        .inc();
    let elapsed = Instant::now().duration_since(exchange.arrived);
    components.metrics.latency.with_label_values(&[model]).observe(elapsed.as_secs_f64());
    log::debug!(
        "request ended; request={} account={} model={model} version={version} outcome={} ms={}",
        exchange.id,
        exchange.account,
        exchange.trace.outcome,
        elapsed.as_millis()
    );
    components.journal.insert(exchange.trace);
}

/// Creates a response with the headers that every response has.
fn respond(status: StatusCode, content_type: &str, id: &str, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(content_type) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    response
}

/// Adds the headers that report whether the answer is the stored outcome of an earlier call, which
/// version answered, the pin of the session, and the version that it was moved away from.
fn with_answer_headers(
    components: &Components,
    mut response: Response,
    exchange: &Exchange,
) -> Response {
    let headers = response.headers_mut();
    if exchange.replayed {
        headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    }
    if let Some(release) = &exchange.answered_by
        && let Ok(value) = HeaderValue::from_str(&format!("{}@{}", release.model, release.version))
    {
        headers.insert(ANSWERED_BY_HEADER, value);
    }
    if let Some(pin) = &exchange.pin {
        headers.insert(GENERATION_HEADER, HeaderValue::from(pin.generation));
        let token = components.sessions.sign(pin);
        if let Some(Ok(value)) = token.map(|token| HeaderValue::from_str(&token)) {
            headers.insert(SESSION_TOKEN_HEADER, value);
        }
    }
    if let Some(release) = &exchange.moved_from
        && let Ok(value) = HeaderValue::from_str(&format!("{}@{}", release.model, release.version))
    {
        headers.insert(MOVED_FROM_HEADER, value);
    }
    response
}
