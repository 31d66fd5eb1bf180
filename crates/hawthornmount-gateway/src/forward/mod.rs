//! Forwards requests to servers: retries failed attempts within the limits of the route and the
//! retry budget, and escalates responses of low confidence.

pub mod admission;
mod attempt;
mod classify;
mod detour;
mod guard;
mod handover;
mod job;
mod next;
mod obstacle;
pub mod preflight;
mod quarantine;
mod race;
mod relay;
mod response;
mod resume;
mod select;
mod upstream;

pub use {
    classify::{Class, classify},
    job::{Job, Progress},
};

use {
    crate::{
        adaptation::Adaptation,
        budget::{Budget, Cause},
        cascade::{self, Estimate},
        clients::Clients,
        filter::{Body, Exchange, Response},
        freshness::Freshness,
        limit,
        load::{
            PrefillTimes, Tracker,
            exchange::task::{Channel, Peers},
        },
        membership::Size,
        message::Dialect,
        path,
        pool::Pool,
        quarantine::monitor::Monitor,
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
    admission::Admission,
    attempt::Attempt,
    detour::no_path,
    futures::FutureExt,
    hawthornmount_core::{
        id::{InstanceId, RegionId, ServiceId},
        metrics::Metrics,
        problem::Problem,
        reason::{Refusal, Retry},
        table::Table,
    },
    hawthornmount_http::{StatusCode, capacity::Capacity},
    http::header,
    http_body_util::BodyExt,
    parking_lot::Mutex,
    race::Answer,
    relay::Relay,
    std::{
        panic::AssertUnwindSafe,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::{Semaphore, watch},
    upstream::Success,
};

/// Delay after which a caller can retry a request that could not be forwarded.
const RETRY_AFTER: Duration = Duration::from_millis(500);

struct ServiceBudget {
    service: ServiceId,
    budget: Budget,
}

/// Forwards requests to servers.
pub struct Forwarder {
    cell: Arc<Cell>,
    freshness: Arc<Freshness>,
    dialect: Arc<dyn Dialect>,
    metrics: Metrics,
    pool: Pool,
    capacity: Capacity,
    loads: Arc<Mutex<Tracker>>,
    prefill_times: Mutex<PrefillTimes>,
    adaptation: Adaptation,
    admission: Arc<Admission>,
    exchange_peers: Arc<Peers>,
    budgets: Mutex<Vec<ServiceBudget>>,
    /// Versions of the sessions, and numbers of requests that new versions got during roll-outs.
    exposure: Mutex<Exposure>,
    evidence: Arc<Mutex<Collector>>,
    quarantine: Arc<Monitor>,
    /// Permits to observe servers that closed connections.
    observations: Arc<Semaphore>,
    limits: Arc<limit::monitor::Monitor>,
    path: Arc<path::monitor::Monitor>,
    retries: Retries,
    fleet_size: Size,
    /// Whether the requests that are not answered yet have to end.
    ending: watch::Sender<bool>,
    instance: InstanceId,
    data_centre: Arc<str>,
    regions: Table<RegionId>,
}

impl Forwarder {
    /// Creates a forwarder.
    pub fn new(
        settings: &Settings,
        cell: Arc<Cell>,
        freshness: Arc<Freshness>,
        dialect: Arc<dyn Dialect>,
        metrics: Metrics,
        clients: &Clients,
    ) -> Self {
        let quarantine = Monitor::new(settings.instance.clone(), metrics.clone());
        let limits = limit::monitor::Monitor::new(settings.instance.clone(), metrics.clone())
            .with_tolerance(settings.cold);
        let path = path::monitor::Monitor::new(cell.clone(), metrics.clone());
        let adaptation = Adaptation::new(settings.adaptation, metrics.clone());
        Self {
            cell,
            freshness,
            dialect,
            metrics,
            pool: Pool::new(clients.idle_servers()),
            capacity: clients.capacity().clone(),
            loads: Arc::default(),
            prefill_times: Mutex::default(),
            adaptation,
            admission: Arc::default(),
            exchange_peers: Arc::default(),
            budgets: Mutex::default(),
            exposure: Mutex::default(),
            evidence: Arc::default(),
            quarantine: Arc::new(quarantine),
            observations: Arc::new(Semaphore::new(quarantine::MAX_OBSERVED)),
            limits: Arc::new(limits),
            path: Arc::new(path),
            retries: settings.retries.clone(),
            fleet_size: Size::default(),
            ending: watch::Sender::new(false),
            instance: settings.instance.clone(),
            data_centre: settings.data_centre.clone(),
            regions: settings.regions.clone(),
        }
    }

    /// Creates a job for the request of an exchange, with a service drawn from the targets of its
    /// route.
    ///
    /// # Errors
    ///
    /// Returns a problem if the route was not looked up or has no service.
    pub fn job(&self, exchange: &Exchange) -> Result<Job, Problem> {
        let route = exchange.route()?;
        match route::pick_service(&route.config.targets, rand::random()) {
            Some(service) => Ok(Job::new(exchange, route.clone(), service.clone())),
            None => Err(Problem::new(Refusal::NoServer, "the route has no service")),
        }
    }

    /// Forwards a request to servers and returns the response to the caller.
    ///
    /// # Errors
    ///
    /// Returns a problem if no server responded in time; it states whether the request may have
    /// run. A panic is reported as a problem, too.
    pub async fn run(self: &Arc<Self>, job: Job) -> Result<Response, Problem> {
        let job = Arc::new(job);
        // What outlives the request is consistent after unwinding: it is changed under locks that are
        // held for single operations, and counted by guards.
        let caught = AssertUnwindSafe(self.run_job(job.clone())).catch_unwind().await;
        caught.unwrap_or_else(|_panic| {
            log::error!(
                "internal error while a request was forwarded, report it; id={} route={}",
                job.id,
                job.route.id
            );
            Err(internal_error())
        })
    }

    async fn run_job(self: &Arc<Self>, job: Arc<Job>) -> Result<Response, Problem> {
        let is_cut_off = self.path.is_cut_off(&job.service);
        if job.is_passed && is_cut_off {
            return Err(no_path(&job.service));
        }
        *job.permit.lock() = self.until_end(self.admit(&job)).await?;
        let mut progress = Progress { level: self.initial_level(&job), ..Progress::default() };
        if !is_cut_off {
            // The instance to which it is passed counts it otherwise.
            self.with_budget(&job.service, |budget, now| budget.record_request(now));
        }
        match self.try_servers(&job, &mut progress).await {
            Ok(answer) => self.respond_with(job, progress, answer).await,
            Err(problem) => self.failure_response(progress, problem),
        }
    }

    /// Ends the requests that are not answered yet, because the instance exits: their callers get an answer
    /// that states whether they may have run.
    pub fn end(&self) {
        self.ending.send_replace(true);
    }

    /// Returns the result of some work, or a problem if the requests have to end before it.
    async fn until_end<T>(
        &self,
        work: impl Future<Output = Result<T, Problem>>,
    ) -> Result<T, Problem> {
        let mut ending = self.ending.subscribe();
        tokio::select! {
            biased;
            result = work => result,
            _ = ending.wait_for(|is_ending| *is_ending) => Err(stopping()),
        }
    }

    /// Returns the response to the caller: the answer, or the one that was kept for it if the answer
    /// fails before its first event.
    async fn respond_with(
        self: &Arc<Self>,
        job: Arc<Job>,
        progress: Progress,
        answer: Answer,
    ) -> Result<Response, Problem> {
        let Answer { attempt, success, spare } = answer;
        let Some((spare, spare_success)) = spare else {
            return self.respond(job, progress, attempt, success).await;
        };
        let kept = Progress {
            // The better answer may use up the servers that are left.
            attempts: job.attempts,
            may_have_run: true,
            contacted: progress.contacted.clone(),
            level: spare.level,
            ..Progress::default()
        };
        let wait = job.first_event_timeout(attempt.expected_wait);
        let better = self.respond(job.clone(), progress, attempt, success);
        match tokio::time::timeout(wait, better).await {
            Ok(Ok(response)) if response.status().is_success() => Ok(response),
            _ => {
                log::info!(
                    "delivers an answer of low confidence, the better one failed; id={}",
                    job.id
                );
                self.respond(job, kept, spare, spare_success).await
            }
        }
    }

    /// Returns the shared number of instances, which the follower of the store updates.
    pub fn fleet_size(&self) -> Size {
        self.fleet_size.clone()
    }

    /// Returns the evidence and the load statistics that the roll-out driver reads.
    pub fn sources(&self) -> Sources {
        Sources { collector: self.evidence.clone(), loads: self.loads.clone() }
    }

    /// Returns the other instances with which loads are exchanged.
    pub fn exchange_peers(&self) -> Arc<Peers> {
        self.exchange_peers.clone()
    }

    /// Returns the exchange of loads with other instances of the data centre.
    pub fn exchange(&self) -> Channel {
        Channel {
            instance: self.instance.clone(),
            peers: self.exchange_peers.clone(),
            loads: self.loads.clone(),
            admission: self.admission.clone(),
            adaptation: self.adaptation.clone(),
            metrics: self.metrics.clone(),
        }
    }

    /// Returns the quarantine, whose reports the follower of the store exchanges.
    pub fn quarantine(&self) -> Arc<Monitor> {
        self.quarantine.clone()
    }

    /// Returns the limits of servers, which the follower of the store exchanges.
    pub fn limits(&self) -> Arc<limit::monitor::Monitor> {
        self.limits.clone()
    }

    /// Returns the path to the servers, which the instance checks.
    pub fn path(&self) -> Arc<path::monitor::Monitor> {
        self.path.clone()
    }

    /// Closes expired idle connections, and removes the connections and the load statistics of
    /// servers that are no longer in the view.
    pub fn sweep(&self) {
        let view = self.cell.load();
        let is_known = |id: &Arc<str>| view.has_server(id) || self.path.is_neighbour(id);
        self.pool.sweep(is_known);
        self.loads.lock().retain(is_known);
        self.limits.retain(|id, start_ms| view.has_start(id, start_ms), |id| view.has_server(id));
        self.quarantine.expire();
    }

    /// Records the result of an attempt as evidence for the evaluation of the server's version.
    fn record_evidence(&self, job: &Job, attempt: &Attempt, signal: Signal) {
        if attempt.is_passed() {
            return;
        }
        let server = &attempt.server;
        let view = self.cell.load();
        let is_only_version =
            view.split(&job.service).is_some_and(|split| split.phase >= Phase::Full);
        self.evidence.lock().record(&Observation {
            service: &job.service,
            version: &server.version,
            route: &job.route.id,
            model: job.model(attempt.level),
            is_trial: attempt.is_trial,
            is_only_version,
            uncached_tokens: attempt.uncached_tokens,
            load: attempt.reported_load,
            signal,
        });
    }

    /// Returns the level of the cascade at which a request starts, if the router chooses the model.
    fn initial_level(&self, job: &Job) -> Option<cascade::Level> {
        let level = job.initial_level()?;
        let adapts = self.adaptation.is_on();
        if !adapts || !job.is_most_urgent() || self.admission.is_crowded(&job.service) {
            return Some(level);
        }
        cascade::urgent_level(job.route.config.ladder.len(), |level| Estimate {
            latency: self.least_wait(job, level),
            target: job.route.config.target_latency,
        })
    }

    /// Returns the level to which the request is escalated, if the confidence of the response is
    /// low and the route and the retry budget allow another attempt.
    fn escalate(
        &self,
        job: &Job,
        progress: &Progress,
        attempt: &Attempt,
        success: &Success,
    ) -> Option<cascade::Level> {
        let level = progress.level?;
        if attempt.is_passed() || progress.attempts >= job.attempts {
            return None;
        }
        // A crowded instance escalates only what is nearly useless otherwise.
        let crowded = if self.adaptation.is_on() && self.admission.is_crowded(&job.service) {
            job.route.config.target_latency
        } else {
            Duration::ZERO
        };
        let estimate = |level| Estimate {
            latency: crowded + job.arrived.elapsed() + self.least_wait(job, level),
            target: job.route.config.target_latency,
        };
        let levels = job.route.config.ladder.len();
        let next = cascade::escalate(level, levels, success.head.confidence, estimate)?;
        self.take_retry(job, Cause::LowConfidence).then_some(next)
    }

    /// Returns the response to the caller, with the complete body or a stream that is relayed. The
    /// head of a stream is held back until its first event, so that a failure before it can be
    /// reported.
    async fn respond(
        self: &Arc<Self>,
        job: Arc<Job>,
        progress: Progress,
        attempt: Attempt,
        success: Success,
    ) -> Result<Response, Problem> {
        log_late_response(&job, &progress, &attempt, &success);
        let mut response = http::Response::new(());
        *response.status_mut() = success.status;
        *response.headers_mut() = self.dialect.caller_headers(&success.headers);
        let body = match success.body {
            upstream::Body::Complete(bytes) => full_body(bytes),
            upstream::Body::Streaming(upstream) => {
                let content_type = success.headers.get(header::CONTENT_TYPE).cloned();
                let relay =
                    Relay::new(self.clone(), job, progress, attempt, *upstream, content_type);
                match relay.start().await {
                    Ok(body) => body,
                    Err((progress, problem)) => return self.failure_response(progress, problem),
                }
            }
        };
        Ok(response.map(|()| body))
    }

    /// Returns the response to a request without a successful attempt: the last failure response of
    /// a server if there is one, otherwise a problem that states whether the request may have run.
    fn failure_response(&self, progress: Progress, problem: Problem) -> Result<Response, Problem> {
        if let Some(response) = progress.server_failure {
            return Ok(response);
        }
        if !progress.may_run() {
            return Err(problem);
        }
        let detail = "the server gave no whole answer: the request may have run";
        let reason = match problem.reason {
            Refusal::Deadline => Refusal::Deadline,
            _ => Refusal::ServerFailed,
        };
        Err(Problem::new(reason, detail).execution_unknown())
    }

    /// Takes a retry from the budget of the service and returns whether one was available.
    fn take_retry(&self, job: &Job, cause: Cause) -> bool {
        self.with_budget(&job.service, |budget, now| budget.try_take(cause, now))
    }

    /// Applies a function to the retry budget of a service, which is created on first use.
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
                rows.insert(at, ServiceBudget { service: service.clone(), budget });
                at
            }
        };
        // The slack of the fleet is not used while the number of instances is unknown.
        let slack = self.fleet_size.get().map_or(0.0, |size| self.retries.slack / size as f64);
        rows[at].budget.set_slack(slack);
        apply(&mut rows[at].budget, now)
    }
}

/// Logs a response that starts after the target latency of the route.
fn log_late_response(job: &Job, progress: &Progress, attempt: &Attempt, success: &Success) {
    let waited = job.arrived.elapsed();
    if waited <= job.route.config.target_latency {
        return;
    }
    let cause = progress.retry_reason.map_or("none", Retry::as_str);
    log::info!(
        "answered late; id={} route={} server={} version={} waited_ms={} attempts={} rung={} \
         retry={cause} unread={} load={}",
        job.id,
        job.route.id,
        attempt.server.id,
        attempt.server.version,
        waited.as_millis(),
        progress.attempts,
        attempt.level.map_or(-1, |level| level as i64),
        attempt.uncached_tokens,
        attempt::format_load(success.head.load),
    );
}

/// Returns a body that consists of the given bytes.
pub fn full_body(bytes: bytes::Bytes) -> Body {
    http_body_util::Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

fn server_failed() -> Problem {
    Problem::new(Refusal::ServerFailed, "the server failed")
}

/// Returns the problem of a request that was not forwarded to its end because of a bug.
fn internal_error() -> Problem {
    Problem::new(Refusal::Internal, "the instance failed: report it").execution_unknown()
}

/// Returns the problem of a request whose key can't be confirmed because the configuration is too
/// old.
pub fn key_unconfirmed() -> Problem {
    let detail = "the key can't be confirmed while the store is out of reach: come back";
    Problem::new(Refusal::StoreUnavailable, detail).retry_after(RETRY_AFTER)
}

/// Returns the problem of a request that no server had run when the instance had to exit.
fn stopping() -> Problem {
    let detail = "the instance is stopping: send to another one";
    Problem::new(Refusal::Stopping, detail).retry_after(RETRY_AFTER)
}

/// Returns the problem of a request that no server had run when its deadline passed.
fn deadline_exceeded() -> Problem {
    let mut problem = Problem::new(Refusal::Deadline, "no server took the request in time")
        .retry_after(RETRY_AFTER);
    problem.status = StatusCode::SERVICE_UNAVAILABLE.as_u16();
    problem
}
