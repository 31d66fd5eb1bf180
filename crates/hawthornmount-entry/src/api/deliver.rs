//! Delivers answers and problems to callers. What the filters left to do is done before the last
//! byte goes out.

use {
    crate::{
        answer::{self, Answer, Content, End, Usage, events::Reader},
        exchange::{Exchange, REQUEST_HEADER, TOKEN_HEADER},
        instance::Parts,
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

/// Header of an answer that repeats the outcome of an earlier call with the same key.
const REPLAYED_HEADER: &str = "idempotency-replayed";
/// Header that tells how often the session had to move.
const GENERATION_HEADER: &str = "x-session-generation";
/// Time in which a caller has to take the last event of a stream that failed.
const LAST_EVENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Events that wait for a slow caller.
const EVENT_BACKLOG: usize = 16;
/// Content type of problem documents.
const PROBLEM_TYPE: &str = "application/problem+json";

/// Answers with a problem of a request that no filter has seen.
pub fn refuse(parts: &Parts, id: &str, problem: &Problem) -> Response {
    parts.metrics.count_refusal(problem.reason);
    log::info!("refused; request={id} reason={} detail={}", problem.reason, problem.detail);
    let document = serde_json::to_vec(&problem.document(id)).unwrap_or_default();
    let status = StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = respond(status, PROBLEM_TYPE, id, Body::from(document));
    if let Some(after) = problem.retry_after {
        let seconds = after.as_secs().max(1);
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Answers with a problem and keeps the record of the request.
pub fn problem(parts: &Parts, mut exchange: Exchange, problem: &Problem) -> Response {
    let response = refuse(parts, &exchange.id, problem);
    exchange.trace.outcome = problem.reason.as_str().into();
    close(parts, exchange, "refused");
    response
}

/// Delivers the answer of an exchange.
pub async fn answer(parts: &Arc<Parts>, mut exchange: Exchange) -> Response {
    let Some(answer) = exchange.answer.take() else {
        let missing = Problem::new(Refusal::Internal, "no filter gave an answer: report it");
        return problem(parts, exchange, &missing);
    };
    let Answer { status, content_type, content } = answer;
    match content {
        Content::Whole(bytes) => whole(parts, exchange, status, content_type, bytes).await,
        Content::Events(reader) => {
            let (sender, body) = body::channel(EVENT_BACKLOG);
            let response = session_headers(
                parts,
                respond(status, &content_type, &exchange.id, body),
                &exchange,
            );
            let relay = Relay { parts: parts.clone(), exchange, reader: *reader, content_type };
            tokio::spawn(relay.run(sender));
            response
        }
    }
}

async fn whole(
    parts: &Parts,
    mut exchange: Exchange,
    status: StatusCode,
    content_type: Arc<str>,
    bytes: Bytes,
) -> Response {
    let (usage, text) =
        answer::read_completion(&bytes).unwrap_or_else(|| (Usage::default(), "".into()));
    let end = End {
        status: status.as_u16(),
        content_type: content_type.clone(),
        body: Some(bytes.clone()),
        usage,
        text,
    };
    if let Err(refused) = finish(&mut exchange, &end).await {
        return problem(parts, exchange, &refused);
    }
    let response = respond(status, &content_type, &exchange.id, Body::from(bytes));
    let response = session_headers(parts, response, &exchange);
    exchange.trace.outcome = "answered".into();
    close(parts, exchange, "answered");
    response
}

/// Passes the events of a stream on as they come.
struct Relay {
    parts: Arc<Parts>,
    exchange: Exchange,
    reader: Reader,
    content_type: Arc<str>,
}

impl Relay {
    async fn run(mut self, sender: mpsc::Sender<Chunk>) {
        let deadline = self.exchange.deadline.into();
        let outcome = match tokio::time::timeout_at(deadline, self.copy(&sender)).await {
            Ok(outcome) => outcome,
            Err(_) => self.run_late(&sender).await,
        };
        self.clean_up().await;
        self.exchange.trace.outcome = outcome.into();
        close(&self.parts, self.exchange, outcome);
    }

    async fn copy(&mut self, sender: &mpsc::Sender<Chunk>) -> &'static str {
        let mut first = true;
        loop {
            let event = tokio::select! {
                event = self.reader.next() => event,
                () = sender.closed() => return self.hung_up(),
            };
            let event = match event {
                Ok(event) => event,
                Err(error) => {
                    self.parts.metrics.count_drop("answer", error.cause());
                    let detail = format!("the answer is not whole: {error}");
                    let problem = Problem::new(Refusal::BadAnswer, detail).may_have_run();
                    return self.fail(sender, &problem).await;
                }
            };
            if first {
                self.note_first_token();
                first = false;
            }
            if event.terminal
                && let Err(problem) = self.finish().await
            {
                return self.fail(sender, &problem).await;
            }
            if sender.send(Ok(event.bytes)).await.is_err() {
                return self.hung_up();
            }
            if event.terminal {
                return "answered";
            }
        }
    }

    /// Ends a stream whose deadline has passed; a caller that reads no more is not waited for.
    async fn run_late(&self, sender: &mpsc::Sender<Chunk>) -> &'static str {
        let detail = "the answer is not whole at the deadline: allow more time";
        let problem = Problem::new(Refusal::Deadline, detail).may_have_run();
        let told = tokio::time::timeout(LAST_EVENT_TIMEOUT, self.fail(sender, &problem));
        told.await.unwrap_or(problem.reason.as_str())
    }

    async fn finish(&mut self) -> Result<(), Problem> {
        let end = self.end(self.reader.usage());
        finish(&mut self.exchange, &end).await
    }

    /// Does what the filters left for an answer that did not reach its end.
    async fn clean_up(&mut self) {
        let end = self.end(self.reader.usage_so_far());
        for finisher in std::mem::take(&mut self.exchange.finishers) {
            finisher.cut(&end).await;
        }
    }

    fn end(&self, usage: Usage) -> End {
        End {
            status: StatusCode::OK.as_u16(),
            content_type: self.content_type.clone(),
            body: None,
            usage,
            text: self.reader.text().into(),
        }
    }

    /// Ends the stream with an explicit error event and no terminal event.
    async fn fail(&self, sender: &mpsc::Sender<Chunk>, problem: &Problem) -> &'static str {
        self.parts.metrics.count_refusal(problem.reason);
        let document = problem.document(&self.exchange.id);
        let data = serde_json::json!({ "error": document });
        let _ = sender.send(Ok(format!("event: error\ndata: {data}\n\n").into())).await;
        problem.reason.as_str()
    }

    fn hung_up(&self) -> &'static str {
        self.parts.metrics.count_drop("answer", "caller_hung_up");
        "caller hung up"
    }

    fn note_first_token(&self) {
        let model = self.exchange.answered_by.as_ref().map_or("", |release| &release.model);
        let elapsed = self.exchange.arrived.elapsed().as_secs_f64();
        self.parts.metrics.first_token.with_label_values(&[model]).observe(elapsed);
    }
}

async fn finish(exchange: &mut Exchange, end: &End) -> Result<(), Problem> {
    for finisher in std::mem::take(&mut exchange.finishers) {
        finisher.finish(end).await?;
    }
    Ok(())
}

/// Counts the request and keeps its record.
fn close(parts: &Parts, exchange: Exchange, class: &str) {
    let release = exchange.answered_by.as_ref();
    let model = release.map_or("", |release| &release.model);
    let version = release.map_or("", |release| &release.version);
    parts.metrics.requests.with_label_values(&[&*exchange.account, model, version, class]).inc();
    let elapsed = Instant::now().duration_since(exchange.arrived);
    parts.metrics.latency.with_label_values(&[model]).observe(elapsed.as_secs_f64());
    log::debug!(
        "ended; request={} account={} model={model} version={version} outcome={} ms={}",
        exchange.id,
        exchange.account,
        exchange.trace.outcome,
        elapsed.as_millis()
    );
    parts.journal.keep(exchange.trace);
}

fn respond(status: StatusCode, content_type: &str, id: &str, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(content_type) {
        headers.insert(header::CONTENT_TYPE, value);
    }
    if let Ok(value) = HeaderValue::from_str(id) {
        headers.insert(REQUEST_HEADER, value);
    }
    response
}

/// Tells the caller which version answered and whether its session had to move.
fn session_headers(parts: &Parts, mut response: Response, exchange: &Exchange) -> Response {
    let headers = response.headers_mut();
    if exchange.replayed {
        headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    }
    if let Some(release) = &exchange.answered_by
        && let Ok(value) = HeaderValue::from_str(&format!("{}@{}", release.model, release.version))
    {
        headers.insert("x-answered-by", value);
    }
    if let Some(pin) = &exchange.pin {
        headers.insert(GENERATION_HEADER, HeaderValue::from(pin.generation));
        let token = parts.sessions.sign(pin);
        if let Some(Ok(value)) = token.map(|token| HeaderValue::from_str(&token)) {
            headers.insert(TOKEN_HEADER, value);
        }
    }
    if let Some(release) = &exchange.moved_from
        && let Ok(value) = HeaderValue::from_str(&format!("{}@{}", release.model, release.version))
    {
        headers.insert("x-session-moved-from", value);
    }
    response
}
