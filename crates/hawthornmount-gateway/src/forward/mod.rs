//! Hands requests to servers until one of them answers.

mod attempt;
mod job;
mod relay;
mod select;
mod verdict;

pub use {
    job::{Course, Job},
    verdict::{Verdict, verdict},
};

use {
    crate::{
        budget::{Budget, Cause},
        fence::Fence,
        filter::{Answer, Body, Exchange},
        ladder::{self, Outlook},
        load::{Board, Speeds},
        membership::Size,
        message::Dialect,
        pool::Pool,
        registry::Server,
        rollout::{
            Phase,
            driver::Sources,
            evidence::{Collector, Observation, Signal},
            sessions::Exposure,
        },
        route,
        settings::{Retries, Settings},
        view::Cell,
    },
    attempt::{Opened, Outcome},
    hawthornmount_core::{
        id::{RegionId, ServiceId},
        metrics::Metrics,
        problem::Problem,
        reason::{Refusal, Retry},
        table::Table,
    },
    hawthornmount_http::StatusCode,
    http_body_util::BodyExt,
    parking_lot::Mutex,
    relay::Relay,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::timeout_at,
};

/// When a caller may come back whose request found no room.
const ROOM_PAUSE: Duration = Duration::from_millis(500);

struct Row {
    service: ServiceId,
    budget: Budget,
}

/// Hands requests to servers.
pub struct Forwarder {
    cell: Arc<Cell>,
    fence: Arc<Fence>,
    dialect: Arc<dyn Dialect>,
    metrics: Metrics,
    pool: Pool,
    board: Arc<Mutex<Board>>,
    speeds: Mutex<Speeds>,
    budgets: Mutex<Vec<Row>>,
    /// Sessions and exposure of versions under a roll-out.
    exposure: Mutex<Exposure>,
    collector: Arc<Mutex<Collector>>,
    retries: Retries,
    fleet_size: Size,
    data_centre: Arc<str>,
    regions: Table<RegionId>,
}

impl Forwarder {
    /// Creates a forwarder.
    pub fn new(
        settings: &Settings,
        cell: Arc<Cell>,
        fence: Arc<Fence>,
        dialect: Arc<dyn Dialect>,
        metrics: Metrics,
    ) -> Self {
        Self {
            cell,
            fence,
            dialect,
            metrics,
            pool: Pool::default(),
            board: Arc::default(),
            speeds: Mutex::default(),
            budgets: Mutex::default(),
            exposure: Mutex::default(),
            collector: Arc::default(),
            retries: settings.retries.clone(),
            fleet_size: Size::default(),
            data_centre: settings.data_centre.clone(),
            regions: settings.regions.clone(),
        }
    }

    /// Returns the job of an exchange.
    ///
    /// # Errors
    ///
    /// Returns a problem if the route was not looked up or names no service.
    pub fn job(&self, exchange: &Exchange) -> Result<Job, Problem> {
        let route = exchange.route()?;
        match route::split(&route.route.targets, rand::random()) {
            Some(service) => Ok(Job::new(exchange, route.clone(), service.clone())),
            None => Err(Problem::new(Refusal::NoServer, "the route has no service")),
        }
    }

    /// Hands a request to servers and returns the answer for the caller.
    ///
    /// # Errors
    ///
    /// Returns a problem if no server answered in time; it tells whether the request may have run.
    pub async fn run(self: &Arc<Self>, job: Job) -> Result<Answer, Problem> {
        let job = Arc::new(job);
        let mut course = Course { rung: job.start(), ..Course::default() };
        self.with_budget(&job.service, |budget, now| budget.count(now));
        let bound = job.bound().into();
        let driven = timeout_at(bound, self.drive(&job, &mut course)).await;
        let opened = match driven {
            Ok(Ok(opened)) => opened,
            Ok(Err(problem)) => return self.give_up(course, problem),
            Err(_elapsed) => return self.give_up(course, late()),
        };
        Ok(self.deliver(job, course, opened))
    }

    /// Returns the number of instances, which the follower of the store sets.
    pub fn fleet_size(&self) -> Size {
        self.fleet_size.clone()
    }

    /// Returns what the driver of roll-outs reads.
    pub fn sources(&self) -> Sources {
        Sources { collector: self.collector.clone(), board: self.board.clone() }
    }

    /// Closes idle connections and forgets servers that are gone.
    pub fn sweep(&self) {
        let view = self.cell.load();
        let is_known = |id: &Arc<str>| view.knows(id);
        self.pool.sweep(is_known);
        self.board.lock().retain(is_known);
    }

    /// Tries servers until one gives an answer that can go to the caller.
    async fn drive(&self, job: &Arc<Job>, course: &mut Course) -> Result<Opened, Problem> {
        loop {
            let server = self.next_server(job, course)?;
            let wait = self.wait(job, course);
            let began = Instant::now();
            let attempt = self.attempt(job, &server, course, job.resume_after());
            let outcome = match wait {
                Some(wait) => match tokio::time::timeout(wait, attempt).await {
                    Ok(outcome) => outcome,
                    Err(_elapsed) => {
                        self.board.lock().tally(&server.id).failed(Instant::now());
                        Outcome::Unknown(Retry::ServerTimeout)
                    }
                },
                None => attempt.await,
            };
            course.settle(&server.id, &outcome);
            match &outcome {
                Outcome::Opened(_) => {
                    let model = job.model(course.rung);
                    self.speeds.lock().learn(model, course.unread, began.elapsed());
                    self.sign(job, course, &server, Signal::Started(began.elapsed()));
                }
                Outcome::Failed(_) => self.sign(job, course, &server, Signal::Failed),
                Outcome::Unknown(_) => self.sign(job, course, &server, Signal::Broken),
                Outcome::Refused | Outcome::Unsent | Outcome::Unconfirmed => {}
            }
            match outcome {
                Outcome::Opened(opened) => {
                    let Some(rung) = self.climb(job, course, &opened) else { return Ok(*opened) };
                    course.rung = Some(rung);
                    course.tried.clear();
                    course.cause = Some(Retry::Escalation);
                    continue;
                }
                Outcome::Failed(answer) => course.failure = Some(answer),
                Outcome::Unknown(_) => {}
                Outcome::Refused | Outcome::Unsent => continue,
                Outcome::Unconfirmed => return Err(unconfirmed()),
            }
            if !job.route.route.is_idempotent() {
                return Err(failed());
            }
        }
    }

    /// Returns how long the next attempt may take to begin its answer.
    fn wait(&self, job: &Job, course: &Course) -> Option<Duration> {
        let is_last = course.attempts >= job.route.route.attempts;
        if is_last { None } else { job.impatience(course.expected) }
    }

    /// Chooses the server of the next attempt and takes it from the budgets.
    fn next_server(&self, job: &Job, course: &mut Course) -> Result<Arc<Server>, Problem> {
        if course.attempts >= job.route.route.attempts {
            return Err(full());
        }
        let Some(server) = self.choose(job, course) else {
            return Err(if course.cause.is_some() { full() } else { no_server(&job.service) });
        };
        if let Some(cause) = course.cause {
            // A request that no server received is no repeat.
            let is_repeat = match cause {
                Retry::Connect => course.attempts > 0,
                // Taken when the answer was dropped.
                Retry::Escalation => false,
                _ => true,
            };
            if is_repeat && !self.take_repeat(job, Cause::Failure) {
                return Err(full());
            }
            self.metrics.retry(cause);
        }
        course.attempts += 1;
        Ok(server)
    }

    /// Takes note of how an attempt ended, as evidence on the server's version.
    fn sign(&self, job: &Job, course: &Course, server: &Server, sign: Signal) {
        let view = self.cell.load();
        let is_alone = view.split(&job.service).is_some_and(|split| split.phase >= Phase::Full);
        self.collector.lock().record(&Observation {
            service: &job.service,
            version: &server.version,
            route: &job.route.id,
            model: job.model(course.rung),
            is_concentrated: course.is_trial,
            is_only_version: is_alone,
            uncached_tokens: course.unread,
            load: course.load,
            signal: sign,
        });
    }

    /// Returns the rung on which the request is asked again, if the answer is in doubt and a repeat
    /// is allowed.
    fn climb(&self, job: &Job, course: &Course, opened: &Opened) -> Option<ladder::Rung> {
        let rung = course.rung?;
        if course.attempts >= job.route.route.attempts {
            return None;
        }
        let outlook = |rung| Outlook {
            begins: job.arrived.elapsed() + self.least_wait(job, rung),
            target: job.route.route.target_latency,
        };
        let rungs = job.route.route.ladder.len();
        let next = ladder::climb(rung, rungs, opened.reply.confidence, outlook)?;
        self.take_repeat(job, Cause::Doubt).then_some(next)
    }

    /// Returns the answer for the caller: the whole body, or the stream as it comes.
    fn deliver(self: &Arc<Self>, job: Arc<Job>, course: Course, opened: Opened) -> Answer {
        note_late(&job, &course, &opened);
        let mut answer = http::Response::new(());
        *answer.status_mut() = opened.status;
        *answer.headers_mut() = self.dialect.pass_on(&opened.headers);
        let body = match opened.body {
            attempt::Body::Whole(bytes) => whole(bytes),
            attempt::Body::Open(source) => {
                Relay::new(self.clone(), job, course, source).into_body()
            }
        };
        answer.map(|()| body)
    }

    fn give_up(&self, course: Course, problem: Problem) -> Result<Answer, Problem> {
        if let Some(answer) = course.failure {
            return Ok(answer);
        }
        if !course.ran && !course.pending {
            return Err(problem);
        }
        let detail = "the server gave no whole answer: the request may have run";
        let reason = match problem.reason {
            Refusal::Deadline => Refusal::Deadline,
            _ => Refusal::ServerFailed,
        };
        Err(Problem::new(reason, detail).ran_unknown())
    }

    fn take_repeat(&self, job: &Job, cause: Cause) -> bool {
        self.with_budget(&job.service, |budget, now| budget.take(cause, now))
    }

    fn with_budget<T>(
        &self,
        service: &ServiceId,
        apply: impl FnOnce(&mut Budget, Instant) -> T,
    ) -> T {
        let now = Instant::now();
        let mut rows = self.budgets.lock();
        let at = match rows.binary_search_by(|row| row.service.cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let Retries { ratio, window, .. } = self.retries;
                let budget = Budget::new(ratio, window, now);
                rows.insert(at, Row { service: service.clone(), budget });
                at
            }
        };
        // While the number of instances is not known, nothing of the fleet's slack is used.
        let slack = self.fleet_size.get().map_or(0.0, |size| self.retries.slack / size as f64);
        rows[at].budget.set_slack(slack);
        apply(&mut rows[at].budget, now)
    }
}

/// Leaves a line for an answer that begins past the route's target.
fn note_late(job: &Job, course: &Course, opened: &Opened) {
    let waited = job.arrived.elapsed();
    if waited <= job.route.route.target_latency {
        return;
    }
    let cause = course.cause.map_or("none", Retry::as_str);
    log::info!(
        "answered late; id={} route={} server={} version={} waited_ms={} attempts={} rung={} \
         retry={cause} unread={} load={}",
        job.id,
        job.route.id,
        opened.server.id,
        opened.server.version,
        waited.as_millis(),
        course.attempts,
        course.rung.map_or(-1, |rung| rung as i64),
        course.unread,
        attempt::told(opened.reply.load),
    );
}

/// Returns a body of known bytes.
pub fn whole(bytes: bytes::Bytes) -> Body {
    http_body_util::Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

fn full() -> Problem {
    let mut problem = Problem::new(Refusal::Overloaded, "the servers have no room: come back")
        .retry_after(ROOM_PAUSE);
    problem.status = StatusCode::SERVICE_UNAVAILABLE.as_u16();
    problem
}

fn no_server(service: &str) -> Problem {
    let detail = format!("no server of {service} takes requests: come back");
    Problem::new(Refusal::NoServer, detail).retry_after(ROOM_PAUSE)
}

fn failed() -> Problem {
    Problem::new(Refusal::ServerFailed, "the server failed")
}

/// Returns the problem of a request whose key can't be confirmed now.
pub fn unconfirmed() -> Problem {
    let detail = "the key can't be confirmed while the store is out of reach: come back";
    Problem::new(Refusal::StoreUnavailable, detail).retry_after(ROOM_PAUSE)
}

/// Returns the problem of a request that no server had when its time ran out.
fn late() -> Problem {
    let mut problem = Problem::new(Refusal::Deadline, "no server took the request in time")
        .retry_after(ROOM_PAUSE);
    problem.status = StatusCode::SERVICE_UNAVAILABLE.as_u16();
    problem
}
