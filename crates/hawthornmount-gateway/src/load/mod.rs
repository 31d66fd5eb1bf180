//! Load of servers as this instance estimates it: the reports that servers attach to their
//! responses, corrected by the requests that the instance has sent since, and the prompt prefixes
//! that a server has probably cached.

pub mod exchange;

use {
    crate::{
        limit::room::{self, Seen},
        message::Part,
        registry::Server,
    },
    hawthornmount_core::id::{ModelId, ServerId},
    hawthornmount_policy::speed::{Measure, Measurement, Slowness, Usual},
    std::{
        fmt::{self, Display, Formatter},
        hash::{DefaultHasher, Hash, Hasher},
        time::{Duration, Instant},
    },
};

/// Servers that are remembered as leaving.
const MAX_LEAVING: usize = 1_024;
/// Cached prefixes that are tracked for one server.
const MAX_CACHED_PREFIXES: usize = 256;
/// Age from which a report is no longer used.
const REPORT_MAX_AGE: Duration = Duration::from_secs(4);
/// Age from which a report is not used to divide the slots of a brittle server.
const DIVISION_MAX_AGE: Duration = Duration::from_secs(1);
/// Time for which a server is avoided after its first failure.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);
/// Longest time for which a server is avoided after several consecutive failures.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(8);

/// Time in which the reported queue of an engine shrinks by one request: about the prefill time of
/// one prompt.
const DRAIN_INTERVAL: Duration = Duration::from_millis(100);

/// Prefill time per token that is assumed before the first sample, in milliseconds: engines process
/// about 60 prompt tokens per millisecond.
const INITIAL_TOKEN_PREFILL_MS: f64 = 1.0 / 60.0;
/// Fewest uncached tokens with which a response is used as a sample of the prefill time.
const MIN_SAMPLE_TOKENS: u32 = 1_000;
/// Time until the response to a request without a prompt starts.
const BASE_LATENCY: Duration = Duration::from_millis(15);
/// Age from which the work that another instance stated is not counted any more.
const PEER_WORK_MAX_AGE: Duration = Duration::from_millis(600);
/// Age from which another instance's measurement of a server is forgotten.
const PEER_MAX_AGE: Duration = Duration::from_secs(5);
/// Error responses in a row from which a server is avoided; single ones are usual.
const ERRORS_IN_A_ROW: u32 = 2;
/// Age from which the failures that another instance has seen are not counted any more.
const PEER_FAILURE_MAX_AGE: Duration = Duration::from_secs(3);
/// Failures in a row at other instances, together, from which a server is avoided. A server that fails
/// at once reports little load, and would otherwise attract the requests of all of them.
const PEER_FAILURES: u32 = 4;
/// Failures of one instance that count among them, since its own link may be at fault.
const MAX_FAILURES_OF_PEER: u32 = 2;
/// Other instances whose loads are kept for a server.
const MAX_PEERS: usize = 64;

/// Weight of a sample below the current prefill time.
const DECREASE_WEIGHT: f64 = 0.2;
/// Weight of a sample above the current prefill time.
const INCREASE_WEIGHT: f64 = 0.04;

/// Number of requests at a server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Requests that can run concurrently.
    pub slots: u32,
    /// How long work takes on the machine at this moment, in percent of the usual time, if the server
    /// states it.
    pub slowdown_percent: Option<u16>,
}

impl Display for Load {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}+{}/{}", self.running, self.waiting, self.slots)
    }
}

/// Hash of a model and one or more leading parts of a prompt.
pub type Prefix = u64;

#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    prefix: Prefix,
    last_used: Instant,
}

/// Load statistics of one server.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Requests of this instance that are in flight at the server.
    pub in_flight: u32,
    /// Those of them that a trial of a new version could use.
    pub trial_in_flight: u32,
    /// Prefill time of the prompts that this instance sent and whose responses have not started, in
    /// milliseconds.
    pub prefill_backlog_ms: f64,
    /// Number of requests whose prompts are counted in [`Stats::prefill_backlog_ms`].
    pub pending_prompts: u32,
    report: Option<Report>,
    failures: u32,
    /// Error responses in a row.
    errors: u32,
    avoided_until: Option<Instant>,
    /// Time until which the server wants no requests of this instance.
    closed_until: Option<Instant>,
    cached: Vec<CachedPrefix>,
    /// Unix time in milliseconds of the start of the server that the statistics belong to.
    start_ms: u64,
    /// How long work takes there.
    pub slowness: Slowness,
    /// What other instances of the data centre have at the server.
    peers: Vec<PeerLoad>,
    /// Whether the last datagram to other instances stated work at the server.
    was_busy: bool,
}

/// What another instance has at a server.
#[derive(Clone, Copy, Debug)]
pub struct PeerLoad {
    /// Hash of its name.
    pub peer: u64,
    /// When it was received.
    pub at: Instant,
    /// Requests whose prompts have not started.
    pub pending_prompts: u32,
    /// Prefill time of these prompts, in milliseconds.
    pub backlog_ms: f64,
    /// Lasting slowness that it has measured, if it has; 1 is usual.
    pub slowness: Option<Measurement>,
    /// Failures in a row that it has seen.
    pub failures: u32,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    load: Load,
    /// Requests of this instance that were in flight at the server when the report arrived.
    own_in_flight: u32,
    /// Requests of this instance whose responses had not started when the report arrived.
    pending_prompts: u32,
    /// Requests of other instances of the data centre whose responses had not started then.
    peers_pending: u32,
    /// Whether the report came with a response to this instance.
    is_own: bool,
    /// Uniform draw from 0 to 1.
    draw: f64,
    at: Instant,
}

/// Prefill times per token, estimated for each model from its responses.
#[derive(Clone, Debug, Default)]
pub struct PrefillTimes {
    rows: Vec<PrefillTime>,
}

#[derive(Clone, Debug)]
struct PrefillTime {
    model: Option<ModelId>,
    token_prefill_ms: f64,
}

impl PrefillTimes {
    /// Returns the prefill time per token of a model, in milliseconds.
    pub fn token_prefill_ms(&self, model: Option<&ModelId>) -> f64 {
        let found = self.rows.binary_search_by(|row| row.model.as_ref().cmp(&model));
        found.map_or(INITIAL_TOKEN_PREFILL_MS, |at| self.rows[at].token_prefill_ms)
    }

    /// Updates the estimate with a response that started after `time` for a prompt with
    /// `uncached_tokens`. Queueing only delays responses, so lower samples have more weight.
    pub fn record(&mut self, model: Option<&ModelId>, uncached_tokens: u32, time: Duration) {
        if uncached_tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample =
            time.saturating_sub(BASE_LATENCY).as_secs_f64() * 1_000.0 / f64::from(uncached_tokens);
        match self.rows.binary_search_by(|row| row.model.as_ref().cmp(&model)) {
            Ok(at) => {
                let estimate = &mut self.rows[at].token_prefill_ms;
                let weight = if sample < *estimate { DECREASE_WEIGHT } else { INCREASE_WEIGHT };
                *estimate += (sample - *estimate) * weight;
            }
            Err(at) => {
                let token_prefill_ms = sample.min(INITIAL_TOKEN_PREFILL_MS);
                self.rows.insert(at, PrefillTime { model: model.cloned(), token_prefill_ms });
            }
        }
    }
}

/// Usual value of a measure for a model.
#[derive(Clone, Debug)]
struct UsualMeasure {
    measure: Measure,
    model: Option<ModelId>,
    usual: Usual,
}

/// Load statistics of all servers, sorted by server id.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    rows: Vec<ServerStats>,
    /// Servers that stated that they are leaving, with their start times, in order of their ids.
    leaving: Vec<(ServerId, u64)>,
    /// When the loads were last told to other instances.
    digested_at: Option<Instant>,
    /// Usual values, sorted by measure and model.
    usual: Vec<UsualMeasure>,
}

#[derive(Clone, Debug)]
struct ServerStats {
    id: ServerId,
    stats: Stats,
}

impl Tracker {
    /// Returns the statistics of a server, which are empty if the server was not known.
    pub fn stats(&mut self, id: &ServerId) -> &mut Stats {
        let at = match self.rows.binary_search_by(|row| row.id.cmp(id)) {
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(at, ServerStats { id: id.clone(), stats: Stats::default() });
                at
            }
        };
        &mut self.rows[at].stats
    }

    /// Returns the statistics of a start of a server; what was learned of an earlier start is forgotten.
    pub fn stats_of_start(&mut self, id: &ServerId, start_ms: u64) -> &mut Stats {
        let stats = self.stats(id);
        if stats.start_ms != start_ms {
            stats.start_ms = start_ms;
            stats.report = None;
            stats.slowness = Slowness::default();
            stats.peers.clear();
        }
        stats
    }

    /// Records a measurement of a server, from which its slowness follows.
    pub fn record_measure(
        &mut self,
        server: &Server,
        measure: Measure,
        model: Option<&ModelId>,
        value: f64,
        now: Instant,
    ) {
        let key = (measure, model);
        let found =
            self.usual.binary_search_by(|known| (known.measure, known.model.as_ref()).cmp(&key));
        let at = found.unwrap_or_else(|at| {
            let usual = Usual::default();
            self.usual.insert(at, UsualMeasure { measure, model: model.cloned(), usual });
            at
        });
        if let Some(ratio) = self.usual[at].usual.record(value) {
            self.stats_of_start(&server.id, server.start_ms)
                .slowness
                .record_ratio(ratio, measure, now);
        }
    }

    /// Records that the server that started at `start_ms` stated that it is leaving, and returns
    /// whether that is new. The statement outlives the server's statistics: the store may show it as
    /// ready again when it is restored from a copy.
    pub fn record_leaving(&mut self, id: &ServerId, start_ms: u64) -> bool {
        if self.is_leaving(id, start_ms) {
            return false;
        }
        match self.leaving_position(id) {
            Ok(at) => self.leaving[at].1 = start_ms,
            Err(at) => self.leaving.insert(at, (id.clone(), start_ms)),
        }
        if self.leaving.len() > MAX_LEAVING {
            // The server that started first is the most likely to be gone.
            let starts = self.leaving.iter().map(|(_, start)| *start).enumerate();
            if let Some((oldest, _)) = starts.min_by_key(|(_, start)| *start) {
                self.leaving.remove(oldest);
            }
        }
        true
    }

    /// Returns whether the server that started at `start_ms` is leaving. A later start under the
    /// same name is another server.
    pub fn is_leaving(&self, id: &ServerId, start_ms: u64) -> bool {
        self.leaving_position(id).is_ok_and(|at| self.leaving[at].1 == start_ms)
    }

    fn leaving_position(&self, id: &ServerId) -> Result<usize, usize> {
        self.leaving.binary_search_by(|(known, _)| known.cmp(id))
    }

    /// Ends the avoidance of the servers for which `is_forgiven` is true.
    pub fn forgive(&mut self, is_forgiven: impl Fn(&ServerId) -> bool) {
        let forgiven = self.rows.iter_mut().filter(|row| is_forgiven(&row.id));
        forgiven.for_each(|row| row.stats.record_success());
    }

    /// Removes servers for which `is_known` is false and that have no requests in flight.
    pub fn retain(&mut self, is_known: impl Fn(&ServerId) -> bool) {
        self.rows.retain(|row| row.stats.in_flight > 0 || is_known(&row.id));
    }
}

impl Stats {
    /// Records a load report that arrived with a response.
    pub fn record_report(&mut self, load: Load, now: Instant) {
        self.set_report(load, now, true);
    }

    /// Records a load report that another instance received at `at`, if it is the latest.
    pub fn record_shared_report(&mut self, load: Load, at: Instant) {
        if self.report.is_none_or(|known| known.at < at) {
            self.set_report(load, at, false);
        }
    }

    fn set_report(&mut self, load: Load, at: Instant, is_own: bool) {
        if let Some(percent) = load.slowdown_percent {
            self.slowness.record_statement(f64::from(percent) / 100.0, at);
        }
        self.report = Some(Report {
            load,
            own_in_flight: self.in_flight,
            pending_prompts: self.pending_prompts,
            peers_pending: self.peers_pending(at),
            is_own,
            draw: rand::random(),
            at,
        });
    }

    /// Replaces what another instance has at the server.
    fn set_peer(&mut self, load: PeerLoad) {
        match self.peers.iter().position(|known| known.peer == load.peer) {
            Some(at) => self.peers[at] = load,
            None => {
                let since = load.at;
                let is_fresh =
                    |known: &PeerLoad| since.saturating_duration_since(known.at) < PEER_MAX_AGE;
                self.peers.retain(is_fresh);
                if self.peers.len() < MAX_PEERS {
                    self.peers.push(load);
                }
            }
        }
    }

    /// Returns the other instances whose work at the server is known.
    fn working_peers(&self, now: Instant) -> impl Iterator<Item = &PeerLoad> {
        self.peers
            .iter()
            .filter(move |peer| now.saturating_duration_since(peer.at) < PEER_WORK_MAX_AGE)
    }

    /// Returns the prefill time of the prompts that other instances of the data centre sent and whose
    /// responses have not started, in milliseconds.
    pub fn peers_backlog_ms(&self, now: Instant) -> f64 {
        self.working_peers(now).map(|peer| peer.backlog_ms).sum()
    }

    fn peers_pending(&self, now: Instant) -> u32 {
        self.working_peers(now).map(|peer| peer.pending_prompts).sum()
    }

    /// Returns whether other instances of the data centre have seen the server fail.
    pub fn fails_at_peers(&self, now: Instant) -> bool {
        let recent = self
            .peers
            .iter()
            .filter(|peer| now.saturating_duration_since(peer.at) < PEER_FAILURE_MAX_AGE);
        recent.map(|peer| peer.failures.min(MAX_FAILURES_OF_PEER)).sum::<u32>() >= PEER_FAILURES
    }

    /// Returns how many times as long as usual work at the server is expected to take: by own
    /// measurements, those of other instances, and what the server states.
    pub fn expected_slowness(&self, now: Instant) -> f64 {
        let is_fresh = |peer: &&PeerLoad| now.saturating_duration_since(peer.at) < PEER_MAX_AGE;
        let others = self.peers.iter().filter(is_fresh).filter_map(|peer| peer.slowness);
        self.slowness.expected(others, now)
    }

    /// Returns the estimated load of the server: the requests of other instances according to the
    /// last report, and the requests of this instance.
    ///
    /// Requests queue at an engine for the prefill of their prompts long before its slots are all
    /// in use. Those of this instance are not counted as waiting, since
    /// [`Stats::prefill_backlog_ms`] covers them more precisely.
    pub fn load(&self, slots: u32, now: Instant) -> Load {
        let fresh = self.report.filter(|report| now < report.at + REPORT_MAX_AGE);
        let Some(report) = fresh else {
            return Load { running: self.in_flight, waiting: 0, slots, slowdown_percent: None };
        };
        let reported = report.load.running + report.load.waiting;
        let all = reported.saturating_sub(report.own_in_flight) + self.in_flight;
        let slots = report.load.slots.max(1);
        let drained = (now.saturating_duration_since(report.at).as_millis()
            / DRAIN_INTERVAL.as_millis()) as u32;
        let known = report.pending_prompts + report.peers_pending;
        let queued_prompts = report.load.waiting.saturating_sub(known).saturating_sub(drained);
        Load {
            running: all.min(slots),
            waiting: all.saturating_sub(slots).max(queued_prompts),
            slots,
            slowdown_percent: report.load.slowdown_percent,
        }
    }

    /// Returns the load as brittle servers are divided by it.
    pub fn seen(&self, now: Instant) -> Seen {
        let fresh = self.report.filter(|report| now < report.at + DIVISION_MAX_AGE);
        let report = fresh.map(|report| room::Report {
            requests: report.load.running + report.load.waiting,
            waiting: report.load.waiting,
            in_flight: report.own_in_flight,
            draw: report.draw,
        });
        Seen { in_flight: self.in_flight, report }
    }

    /// Records a successful response, which ends the avoidance of the server.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.errors = 0;
        self.avoided_until = None;
    }

    /// Records a failure of the server, which is then avoided; each consecutive failure doubles the
    /// time, up to a limit.
    pub fn record_failure(&mut self, now: Instant) {
        let doublings = self.failures.min(3);
        self.failures += 1;
        let time = (FAILURE_BACKOFF * 2_u32.pow(doublings)).min(MAX_FAILURE_BACKOFF);
        self.avoided_until = Some(now + time);
    }

    /// Records that the server ran a request and responded with an error. From the second one in a row,
    /// it is avoided: a server that fails all requests responds at once and seems idle.
    pub fn record_error(&mut self, now: Instant) {
        self.errors += 1;
        if self.errors >= ERRORS_IN_A_ROW {
            self.record_failure(now);
        }
    }

    /// Records that the server turned a request away and wants no others for `time`.
    pub fn close(&mut self, time: Duration, now: Instant) {
        self.closed_until = self.closed_until.max(Some(now + time));
    }

    /// Returns the time for which the server wants no requests of this instance from `now` on.
    pub fn closed_for(&self, now: Instant) -> Duration {
        self.closed_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Returns whether the server is avoided at `now` because of a failure.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Returns the number of leading tokens of a prompt that the server has probably cached.
    pub fn cached_tokens(&self, model: Option<&ModelId>, prompt: &[Part]) -> u32 {
        let mut tokens = 0;
        for (prefix, part) in prefixes(model, prompt).zip(prompt) {
            if self.position(prefix).is_err() {
                break;
            }
            tokens += part.tokens;
        }
        tokens
    }

    /// Records that a prompt was sent to the server, which then caches its prefixes.
    pub fn record_prompt(&mut self, model: Option<&ModelId>, prompt: &[Part], now: Instant) {
        for prefix in prefixes(model, prompt) {
            match self.position(prefix) {
                Ok(at) => self.cached[at].last_used = now,
                Err(at) => self.cached.insert(at, CachedPrefix { prefix, last_used: now }),
            }
        }
        if self.cached.len() > MAX_CACHED_PREFIXES {
            // Keeps the most recently used prefixes, three quarters of the limit.
            let mut times: Vec<Instant> =
                self.cached.iter().map(|cached| cached.last_used).collect();
            times.sort_unstable();
            let cutoff = times[times.len() - MAX_CACHED_PREFIXES * 3 / 4];
            self.cached.retain(|cached| cached.last_used >= cutoff);
        }
    }

    fn position(&self, prefix: Prefix) -> Result<usize, usize> {
        self.cached.binary_search_by(|cached| cached.prefix.cmp(&prefix))
    }
}

/// Returns the hashes of the prefixes of a prompt: one for each part, over the parts up to it.
pub fn prefixes(model: Option<&ModelId>, prompt: &[Part]) -> impl Iterator<Item = Prefix> {
    let mut hasher = DefaultHasher::new();
    model.hash(&mut hasher);
    prompt.iter().map(move |part| {
        part.id.hash(&mut hasher);
        hasher.finish()
    })
}
