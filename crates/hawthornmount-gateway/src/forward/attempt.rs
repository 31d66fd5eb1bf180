//! One attempt: a request at one server.

use {
    super::{Course, Forwarder, Job, Verdict, verdict, whole},
    crate::{
        filter::Answer,
        load::{Board, Load},
        message::{EventId, HandOver, Reply},
        registry::Server,
    },
    bytes::Bytes,
    hawthornmount_core::{config::Kind, id::ServerId, reason::Retry},
    hawthornmount_http::connection::{self, Connection},
    http::{HeaderMap, StatusCode},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
    parking_lot::Mutex,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time in which a connection to a server has to come about. The longest way between regions takes
/// some tens of milliseconds there and back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest answer that is kept whole, in bytes.
const MAX_WHOLE: usize = 4 << 20;

/// What became of an attempt.
pub enum Outcome {
    /// The server answers with success.
    Opened(Box<Opened>),
    /// The server answered with a failure of its own.
    Failed(Answer),
    /// The server did not run the request and never will.
    Refused,
    /// Nothing of the request went out.
    Unsent,
    /// The request may have run.
    Unknown(Retry),
    /// The key could not be confirmed, so nothing of the request went out.
    Unconfirmed,
}

impl Course {
    /// Takes note of how the attempt at a server ended.
    pub(super) fn settle(&mut self, server: &ServerId, outcome: &Outcome) {
        self.pending = false;
        self.tried.push(server.clone());
        self.ran |=
            matches!(outcome, Outcome::Opened(_) | Outcome::Failed(_) | Outcome::Unknown(_));
        self.cause = match outcome {
            Outcome::Opened(_) | Outcome::Unconfirmed => return,
            Outcome::Failed(_) => Some(Retry::ServerError),
            Outcome::Unknown(cause) => Some(*cause),
            Outcome::Refused => Some(Retry::ServerRefused),
            Outcome::Unsent => {
                // A server that nothing was sent to is no attempt.
                self.attempts -= 1;
                Some(Retry::Connect)
            }
        };
    }
}

/// An answer whose head has arrived.
pub struct Opened {
    /// Server that answers.
    pub server: Arc<Server>,
    /// Status.
    pub status: StatusCode,
    /// Headers as the server sent them.
    pub headers: HeaderMap,
    /// What the head tells.
    pub reply: Reply,
    /// Body of the answer.
    pub body: Body,
}

/// Body of an answer whose head has arrived.
pub enum Body {
    /// All of it.
    Whole(Bytes),
    /// Where the rest comes from.
    Open(Source),
}

/// An open body with its connection; dropping it closes the connection.
pub struct Source {
    /// Rest of the body.
    pub body: Incoming,
    /// Server that it comes from.
    pub server: Arc<Server>,
    connection: Connection,
    reply: Reply,
    _place: Place,
}

/// A request's place in a server's tally, which ends with it.
struct Place {
    board: Arc<Mutex<Board>>,
    server: ServerId,
}

impl Place {
    fn take(board: &Arc<Mutex<Board>>, server: &ServerId) -> Self {
        board.lock().tally(server).in_flight += 1;
        Self { board: board.clone(), server: server.clone() }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut board = self.board.lock();
        let tally = board.tally(&self.server);
        tally.in_flight = tally.in_flight.saturating_sub(1);
    }
}

/// A prompt that a server has to read, until its answer begins.
struct Reading {
    board: Arc<Mutex<Board>>,
    server: ServerId,
    time_ms: f64,
}

impl Reading {
    fn begin(board: &Arc<Mutex<Board>>, server: &ServerId, time_ms: f64) -> Self {
        let is_prompt = time_ms > 0.0;
        {
            let mut board = board.lock();
            let tally = board.tally(server);
            tally.backlog_ms += time_ms;
            tally.unbegun += u32::from(is_prompt);
        }
        Self { board: board.clone(), server: server.clone(), time_ms }
    }
}

impl Drop for Reading {
    fn drop(&mut self) {
        let mut board = self.board.lock();
        let tally = board.tally(&self.server);
        tally.backlog_ms = (tally.backlog_ms - self.time_ms).max(0.0);
        tally.unbegun = tally.unbegun.saturating_sub(u32::from(self.time_ms > 0.0));
    }
}

impl Source {
    /// Keeps the connection of a body that was read to its end.
    pub fn finish(self, forwarder: &Forwarder) {
        forwarder.keep(&self.server, self.connection, &self.reply);
    }
}

impl Forwarder {
    /// Hands the request to a server and waits for its answer.
    pub(super) async fn attempt(
        &self,
        job: &Job,
        server: &Arc<Server>,
        course: &mut Course,
        resume_after: Option<EventId>,
    ) -> Outcome {
        let place = Place::take(&self.board, &server.id);
        let _reading = Reading::begin(&self.board, &server.id, course.read_ms);
        let mut kept = self.pool.take(&server.id);
        loop {
            let is_kept = kept.is_some();
            let mut connection = match kept.take() {
                Some(connection) => connection,
                None => match Connection::open(server.address, CONNECT_TIMEOUT).await {
                    Ok(connection) => connection,
                    Err(failure) => return self.unsent(job, server, &failure),
                },
            };
            if !self.may_run(job) {
                return Outcome::Unconfirmed;
            }
            let request = self.request(job, server, course, resume_after);
            self.board.lock().tally(&server.id).reads(
                job.model(course.rung),
                &job.ask.prompt,
                Instant::now(),
            );
            course.pending = true;
            course.load = None;
            match connection.send(request).await {
                Ok(answer) => {
                    let answered = Answered { connection, answer, place, is_kept };
                    return self.judge(job, server, answered, course).await;
                }
                Err(failure) if failure.is_unsent() => {
                    course.pending = false;
                    if !is_kept {
                        return self.unsent(job, server, &failure);
                    }
                }
                Err(failure) => {
                    self.note_failure(job, server, &failure.to_string());
                    return Outcome::Unknown(Retry::CutAnswer);
                }
            }
        }
    }

    /// Tells whether the key of a request holds by a configuration that is recent enough. The
    /// present configuration counts: the request may have waited since its key was looked up.
    fn may_run(&self, job: &Job) -> bool {
        !job.is_keyed() || (self.fence.is_open() && job.is_held_in(&self.cell.load()))
    }

    fn request(
        &self,
        job: &Job,
        server: &Server,
        course: &Course,
        resume_after: Option<EventId>,
    ) -> http::Request<Full<Bytes>> {
        let model = course.rung.and_then(|rung| job.route.route.ladder.get(rung));
        let hand_over = HandOver {
            server: server.id.clone(),
            account: job.holder.as_ref().map(|holder| holder.account.clone()),
            model: model.cloned(),
            rank: job.rank(),
            left: job.bound().saturating_duration_since(Instant::now()),
            resume_after,
        };
        let mut request = http::Request::new(Full::new(job.body.clone()));
        *request.method_mut() = job.method.clone();
        *request.uri_mut() = job.target.clone();
        *request.headers_mut() = self.dialect.hand_over(&job.headers, &hand_over);
        request
    }

    async fn judge(
        &self,
        job: &Job,
        server: &Arc<Server>,
        answered: Answered,
        course: &mut Course,
    ) -> Outcome {
        let Answered { connection, answer, place, is_kept } = answered;
        let (head, body) = answer.into_parts();
        let reply = self.dialect.reply(&head);
        let now = Instant::now();
        let verdict = verdict(&job.id, head.status, &reply, is_kept);
        if let Verdict::Alien(cause) = verdict {
            self.note_failure(job, server, cause.as_str());
            return Outcome::Unknown(cause);
        }
        course.load = reply.load;
        if let Some(load) = reply.load {
            self.board.lock().tally(&server.id).report(load, now);
        }
        let source = Source { body, server: server.clone(), connection, reply, _place: place };
        match verdict {
            Verdict::Refused => {
                log::debug!("refused by server; id={} server={}", job.id, server.id);
                if head.status == StatusCode::MISDIRECTED_REQUEST {
                    self.board.lock().tally(&server.id).failed(now);
                }
                self.drain(source).await;
                Outcome::Refused
            }
            Verdict::Failure => self.fail(job, head.status, &head.headers, source).await,
            Verdict::Success | Verdict::Alien(_) => {
                self.board.lock().tally(&server.id).succeeded();
                let is_stream = job.route.route.kind == Kind::Stream;
                let reply = source.reply.clone();
                let body = if is_stream {
                    Body::Open(source)
                } else {
                    match self.collect(source).await {
                        Ok(bytes) => Body::Whole(bytes),
                        Err(cause) => {
                            self.note_failure(job, server, &cause);
                            return Outcome::Unknown(Retry::CutAnswer);
                        }
                    }
                };
                let (server, status) = (server.clone(), head.status);
                let opened = Opened { server, status, headers: head.headers, reply, body };
                Outcome::Opened(Box::new(opened))
            }
        }
    }

    async fn fail(
        &self,
        job: &Job,
        status: StatusCode,
        headers: &HeaderMap,
        source: Source,
    ) -> Outcome {
        let server = source.server.clone();
        log::info!(
            "failure of server; id={} route={} server={} version={} status={status} load={}",
            job.id,
            job.route.id,
            server.id,
            server.version,
            told(source.reply.load)
        );
        match self.collect(source).await {
            Ok(bytes) => {
                let mut answer = http::Response::new(whole(bytes));
                *answer.status_mut() = status;
                *answer.headers_mut() = self.dialect.pass_on(headers);
                Outcome::Failed(answer)
            }
            Err(cause) => {
                self.note_failure(job, &server, &cause);
                Outcome::Unknown(Retry::CutAnswer)
            }
        }
    }

    /// Reads a body to its end and keeps its connection.
    async fn collect(&self, mut source: Source) -> Result<Bytes, String> {
        let collected = Limited::new(&mut source.body, MAX_WHOLE).collect().await;
        match collected {
            Ok(collected) => {
                source.finish(self);
                Ok(collected.to_bytes())
            }
            Err(error) => Err(error.to_string()),
        }
    }

    /// Reads the body of a refusal, so that its connection can be kept.
    async fn drain(&self, source: Source) {
        if let Err(cause) = self.collect(source).await {
            log::debug!("the body of a refusal broke off; cause={cause}");
        }
    }

    fn keep(&self, server: &Server, connection: Connection, reply: &Reply) {
        if !reply.closes {
            self.pool.put(&server.id, connection, reply.keeps);
        }
    }

    fn unsent(&self, job: &Job, server: &Server, failure: &connection::Failure) -> Outcome {
        self.note_failure(job, server, &failure.to_string());
        Outcome::Unsent
    }

    /// Takes note of a failure of the server itself.
    pub(super) fn note_failure(&self, job: &Job, server: &Server, cause: &str) {
        log::info!(
            "server failed; id={} route={} server={} version={} cause={cause}",
            job.id,
            job.route.id,
            server.id,
            server.version
        );
        self.board.lock().tally(&server.id).failed(Instant::now());
    }
}

/// Returns a load as the log tells it.
pub(super) fn told(load: Option<Load>) -> String {
    load.map_or_else(|| "unknown".to_owned(), |load| load.to_string())
}

struct Answered {
    connection: Connection,
    answer: connection::Response,
    place: Place,
    is_kept: bool,
}
