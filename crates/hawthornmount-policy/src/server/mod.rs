//! Server choice: near servers first, by the load that is known of them, and away from those that
//! are slow or fail.

mod index;
mod record;

pub use {
    index::{Distance, Group, Index, Work},
    record::Record,
};

use {
    crate::plan::{Choice, Class, Ended, Query},
    hawthornmount_core::{
        id::ServerId,
        snapshot::{Backend, Liveness, Member, Release, Snapshot},
    },
    rand::{Rng, RngExt},
    std::{
        hash::{DefaultHasher, Hash, Hasher},
        time::{Duration, Instant},
    },
};

/// Servers at each distance that are compared.
const SAMPLES: usize = 4;
/// Times of an answer in which the others' reported load fades to the mean: by then their requests
/// have ended and others have come.
const REPORT_FADE: f64 = 2.0;
/// Age of a server's load that was never reported, in times of an answer.
const NEVER_REPORTED: f64 = 100.0;
/// Slowness up to which a server is taken as usual; it is within what a full batch explains, which
/// the load tells already.
const USUAL_SLOWNESS: f64 = 1.5;
/// Load over the mean up to which a server keeps its prefixes.
const AFFINITY_BOUND: f64 = 1.25;
/// Load under which a server always keeps its prefixes, as a part of its slots.
const AFFINITY_FREE: f64 = 0.5;
/// Prompt from which a cached prefix is worth a longer queue, in tokens.
const AFFINITY_TOKENS: u64 = 64;
/// Added score of a server in another data centre of the region.
const REGION_PENALTY: f64 = 0.25;
/// Least added score of a server in another region.
const REMOTE_PENALTY: f64 = 0.5;
/// Round trip to another region.
const REMOTE_ROUND_TRIP: Duration = Duration::from_millis(12);
/// Bytes of a token on the wire.
const BYTES_PER_TOKEN: f64 = 5.0;
/// Bytes that a transfer price is given for.
const PRICED_BYTES: f64 = 1_000_000.0;
/// Tokens that a model's price is given for.
const PRICED_TOKENS: f64 = 1_000.0;
/// Largest added score of a transfer's price.
const MAX_PRICE_PENALTY: f64 = 4.0;
/// Weight of the newest request in a version's mean time.
const PACE_GAIN: f64 = 0.05;
/// Factor over the mean up to which a request moves it.
const MAX_STEP: f64 = 2.0;
/// Seconds a request of a version takes until one was seen.
const FIRST_PACE: f64 = 0.1;
/// Running requests over the servers' slots, so that a freed slot is taken at once.
const HEADROOM: f64 = 1.15;
/// Tokens that stand for the time to the first token.
const FIRST_TOKENS: f64 = 16.0;

/// A server as the choice sees it.
#[derive(Clone, Debug)]
struct Server {
    id: ServerId,
    hash: u64,
    slots: u32,
    /// Requests of the other instances at the time of the report, drawn to the mean.
    others: f64,
    /// Own requests at the time of the report.
    own: u32,
    /// How far the report still holds, from 0 to 1.
    kept: f64,
    record: Record,
}

/// Mean time of a version's requests.
#[derive(Clone, Debug)]
struct Pace {
    release: Release,
    per_token: f64,
    first: f64,
}

/// Servers with what was learned about them.
#[derive(Debug, Default)]
pub struct Pool {
    servers: Vec<Server>,
    index: Option<Index>,
    paces: Vec<Pace>,
    /// Mean seconds of an answer.
    answer: f64,
    /// Live instances besides this one.
    peers: f64,
}

impl Pool {
    /// Takes the servers of a snapshot, unless they are those of the last one.
    pub fn refresh(&mut self, snapshot: &Snapshot, query: &Query) {
        if self.index.as_ref().is_some_and(|index| index.is_of(snapshot, &query.data_centre)) {
            return;
        }
        let index = self.index.as_mut();
        if index.is_some_and(|index| index.take(snapshot, &query.data_centre)) {
            for (server, backend) in self.servers.iter_mut().zip(snapshot.backends.iter()) {
                server.take(backend, query.now);
            }
        } else {
            self.replace_servers(snapshot, query.now);
            self.index = Some(Index::new(snapshot, &query.data_centre, &query.region));
        }
        let is_alive = |one: &&Member| one.liveness == Liveness::Alive;
        let alive = snapshot.members.iter().filter(is_alive).count();
        self.peers = alive.saturating_sub(1) as f64;
        self.fade_reports(snapshot, query);
    }

    /// Takes other servers, and keeps what was learned of those that stay.
    fn replace_servers(&mut self, snapshot: &Snapshot, now: Instant) {
        let mut old = std::mem::take(&mut self.servers).into_iter().peekable();
        for backend in snapshot.backends.iter() {
            while old.peek().is_some_and(|server| server.id < backend.id) {
                old.next();
            }
            let known = old.next_if(|server| server.id == backend.id);
            let mut server = known.unwrap_or_else(|| Server::new(backend));
            server.take(backend, now);
            self.servers.push(server);
        }
    }

    /// Draws the others' load towards the mean as far as its report is old, so that a server that
    /// was idle long ago does not draw everyone's requests.
    fn fade_reports(&mut self, snapshot: &Snapshot, query: &Query) {
        let slots: f64 = self.servers.iter().map(|server| f64::from(server.slots)).sum();
        let mean = self.servers.iter().map(|server| server.others).sum::<f64>() / slots.max(1.0);
        let answer = if self.answer > 0.0 { self.answer } else { FIRST_PACE };
        for (server, backend) in self.servers.iter_mut().zip(snapshot.backends.iter()) {
            let age = backend.reported.map(|at| query.now.saturating_duration_since(at));
            let age = age.map_or(NEVER_REPORTED, |age| age.as_secs_f64() / answer);
            let kept = (-age / REPORT_FADE).exp();
            let mean = mean * f64::from(server.slots);
            server.others = mean + (server.others - mean) * kept;
            server.kept = kept;
        }
    }

    /// Returns the best server for `work` and counts the request as running there.
    pub fn choose(
        &mut self,
        snapshot: &Snapshot,
        query: &Query,
        work: &Work,
        tried: &[ServerId],
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        self.refresh(snapshot, query);
        let index = self.index.take()?;
        let chosen =
            index.group(work).and_then(|group| self.pick(snapshot, query, work, group, tried, rng));
        self.index = Some(index);
        let at = chosen?;
        self.servers[at].record.start();
        let backend = &snapshot.backends[at];
        Some(Choice {
            server: backend.id.clone(),
            address: backend.address,
            data_centre: backend.data_centre.clone(),
            tokens: query.max_tokens,
        })
    }

    fn pick(
        &self,
        snapshot: &Snapshot,
        query: &Query,
        work: &Work,
        group: &Group,
        tried: &[ServerId],
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let open = |at: &usize| {
            let server = &self.servers[*at];
            server.record.has_room(query.now) && !tried.contains(&server.id)
        };
        if let Some(at) = self.monitor(query, group)
            && open(&at)
        {
            return Some(at);
        }
        let mut best: Option<(usize, f64)> = None;
        for distance in [Distance::Local, Distance::Region, Distance::Remote] {
            let penalty = self.penalty(snapshot, query, work, distance);
            if best.is_some_and(|(_, score)| score <= penalty) {
                break;
            }
            let near = group.at(distance);
            for at in self.sample(near, rng, &open) {
                let score = self.score(at, query) + penalty;
                if best.is_none_or(|(_, lowest)| score < lowest) {
                    best = Some((at, score));
                }
            }
        }
        best.map(|(at, _)| at).or_else(|| self.last_resort(query, group, tried))
    }

    /// Returns some of `near` that are open; all of them if too few of a random sample are.
    fn sample(
        &self,
        near: &[usize],
        rng: &mut impl Rng,
        open: &impl Fn(&usize) -> bool,
    ) -> Vec<usize> {
        let mut sample = Vec::with_capacity(SAMPLES);
        for _ in 0..SAMPLES * 2 {
            if near.is_empty() || sample.len() == SAMPLES {
                break;
            }
            let at = near[rng.random_range(0..near.len())];
            if open(&at) && !sample.contains(&at) {
                sample.push(at);
            }
        }
        if sample.is_empty() { near.iter().copied().filter(open).collect() } else { sample }
    }

    /// Returns the least bad server if none is open: not shed and the least busy.
    fn last_resort(&self, query: &Query, group: &Group, tried: &[ServerId]) -> Option<usize> {
        let untried = group.all().filter(|at| !tried.contains(&self.servers[*at].id));
        untried.min_by(|a, b| {
            let rank = |at: usize| {
                let shed = self.servers[at].record.is_shed(query.now);
                (shed, self.score(at, query))
            };
            let (a, b) = (rank(*a), rank(*b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
    }

    /// Returns the server that keeps the prompt's prefix, unless it is much busier than the mean.
    fn monitor(&self, query: &Query, group: &Group) -> Option<usize> {
        let near = group.at(Distance::Local);
        if query.prompt_tokens < AFFINITY_TOKENS || near.is_empty() {
            return None;
        }
        let mean = near.iter().map(|at| self.utilisation(*at)).sum::<f64>() / near.len() as f64;
        let weight = |at: &usize| mix(self.servers[*at].hash ^ query.prefix);
        let monitor = near.iter().copied().max_by_key(weight)?;
        let bound = (mean * AFFINITY_BOUND).max(AFFINITY_FREE);
        (self.utilisation(monitor) <= bound).then_some(monitor)
    }

    /// Returns the expected requests per slot at a server with one more, by how slow it is. The
    /// others' load is a whole number, so that nobody follows differences smaller than a request.
    fn score(&self, at: usize, query: &Query) -> f64 {
        let server = &self.servers[at];
        let load = server.load(self.peers) + 1.0;
        let slowness = server.record.slowness(query.now);
        let slowness = if slowness <= USUAL_SLOWNESS { 1.0 } else { slowness };
        slowness * load / f64::from(server.slots.max(1))
    }

    fn utilisation(&self, at: usize) -> f64 {
        let server = &self.servers[at];
        server.load(self.peers) / f64::from(server.slots.max(1))
    }

    /// Returns what a distance adds to the score: delay and paid volume against the request's own
    /// time and price.
    fn penalty(&self, snapshot: &Snapshot, query: &Query, work: &Work, distance: Distance) -> f64 {
        match distance {
            Distance::Local => return 0.0,
            Distance::Region => return REGION_PENALTY,
            Distance::Remote => {}
        }
        let Work::Release(release) = work else { return REMOTE_PENALTY };
        let seconds = self.seconds(release, query.max_tokens);
        let delay = REMOTE_ROUND_TRIP.as_secs_f64() / seconds.max(f64::EPSILON);
        let config = &snapshot.config;
        let tokens = (query.prompt_tokens + query.max_tokens) as f64;
        let transfer =
            config.data_centres.get(&query.data_centre).map_or(0, |one| one.transfer_price);
        let transfer = transfer as f64 * tokens * BYTES_PER_TOKEN / PRICED_BYTES;
        let price = config.models.get(&release.model).map_or(0, |one| one.price);
        let price = (price as f64 * tokens / PRICED_TOKENS).max(1.0);
        REMOTE_PENALTY + delay.min(1.0) + (transfer / price).min(MAX_PRICE_PENALTY)
    }

    /// Takes the end of a request.
    pub fn ended(
        &mut self,
        choice: &Choice,
        release: Option<&Release>,
        ended: Ended,
        now: Instant,
        rng: &mut impl Rng,
    ) {
        let ratio = match (release, ended) {
            (Some(release), Ended::Overtaken(took)) => {
                took.as_secs_f64() / self.seconds(release, choice.tokens).max(f64::MIN_POSITIVE)
            }
            (Some(release), Ended::Answered(took)) => self.note_pace(release, choice, took),
            (Some(release), Ended::Streamed(first)) => self.note_first(release, first),
            _ => 1.0,
        };
        let found = self.servers.binary_search_by(|server| server.id.cmp(&choice.server));
        let Ok(at) = found else { return };
        let server = &mut self.servers[at];
        server.record.end();
        match ended {
            Ended::Answered(_) | Ended::Streamed(_) => {
                server.record.answered(ratio, server.slots, now);
            }
            Ended::Overtaken(_) => server.record.overtaken(ratio, now),
            Ended::Failed(_) => server.record.failed(rng.random(), now),
            Ended::Full(retry_after) => server.record.full(retry_after, now),
            Ended::Cancelled => {}
        }
    }

    /// Returns how long the answer took against the version's mean, and moves the mean.
    fn note_pace(&mut self, release: &Release, choice: &Choice, took: Duration) -> f64 {
        follow(&mut self.answer, took.as_secs_f64());
        let per_token = took.as_secs_f64() / (choice.tokens as f64 + FIRST_TOKENS);
        follow(&mut self.pace(release).per_token, per_token)
    }

    /// Returns how long the first event took against the version's mean, and moves the mean.
    fn note_first(&mut self, release: &Release, took: Duration) -> f64 {
        follow(&mut self.pace(release).first, took.as_secs_f64())
    }

    fn pace(&mut self, release: &Release) -> &mut Pace {
        let found = self.paces.binary_search_by(|pace| pace.release.cmp(release));
        let at = found.unwrap_or_else(|at| {
            self.paces.insert(at, Pace { release: release.clone(), per_token: 0.0, first: 0.0 });
            at
        });
        &mut self.paces[at]
    }

    /// Returns the seconds that an answer of `tokens` tokens takes, a guess if none was seen.
    pub fn seconds(&self, release: &Release, tokens: u64) -> f64 {
        self.seen_seconds(release, tokens).unwrap_or(FIRST_PACE)
    }

    /// Returns the seconds that answers of `tokens` tokens took, if one was seen.
    pub fn seen_seconds(&self, release: &Release, tokens: u64) -> Option<f64> {
        let at = self.paces.binary_search_by(|pace| pace.release.cmp(release)).ok()?;
        let per_token = self.paces[at].per_token;
        (per_token > 0.0).then_some(per_token * (tokens as f64 + FIRST_TOKENS))
    }

    /// Returns the requests that this instance may have running: what the others leave of the
    /// servers that are up, and at least an equal part for each of `instances`.
    pub fn capacity(&self, class: Class, instances: usize, now: Instant) -> f64 {
        let up = self.index.as_ref().map_or(&[][..], |index| index.up(class));
        let servers = up.iter().map(|at| &self.servers[*at]);
        let (mut slots, mut others) = (0.0, 0.0);
        for server in servers.filter(|server| !server.record.is_shed(now)) {
            slots += f64::from(server.slots);
            others += server.others;
        }
        let left = (slots - others).max(slots / instances.max(1) as f64);
        (left * HEADROOM).max(1.0)
    }
}

impl Server {
    fn new(backend: &Backend) -> Self {
        Self {
            id: backend.id.clone(),
            hash: hash(&backend.id),
            slots: backend.slots,
            others: 0.0,
            own: 0,
            kept: 0.0,
            record: Record::new(backend.slots),
        }
    }

    /// Takes a report: what ran there at its time without the own requests.
    fn take(&mut self, backend: &Backend, now: Instant) {
        self.slots = backend.slots;
        self.record.mark(now);
        let own = backend.reported.map_or(0, |at| self.record.in_flight_at(at));
        self.others = f64::from(backend.load.saturating_sub(own));
        self.own = own;
    }

    /// Returns the requests that run there, with those of `peers` other instances: they see the
    /// same reports, so each is taken to have sent there since then what this instance has.
    fn load(&self, peers: f64) -> f64 {
        let now = f64::from(self.record.in_flight());
        let others = self.others + self.kept * peers * (now - f64::from(self.own));
        others.round().max(0.0) + now
    }
}

/// Returns `value` against `mean` and moves the mean towards it; a single large value moves it
/// little.
fn follow(mean: &mut f64, value: f64) -> f64 {
    if *mean <= 0.0 {
        *mean = value;
        return 1.0;
    }
    let ratio = value / *mean;
    *mean += PACE_GAIN * (value.min(*mean * MAX_STEP) - *mean);
    ratio
}

fn hash(id: &ServerId) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}

/// Spreads the bits of a number (the finaliser of SplitMix64).
const fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
