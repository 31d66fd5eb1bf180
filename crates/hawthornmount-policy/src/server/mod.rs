//! Choice of a server: near servers first, by their estimated load, avoiding servers that are slow
//! or fail.

mod index;
mod tracker;

pub use {
    index::{Distance, Group, Index, Workload},
    tracker::Tracker,
};

use {
    crate::{
        residency::Regions,
        router::{Choice, Class, Outcome, Query},
    },
    hawthornmount_core::{
        id::ServerId,
        snapshot::{Backend, Liveness, Member, Release, Snapshot},
        units::TOKENS_PER_PRICE,
    },
    rand::{Rng, RngExt},
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        time::{Duration, Instant},
    },
};

/// Maximum number of randomly sampled servers that are compared at each distance.
const SAMPLED_SERVERS: usize = 4;
/// Time constant with which the reported load of the other instances decays to the mean, as a
/// multiple of the mean answer time: after that time their requests have ended and others have
/// started.
const REPORT_TIME_CONSTANT_ANSWER_TIMES: f64 = 2.0;
/// Age that is assumed for a load that was never reported, as a multiple of the mean answer time.
const UNREPORTED_AGE_ANSWER_TIMES: f64 = 100.0;
/// Slowness up to which a server is treated as normal. A full batch explains this much, and the
/// load already accounts for the batch.
const MAX_NORMAL_SLOWNESS: f64 = 1.5;
/// Largest ratio of a server's utilisation to the mean at which it keeps the requests of its
/// prefixes.
const MAX_AFFINITY_LOAD_RATIO: f64 = 1.25;
/// Utilisation up to which a server always keeps the requests of its prefixes.
const UNCONDITIONAL_AFFINITY_UTILISATION: f64 = 0.5;
/// Smallest prompt for which a cached prefix outweighs a longer queue, in tokens.
const MIN_AFFINITY_PROMPT_TOKENS: u64 = 64;
/// Penalty on the score of a server in another data centre of the region.
const SAME_REGION_PENALTY: f64 = 0.25;
/// Smallest penalty on the score of a server in another region.
const MIN_REMOTE_PENALTY: f64 = 0.5;
/// Assumed round-trip time to another region.
const REMOTE_ROUND_TRIP: Duration = Duration::from_millis(12);
/// Assumed bytes of a token on the wire.
const BYTES_PER_TOKEN: f64 = 5.0;
/// Number of bytes that the transfer price of a data centre is for.
const BYTES_PER_TRANSFER_PRICE: f64 = 1_000_000.0;
/// Largest penalty for the price of a transfer to another region.
const MAX_TRANSFER_PENALTY: f64 = 4.0;
/// Weight of the newest request in the moving averages of the times of requests.
const MEAN_TIME_GAIN: f64 = 0.05;
/// Largest ratio of a value to the moving average that it updates; larger values are clipped.
const MAX_RATIO_TO_MEAN: f64 = 2.0;
/// Time of an answer that is assumed until one was measured.
const DEFAULT_ANSWER_SECONDS: f64 = 0.1;
/// Ratio of running requests to available slots. It is above 1 so that a freed slot is used at
/// once.
const SLOT_HEADROOM: f64 = 1.15;
/// Time to the first token, expressed as a number of further tokens.
const FIRST_TOKEN_EQUIVALENT_TOKENS: f64 = 16.0;

/// A server and the state that the choice depends on.
#[derive(Clone, Debug)]
struct Server {
    id: ServerId,
    /// Hash of the id.
    hash: u64,
    slots: u32,
    /// Requests of the other instances at the time of the report, decayed towards the mean.
    other_load: f64,
    /// Requests of this instance at the time of the report.
    own_at_report: u32,
    /// Weight of the report against the mean, from 1 when it is new to 0.
    report_weight: f64,
    tracker: Tracker,
}

/// Moving averages of the times of a version's requests; 0 until the first one is measured.
#[derive(Clone, Debug)]
struct Timing {
    release: Release,
    seconds_per_token: f64,
    first_event_seconds: f64,
}

/// Servers, with what was measured about them and about the versions.
#[derive(Debug, Default)]
pub struct Pool {
    /// In the order of the snapshot, sorted by id.
    servers: Vec<Server>,
    index: Option<Index>,
    /// Sorted by release.
    timings: Vec<Timing>,
    /// Moving average of the time of an answer over all versions; 0 until the first one.
    mean_answer_seconds: f64,
    /// Number of live instances besides this one.
    peers: f64,
}

impl Pool {
    /// Adopts the servers of a snapshot, unless it is the one that was adopted last.
    pub fn refresh(&mut self, snapshot: &Snapshot, query: &Query) {
        if self.index.as_ref().is_some_and(|index| index.matches(snapshot, &query.data_centre)) {
            return;
        }
        let index = self.index.as_mut();
        if index.is_some_and(|index| index.update_load(snapshot, &query.data_centre)) {
            for (server, backend) in self.servers.iter_mut().zip(snapshot.backends.iter()) {
                server.update(backend, query.now);
            }
        } else {
            self.replace_servers(snapshot, query.now);
            self.index = Some(Index::new(snapshot, &query.data_centre, &query.region));
        }
        let is_alive = |one: &&Member| one.liveness == Liveness::Alive;
        let alive = snapshot.members.iter().filter(is_alive).count();
        self.peers = alive.saturating_sub(1) as f64;
        self.decay_reports(snapshot, query);
    }

    /// Replaces the servers, keeping the state of those that remain.
    fn replace_servers(&mut self, snapshot: &Snapshot, now: Instant) {
        let mut old = std::mem::take(&mut self.servers).into_iter().peekable();
        for backend in snapshot.backends.iter() {
            while old.peek().is_some_and(|server| server.id < backend.id) {
                old.next();
            }
            let known = old.next_if(|server| server.id == backend.id);
            let mut server = known.unwrap_or_else(|| Server::new(backend));
            server.update(backend, now);
            self.servers.push(server);
        }
    }

    /// Decays the load of the other instances towards the mean by the age of the reports, so that a
    /// server that was idle at an old report does not attract the requests of all instances.
    fn decay_reports(&mut self, snapshot: &Snapshot, query: &Query) {
        let slots: f64 = self.servers.iter().map(|server| f64::from(server.slots)).sum();
        let mean =
            self.servers.iter().map(|server| server.other_load).sum::<f64>() / slots.max(1.0);
        let answer_seconds = if self.mean_answer_seconds > 0.0 {
            self.mean_answer_seconds
        } else {
            DEFAULT_ANSWER_SECONDS
        };
        for (server, backend) in self.servers.iter_mut().zip(snapshot.backends.iter()) {
            let age = backend.reported.map(|at| query.now.saturating_duration_since(at));
            let age =
                age.map_or(UNREPORTED_AGE_ANSWER_TIMES, |age| age.as_secs_f64() / answer_seconds);
            let weight = (-age / REPORT_TIME_CONSTANT_ANSWER_TIMES).exp();
            let mean = mean * f64::from(server.slots);
            server.other_load = mean + (server.other_load - mean) * weight;
            server.report_weight = weight;
        }
    }

    /// Returns the best server for `workload` and counts the request as running there.
    pub fn choose(
        &mut self,
        snapshot: &Snapshot,
        query: &Query,
        workload: &Workload,
        tried: &[ServerId],
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        self.refresh(snapshot, query);
        let index = self.index.take()?;
        let chosen = index
            .group(workload)
            .and_then(|group| self.pick(snapshot, query, workload, group, tried, rng));
        self.index = Some(index);
        let at = chosen?;
        self.servers[at].tracker.start();
        let backend = &snapshot.backends[at];
        Some(Choice {
            server: backend.id.clone(),
            address: backend.address,
            data_centre: backend.data_centre.clone(),
            max_tokens: query.max_tokens,
        })
    }

    /// Returns the position of the best server: the affinity server if it is available, otherwise
    /// the one with the lowest score. Farther servers are considered only while their penalty alone
    /// is below the best score so far.
    fn pick(
        &self,
        snapshot: &Snapshot,
        query: &Query,
        workload: &Workload,
        group: &Group,
        tried: &[ServerId],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let account = snapshot.config.accounts.get(&query.account);
        let regions = Regions::common(account.map(|account| &*account.allowed_regions));
        let is_candidate = |at: &usize| {
            !tried.contains(&self.servers[*at].id)
                && regions.allows(Some(&snapshot.backends[*at].region))
        };
        let is_available =
            |at: &usize| is_candidate(at) && self.servers[*at].tracker.can_accept(query.now);
        if let Some(at) = self.affinity_server(query, group)
            && is_available(&at)
        {
            return Some(at);
        }
        let mut best: Option<(usize, f64)> = None;
        for distance in [Distance::Local, Distance::Region, Distance::Remote] {
            let penalty = self.penalty(snapshot, query, workload, distance);
            if best.is_some_and(|(_, score)| score <= penalty) {
                break;
            }
            let near = group.at_distance(distance);
            for at in self.sample(near, rng, &is_available) {
                let score = self.score(at, query) + penalty;
                if best.is_none_or(|(_, lowest)| score < lowest) {
                    best = Some((at, score));
                }
            }
        }
        best.map(|(at, _)| at).or_else(|| self.last_resort(query, group, is_candidate))
    }

    /// Returns a random sample of the available servers of `near`, or all of them if the sample
    /// found none.
    fn sample(
        &self,
        near: &[usize],
        rng: &mut impl Rng,
        is_available: &impl Fn(&usize) -> bool,
    ) -> Vec<usize> {
        let mut sample = Vec::with_capacity(SAMPLED_SERVERS);
        for _ in 0..SAMPLED_SERVERS * 2 {
            if near.is_empty() || sample.len() == SAMPLED_SERVERS {
                break;
            }
            let at = near[rng.random_range(0..near.len())];
            if is_available(&at) && !sample.contains(&at) {
                sample.push(at);
            }
        }
        if sample.is_empty() { near.iter().copied().filter(is_available).collect() } else { sample }
    }

    /// Returns the server to use if none is available: the one with the lowest score, preferably
    /// not an ejected one.
    fn last_resort(
        &self,
        query: &Query,
        group: &Group,
        is_candidate: impl Fn(&usize) -> bool,
    ) -> Option<usize> {
        let candidates = group.all().filter(is_candidate);
        candidates.min_by(|a, b| {
            let rank = |at: usize| {
                let is_ejected = self.servers[at].tracker.is_ejected(query.now);
                (is_ejected, self.score(at, query))
            };
            let (a, b) = (rank(*a), rank(*b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
    }

    /// Returns the server in this data centre that the prompt's prefix is assigned to by rendezvous
    /// hashing, unless its utilisation is far above the mean.
    fn affinity_server(&self, query: &Query, group: &Group) -> Option<usize> {
        let near = group.at_distance(Distance::Local);
        if query.prompt_tokens < MIN_AFFINITY_PROMPT_TOKENS || near.is_empty() {
            return None;
        }
        let mean = near.iter().map(|at| self.utilisation(*at)).sum::<f64>() / near.len() as f64;
        let weight = |at: &usize| mix(self.servers[*at].hash ^ query.prefix_hash);
        let preferred = near.iter().copied().max_by_key(weight)?;
        let bound = (mean * MAX_AFFINITY_LOAD_RATIO).max(UNCONDITIONAL_AFFINITY_UTILISATION);
        (self.utilisation(preferred) <= bound).then_some(preferred)
    }

    /// Returns the expected requests per slot of a server with one more request, multiplied by its
    /// slowness. The load of the other instances is rounded to whole requests, so that instances do
    /// not react to differences smaller than one request.
    fn score(&self, at: usize, query: &Query) -> f64 {
        let server = &self.servers[at];
        let load = server.load(self.peers) + 1.0;
        let slowness = server.tracker.slowness(query.now);
        let slowness = if slowness <= MAX_NORMAL_SLOWNESS { 1.0 } else { slowness };
        slowness * load / f64::from(server.slots.max(1))
    }

    /// Returns the estimated number of requests per slot of a server.
    fn utilisation(&self, at: usize) -> f64 {
        let server = &self.servers[at];
        server.load(self.peers) / f64::from(server.slots.max(1))
    }

    /// Returns what a distance adds to the score of a server. For another region, this grows with
    /// the ratio of the round trip to the expected time of the answer, and with the ratio of the
    /// transfer price to the price of the request.
    fn penalty(
        &self,
        snapshot: &Snapshot,
        query: &Query,
        workload: &Workload,
        distance: Distance,
    ) -> f64 {
        match distance {
            Distance::Local => return 0.0,
            Distance::Region => return SAME_REGION_PENALTY,
            Distance::Remote => {}
        }
        let Workload::Release(release) = workload else { return MIN_REMOTE_PENALTY };
        let seconds = self.expected_seconds(release, query.max_tokens);
        let delay = REMOTE_ROUND_TRIP.as_secs_f64() / seconds.max(f64::EPSILON);
        let config = &snapshot.config;
        let tokens = (query.prompt_tokens + query.max_tokens) as f64;
        let transfer =
            config.data_centres.get(&query.data_centre).map_or(0, |one| one.transfer_price);
        let transfer = transfer as f64 * tokens * BYTES_PER_TOKEN / BYTES_PER_TRANSFER_PRICE;
        let price = config.models.get(&release.model).map_or(0, |one| one.price);
        let price = (price as f64 * tokens / TOKENS_PER_PRICE as f64).max(1.0);
        MIN_REMOTE_PENALTY + delay.min(1.0) + (transfer / price).min(MAX_TRANSFER_PENALTY)
    }

    /// Records the outcome of a request.
    pub fn record_outcome(
        &mut self,
        choice: &Choice,
        release: Option<&Release>,
        outcome: Outcome,
        now: Instant,
        rng: &mut impl Rng,
    ) {
        let ratio = match (release, outcome) {
            (Some(release), Outcome::Superseded(took)) => {
                took.as_secs_f64()
                    / self.expected_seconds(release, choice.max_tokens).max(f64::MIN_POSITIVE)
            }
            (Some(release), Outcome::Answered(took)) => {
                self.record_answer_time(release, choice, took)
            }
            (Some(release), Outcome::Streamed(first)) => {
                self.record_first_event_time(release, first)
            }
            _ => 1.0,
        };
        let found = self.servers.binary_search_by(|server| server.id.cmp(&choice.server));
        let Ok(at) = found else { return };
        let server = &mut self.servers[at];
        server.tracker.end();
        match outcome {
            Outcome::Answered(_) | Outcome::Streamed(_) => {
                server.tracker.record_answer(ratio, server.slots, now);
            }
            Outcome::Superseded(_) => server.tracker.record_superseded(ratio, now),
            Outcome::Failed(_) => server.tracker.record_failure(rng.random(), now),
            Outcome::Full(retry_after) => server.tracker.record_full(retry_after, now),
            Outcome::Cancelled => {}
        }
    }

    /// Updates the means with the time of an answer, and returns its ratio to the version's mean.
    fn record_answer_time(&mut self, release: &Release, choice: &Choice, took: Duration) -> f64 {
        update_mean(&mut self.mean_answer_seconds, took.as_secs_f64());
        let per_token =
            took.as_secs_f64() / (choice.max_tokens as f64 + FIRST_TOKEN_EQUIVALENT_TOKENS);
        update_mean(&mut self.timing(release).seconds_per_token, per_token)
    }

    /// Updates the version's mean with the time to the first event of a stream, and returns the
    /// ratio of the time to the mean.
    fn record_first_event_time(&mut self, release: &Release, took: Duration) -> f64 {
        update_mean(&mut self.timing(release).first_event_seconds, took.as_secs_f64())
    }

    /// Returns the timing of a release, which is created if it is new.
    fn timing(&mut self, release: &Release) -> &mut Timing {
        let found = self.timings.binary_search_by(|timing| timing.release.cmp(release));
        let at = found.unwrap_or_else(|at| {
            self.timings.insert(
                at,
                Timing {
                    release: release.clone(),
                    seconds_per_token: 0.0,
                    first_event_seconds: 0.0,
                },
            );
            at
        });
        &mut self.timings[at]
    }

    /// Returns the seconds that an answer of `tokens` tokens is expected to take, a default if none
    /// was measured.
    pub fn expected_seconds(&self, release: &Release, tokens: u64) -> f64 {
        self.measured_seconds(release, tokens).unwrap_or(DEFAULT_ANSWER_SECONDS)
    }

    /// Returns the seconds that an answer of `tokens` tokens is expected to take, if one was
    /// measured.
    pub fn measured_seconds(&self, release: &Release, tokens: u64) -> Option<f64> {
        let at = self.timings.binary_search_by(|timing| timing.release.cmp(release)).ok()?;
        let per_token = self.timings[at].seconds_per_token;
        (per_token > 0.0).then_some(per_token * (tokens as f64 + FIRST_TOKEN_EQUIVALENT_TOKENS))
    }

    /// Returns the number of requests that this instance may have running: the slots that the other
    /// instances leave free on the servers that are up and not ejected, or its equal share among
    /// `instances` if that is more.
    pub fn concurrency_limit(&self, class: Class, instances: usize, now: Instant) -> f64 {
        let up = self.index.as_ref().map_or(&[][..], |index| index.available(class));
        let servers = up.iter().map(|at| &self.servers[*at]);
        let (mut slots, mut others) = (0.0, 0.0);
        for server in servers.filter(|server| !server.tracker.is_ejected(now)) {
            slots += f64::from(server.slots);
            others += server.other_load;
        }
        let left = (slots - others).max(slots / instances.max(1) as f64);
        (left * SLOT_HEADROOM).max(1.0)
    }
}

impl Server {
    fn new(backend: &Backend) -> Self {
        Self {
            id: backend.id.clone(),
            hash: hash(&backend.id),
            slots: backend.slots,
            other_load: 0.0,
            own_at_report: 0,
            report_weight: 0.0,
            tracker: Tracker::new(backend.slots),
        }
    }

    /// Updates the server from a report. The load of the other instances is the reported load less
    /// the requests that this instance had running at that time.
    fn update(&mut self, backend: &Backend, now: Instant) {
        self.slots = backend.slots;
        self.tracker.sample_in_flight(now);
        let own = backend.reported.map_or(0, |at| self.tracker.in_flight_at(at));
        self.other_load = f64::from(backend.load.saturating_sub(own));
        self.own_at_report = own;
    }

    /// Returns the estimated number of requests that run on the server. The `peers` other instances
    /// see the same reports, so each of them is assumed to have sent as many requests to the server
    /// since the report as this instance has.
    fn load(&self, peers: f64) -> f64 {
        let now = f64::from(self.tracker.in_flight());
        let others =
            self.other_load + self.report_weight * peers * (now - f64::from(self.own_at_report));
        others.round().max(0.0) + now
    }
}

/// Updates the moving average `mean` with `value`, and returns the ratio of the value to the old
/// mean. Values far above the mean are clipped, so that a single one changes it little.
fn update_mean(mean: &mut f64, value: f64) -> f64 {
    if *mean <= 0.0 {
        *mean = value;
        return 1.0;
    }
    let ratio = value / *mean;
    *mean += MEAN_TIME_GAIN * (value.min(*mean * MAX_RATIO_TO_MEAN) - *mean);
    ratio
}

fn hash(id: &ServerId) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Mixes the bits of a number with the finaliser of SplitMix64.
const fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
