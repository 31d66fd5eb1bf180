//! Load of servers as this instance sees it: reports that come with answers, corrected by what it
//! has sent since, and parts of prompts that a server has probably cached.

use {
    crate::message::Part,
    hawthornmount_core::id::{ModelId, ServerId},
    std::{
        fmt::{self, Display, Formatter},
        hash::{DefaultHasher, Hash, Hasher},
        time::{Duration, Instant},
    },
};

/// Prefixes that are remembered for one server.
const MAX_PREFIXES: usize = 256;
/// Time after which a report says nothing any more.
const REPORT_MAX_AGE: Duration = Duration::from_secs(4);
/// Time for which a server that failed is avoided.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);
/// Longest time for which a server that failed several times in a row is avoided.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(8);

/// Time after which one request less waits at an engine than it reported: about that in which it reads
/// a prompt.
const DRAIN_INTERVAL: Duration = Duration::from_millis(100);

/// Time in which an engine reads a token, in milliseconds, before anything is learned; the users'
/// engines read some 60 in a millisecond.
const INITIAL_TOKEN_PREFILL_MS: f64 = 1.0 / 60.0;
/// Fewest unread tokens that say how fast an engine reads.
const MIN_SAMPLE_TOKENS: u32 = 1_000;
/// Time until an answer without a prompt begins.
const BASE_LATENCY: Duration = Duration::from_millis(15);
/// Weights of answers that began earlier and later than expected.
const DECREASE_WEIGHT: f64 = 0.2;
const INCREASE_WEIGHT: f64 = 0.04;

/// Requests at a server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at a time.
    pub slots: u32,
}

impl Display for Load {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}+{}/{}", self.running, self.waiting, self.slots)
    }
}

/// Hash of a model and the leading parts of a prompt.
pub type Prefix = u64;

#[derive(Clone, Copy, Debug)]
struct Cached {
    prefix: Prefix,
    used: Instant,
}

/// What is known of one server's load.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Requests of this instance that are at the server.
    pub in_flight: u32,
    /// Time in which the server reads the prompts that this instance sent and that have not begun to
    /// be answered, in milliseconds.
    pub prefill_backlog_ms: f64,
    /// Requests whose prompts these are.
    pub pending_prompts: u32,
    report: Option<Report>,
    failures: u32,
    avoided_until: Option<Instant>,
    cached: Vec<Cached>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    load: Load,
    /// Requests of this instance that were at the server then.
    own: u32,
    /// Those among them whose prompts were not read yet.
    pending_prompts: u32,
    at: Instant,
}

/// Time in which engines read a token, learned for each model.
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
    /// Returns the time in which an engine reads a token for a model, in milliseconds.
    pub fn token_prefill_ms(&self, model: Option<&ModelId>) -> f64 {
        let found = self.rows.binary_search_by(|row| row.model.as_ref().cmp(&model));
        found.map_or(INITIAL_TOKEN_PREFILL_MS, |at| self.rows[at].token_prefill_ms)
    }

    /// Learns from an answer that began after `time` for `unread` tokens. Waits only make answers
    /// later, so earlier ones weigh more.
    pub fn record(&mut self, model: Option<&ModelId>, uncached_tokens: u32, time: Duration) {
        if uncached_tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let seen =
            time.saturating_sub(BASE_LATENCY).as_secs_f64() * 1_000.0 / f64::from(uncached_tokens);
        match self.rows.binary_search_by(|row| row.model.as_ref().cmp(&model)) {
            Ok(at) => {
                let known = &mut self.rows[at].token_prefill_ms;
                let weight = if seen < *known { DECREASE_WEIGHT } else { INCREASE_WEIGHT };
                *known += (seen - *known) * weight;
            }
            Err(at) => {
                let token_prefill_ms = seen.min(INITIAL_TOKEN_PREFILL_MS);
                self.rows.insert(at, PrefillTime { model: model.cloned(), token_prefill_ms });
            }
        }
    }
}

/// Tallies of servers in order of their names.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    rows: Vec<Row>,
}

#[derive(Clone, Debug)]
struct Row {
    id: ServerId,
    stats: Stats,
}

impl Tracker {
    /// Returns the tally of a server.
    pub fn stats(&mut self, id: &ServerId) -> &mut Stats {
        let at = match self.rows.binary_search_by(|row| row.id.cmp(id)) {
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(at, Row { id: id.clone(), stats: Stats::default() });
                at
            }
        };
        &mut self.rows[at].stats
    }

    /// Forgets servers for which `is_known` is false and that hold no request.
    pub fn retain(&mut self, is_known: impl Fn(&ServerId) -> bool) {
        self.rows.retain(|row| row.stats.in_flight > 0 || is_known(&row.id));
    }
}

impl Stats {
    /// Takes a report that came with an answer.
    pub fn record_report(&mut self, load: Load, now: Instant) {
        self.report = Some(Report {
            load,
            own: self.in_flight,
            pending_prompts: self.pending_prompts,
            at: now,
        });
    }

    /// Returns the requests at the server: the others' by the last report, and this instance's own.
    /// An engine has requests wait for their prompts to be read long before its places are taken.
    /// Those of this instance are left out of `waiting`, since [`Stats::prefill_backlog_ms`] tells more.
    pub fn load(&self, slots: u32, now: Instant) -> Load {
        let fresh = self.report.filter(|report| now < report.at + REPORT_MAX_AGE);
        let Some(report) = fresh else {
            return Load { running: self.in_flight, waiting: 0, slots };
        };
        let reported = report.load.running + report.load.waiting;
        let all = reported.saturating_sub(report.own) + self.in_flight;
        let slots = report.load.slots.max(1);
        let drained = (now.saturating_duration_since(report.at).as_millis()
            / DRAIN_INTERVAL.as_millis()) as u32;
        let unread =
            report.load.waiting.saturating_sub(report.pending_prompts).saturating_sub(drained);
        Load { running: all.min(slots), waiting: all.saturating_sub(slots).max(unread), slots }
    }

    /// Takes note of an answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.avoided_until = None;
    }

    /// Takes note of a failure of the server itself; it is avoided for a while.
    pub fn record_failure(&mut self, now: Instant) {
        let doublings = self.failures.min(3);
        self.failures += 1;
        let time = (FAILURE_BACKOFF * 2_u32.pow(doublings)).min(MAX_FAILURE_BACKOFF);
        self.avoided_until = Some(now + time);
    }

    /// Tells whether the server is avoided for now.
    pub fn is_avoided(&self, now: Instant) -> bool {
        self.avoided_until.is_some_and(|until| now < until)
    }

    /// Returns how many leading tokens of a prompt the server has probably cached.
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

    /// Takes note that the server reads a prompt.
    pub fn record_prompt(&mut self, model: Option<&ModelId>, prompt: &[Part], now: Instant) {
        for prefix in prefixes(model, prompt) {
            match self.position(prefix) {
                Ok(at) => self.cached[at].used = now,
                Err(at) => self.cached.insert(at, Cached { prefix, used: now }),
            }
        }
        if self.cached.len() > MAX_PREFIXES {
            let mut times: Vec<Instant> = self.cached.iter().map(|cached| cached.used).collect();
            times.sort_unstable();
            let oldest = times[times.len() - MAX_PREFIXES * 3 / 4];
            self.cached.retain(|cached| cached.used >= oldest);
        }
    }

    fn position(&self, prefix: Prefix) -> Result<usize, usize> {
        self.cached.binary_search_by(|cached| cached.prefix.cmp(&prefix))
    }
}

/// Returns the hashes of the leading parts of a prompt, one a part.
pub fn prefixes(model: Option<&ModelId>, prompt: &[Part]) -> impl Iterator<Item = Prefix> {
    let mut hasher = DefaultHasher::new();
    model.hash(&mut hasher);
    prompt.iter().map(move |part| {
        part.id.hash(&mut hasher);
        hasher.finish()
    })
}
