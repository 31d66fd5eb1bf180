//! Streams that end servers before their answers begin, beside sound ones that only wait there, on
//! simulated time.

use {
    super::exchange::{Fault, Fleet, Millis, STABILITY_WINDOW, STEP},
    hawthornmount_gateway::{
        message::{Digest, PartId},
        quarantine::{
            evidence::{End, Suspect},
            start::Start,
        },
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    rstest::rstest,
};

/// Time with sound streams only, and time in which servers end.
const SOUND_TIME: Millis = 10_000;
const TROUBLE_TIME: Millis = 30_000;
/// Retries of a request that ends servers which may still reach servers later than the stability window
/// after the third end.
const ALLOWED_RETRIES: usize = 3;
const ATTEMPTS: u32 = 3;
/// Times that a caller sends a stream again that was not answered, and the pause before.
const CALLER_RETRIES: u32 = 2;
const CALLER_PAUSE: Millis = 300;
/// Time for which a request waits for a server that is up.
const PATIENCE: Millis = 3_000;
const DOWN_TIME: Millis = 3_000;
const PIECE_INTERVAL: Millis = 50;
/// Largest part by which the time until a run differs from the usual one.
const JITTER: f64 = 0.2;
/// Digests of the requests that end servers, and part of prompts that does.
const BAD: Digest = 0xbad_0000;
const BAD_PART: PartId = 0xbad;
/// Part that all prompts share.
const SHARED_PART: PartId = 1;

/// Why servers end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cause {
    /// They begin to run one of so many requests, and have not begun the head of its answer.
    Requests(u64),
    /// The same, right behind the head.
    RequestsAfterHead(u64),
    /// A request, or the beginning of an answer on a part of prompts.
    RequestAndPart,
    /// They are killed, one each third of the interval.
    Kills,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    instances: usize,
    servers: usize,
    /// Sound streams a second over the fleet.
    sound_rate: f64,
    /// Time from the arrival of a stream at a server to its run.
    start: Millis,
    /// Interval at which each request that ends servers comes, and that of kills.
    interval: Millis,
    cause: Cause,
    is_resumable: bool,
    /// Number of digests under which sound streams repeat; each stream has its own if it is 0.
    repeated: u64,
    fault: Fault,
}

struct Request {
    instance: usize,
    digest: Digest,
    is_deadly: bool,
    has_bad_part: bool,
    /// When the request was sent, or sent again by its caller.
    sent_at: Millis,
    attempts: u32,
    caller_retries: u32,
    has_begun_first: bool,
    is_refused: bool,
}

impl Request {
    fn parts(&self) -> Vec<PartId> {
        if self.has_bad_part { vec![SHARED_PART, BAD_PART] } else { vec![SHARED_PART] }
    }

    fn suspects(&self) -> Vec<Suspect> {
        let parts = self.parts().into_iter().map(Suspect::Part);
        parts.chain([Suspect::Request(self.digest)]).collect()
    }
}

struct Run {
    request: usize,
    head_at: Millis,
    until: Millis,
    start: Start,
}

#[derive(Default)]
struct Server {
    lives: u64,
    down_until: Millis,
    runs: Vec<Run>,
}

struct World {
    case: Case,
    rng: StdRng,
    now: Millis,
    fleet: Fleet,
    servers: Vec<Server>,
    requests: Vec<Request>,
    /// Requests to send, and when.
    pending: Vec<(usize, Millis)>,
    next_own: Digest,
    next_sound: Millis,
    next_deadly: Millis,
    next_kill: Millis,
    /// Ends of servers under each request that ends them, and when its retries reached servers.
    ends: Vec<Vec<Millis>>,
    retries: Vec<Vec<Millis>>,
    last_end: Millis,
}

impl World {
    fn new(case: Case, seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            fleet: Fleet::new(case.instances, case.fault),
            servers: (0..case.servers).map(|_| Server::default()).collect(),
            requests: Vec::new(),
            pending: Vec::new(),
            next_own: 1_000,
            next_sound: 0,
            next_deadly: SOUND_TIME,
            next_kill: SOUND_TIME,
            ends: vec![Vec::new(); case.deadly() as usize],
            retries: vec![Vec::new(); case.deadly() as usize],
            last_end: SOUND_TIME,
            case,
        }
    }

    fn run(&mut self) {
        while self.now < SOUND_TIME + TROUBLE_TIME {
            self.arrive();
            let due = std::mem::take(&mut self.pending);
            for (request, at) in due {
                if at <= self.now { self.send(request) } else { self.pending.push((request, at)) }
            }
            self.work();
            if let Some(killed) = self.fleet.exchange(self.now, &mut self.rng) {
                for server in &mut self.servers {
                    server.runs.retain(|run| self.requests[run.request].instance != killed);
                }
            }
            self.now += STEP;
        }
    }

    fn arrive(&mut self) {
        while self.now >= self.next_sound {
            let pause = 1_000.0 / self.case.sound_rate * self.rng.random_range(0.0..2.0);
            self.next_sound += pause.max(1.0) as Millis;
            let digest = if self.case.repeated > 0 {
                1 + self.rng.random_range(0..self.case.repeated)
            } else {
                self.own_digest()
            };
            self.add_request(digest, false, false);
        }
        if self.now >= self.next_deadly {
            self.next_deadly += self.case.interval;
            for number in 0..self.case.deadly() {
                self.add_request(BAD + number, true, false);
            }
            if self.case.cause == Cause::RequestAndPart {
                let digest = self.own_digest();
                self.add_request(digest, false, true);
            }
        }
        if self.case.cause == Cause::Kills && self.now >= self.next_kill {
            self.next_kill += self.case.interval / u64::from(ATTEMPTS);
            if let Some(at) = self.server_up() {
                self.end(at);
            }
        }
    }

    fn own_digest(&mut self) -> Digest {
        self.next_own += 1;
        self.next_own
    }

    fn add_request(&mut self, digest: Digest, is_deadly: bool, has_bad_part: bool) {
        self.pending.push((self.requests.len(), self.now));
        self.requests.push(Request {
            instance: self.rng.random_range(0..self.case.instances),
            digest,
            is_deadly,
            has_bad_part,
            sent_at: self.now,
            attempts: 0,
            caller_retries: 0,
            has_begun_first: false,
            is_refused: false,
        });
    }

    /// Returns a server that is up.
    fn server_up(&mut self) -> Option<usize> {
        let is_up = |at: &usize| self.servers[*at].down_until <= self.now;
        let up: Vec<usize> = (0..self.servers.len()).filter(is_up).collect();
        (!up.is_empty()).then(|| up[self.rng.random_range(0..up.len())])
    }

    fn send(&mut self, number: usize) {
        let now = self.fleet.at(self.now);
        let request = &self.requests[number];
        let (digest, is_retry) = (request.digest, request.attempts > 0);
        let instance = &self.fleet.instances[request.instance];
        let is_in_touch = instance.is_in_touch(self.now);
        if instance.quarantine.find(request.suspects(), now).is_some() {
            self.requests[number].is_refused |= is_in_touch;
            return;
        }
        let allowed = if self.case.is_resumable { ATTEMPTS } else { 1 };
        let is_suspected = instance.quarantine.is_suspected(Suspect::Request(digest));
        if request.attempts == allowed || is_retry && is_suspected {
            self.fail(number);
            return;
        }
        let Some(server) = self.server_up() else {
            if self.now < self.requests[number].sent_at + PATIENCE {
                self.pending.push((number, self.now + 100));
            } else {
                self.fail(number);
            }
            return;
        };
        let request = &mut self.requests[number];
        request.attempts += 1;
        if request.is_deadly && is_retry && is_in_touch {
            self.retries[(digest - BAD) as usize].push(self.now);
        }
        let jitter = self.rng.random_range(1.0 - JITTER..1.0 + JITTER);
        let head_at = self.now + (self.case.start as f64 * jitter) as Millis;
        let ends_after_head = !matches!(self.case.cause, Cause::Requests(_));
        let length = match (request.is_deadly, request.has_bad_part) {
            (true, _) if !ends_after_head => 0,
            (false, false) => self.rng.random_range(1_000..3_000),
            _ => self.rng.random_range(20..90),
        };
        let start = Start::new(self.fleet.at(head_at));
        let run = Run { request: number, head_at, until: head_at + length, start };
        self.servers[server].runs.push(run);
    }

    /// Gives a request up at its instance; the caller of a sound one sends it again.
    fn fail(&mut self, number: usize) {
        let request = &mut self.requests[number];
        if request.is_deadly || request.has_bad_part || request.caller_retries == CALLER_RETRIES {
            return;
        }
        let next = Request {
            instance: self.rng.random_range(0..self.case.instances),
            sent_at: self.now + CALLER_PAUSE,
            attempts: 0,
            caller_retries: request.caller_retries + 1,
            has_begun_first: false,
            is_refused: false,
            ..*request
        };
        self.pending.push((self.requests.len(), next.sent_at));
        self.requests.push(next);
    }

    /// Lets the servers write their answers and end.
    fn work(&mut self) {
        for at in 0..self.servers.len() {
            let now = self.fleet.at(self.now);
            let requests = &self.requests;
            let is_deadly = |run: &&Run| {
                let request = &requests[run.request];
                (request.is_deadly || request.has_bad_part) && run.until <= self.now
            };
            if let Some(run) = self.servers[at].runs.iter().find(is_deadly) {
                let request = &requests[run.request];
                if request.is_deadly {
                    self.ends[(request.digest - BAD) as usize].push(self.now);
                }
                self.end(at);
                continue;
            }
            let mut runs = std::mem::take(&mut self.servers[at].runs);
            for run in runs.iter_mut().filter(|run| run.head_at <= self.now) {
                let request = &mut self.requests[run.request];
                request.has_begun_first |= request.attempts == 1;
                let has_piece = (self.now - run.head_at) % PIECE_INTERVAL < STEP;
                let is_proof = has_piece && run.start.record_piece(now) || run.until <= self.now;
                if is_proof {
                    let quarantine = &mut self.fleet.instances[request.instance].quarantine;
                    quarantine.record_proof(&request.suspects(), now);
                    quarantine.record_answered(Suspect::Request(request.digest), now);
                }
            }
            runs.retain(|run| run.until > self.now);
            self.servers[at].runs = runs;
        }
    }

    /// Ends a server; what waited and ran there is sent again.
    fn end(&mut self, at: usize) {
        let now = self.fleet.at(self.now);
        let server = &mut self.servers[at];
        for run in std::mem::take(&mut server.runs) {
            let request = &self.requests[run.request];
            // A request that ends its server at its run has no head.
            let has_head = run.head_at < self.now && run.until > run.head_at;
            let (parts, digest, waiting) = if has_head {
                (request.parts(), Some(request.digest), None)
            } else {
                (Vec::new(), None, Some(request.digest))
            };
            let waiting_parts = if has_head { Vec::new() } else { request.parts() };
            if !has_head || run.start.is_early(now) {
                let quarantine = &mut self.fleet.instances[request.instance].quarantine;
                quarantine.record_end(
                    End {
                        server: format!("server-{at}").into(),
                        start_ms: server.lives,
                        request: format!("request-{}", run.request).into(),
                        parts,
                        waiting_parts,
                        digest,
                        waiting,
                        is_confirmed: true,
                    },
                    now,
                );
            }
            self.pending.push((run.request, self.now + STEP));
        }
        server.lives += 1;
        server.down_until = self.now + DOWN_TIME;
        self.last_end = self.now;
    }

    /// Returns the share of the sound streams that callers sent for the first time in a time and that began
    /// at the first attempt, unless they are too few.
    fn begun(&self, from: Millis, to: Millis) -> Option<f64> {
        let is_among = |request: &&Request| {
            request.is_sound()
                && request.caller_retries == 0
                && request.sent_at >= from
                && request.sent_at < to
        };
        let among: Vec<&Request> = self.requests.iter().filter(is_among).collect();
        let begun = among.iter().filter(|request| request.has_begun_first).count();
        (among.len() >= 20).then(|| begun as f64 / among.len() as f64)
    }
}

impl Request {
    const fn is_sound(&self) -> bool {
        !self.is_deadly && !self.has_bad_part
    }
}

impl Case {
    /// Returns the number of requests that end servers.
    const fn deadly(&self) -> u64 {
        match self.cause {
            Cause::Requests(count) | Cause::RequestsAfterHead(count) => count,
            Cause::RequestAndPart => 1,
            Cause::Kills => 0,
        }
    }
}

const USUAL: Case = Case {
    instances: 6,
    servers: 18,
    sound_rate: 20.0,
    start: 40,
    interval: 1_500,
    cause: Cause::Requests(1),
    is_resumable: true,
    repeated: 0,
    fault: Fault::None,
};

/// Guards against streams that end servers before their head and are sent on without end (BUDGET), and
/// against a quarantine of sound ones that waited beside them (LOST).
#[rstest]
#[case::usual(USUAL)]
#[case::slow_start(Case { start: 1_000, ..USUAL })]
#[case::slow_start_of_rare_requests(Case { start: 1_000, interval: 5_000, ..USUAL })]
#[case::fast_start_of_frequent_requests(Case { start: 20, interval: 400, ..USUAL })]
#[case::not_resumable(Case { is_resumable: false, ..USUAL })]
#[case::not_resumable_and_slow(Case { is_resumable: false, start: 1_000, interval: 400, ..USUAL })]
#[case::after_head(Case { cause: Cause::RequestsAfterHead(1), ..USUAL })]
#[case::after_head_and_slow(Case { cause: Cause::RequestsAfterHead(1), start: 1_000, ..USUAL })]
#[case::two_requests(Case { cause: Cause::Requests(2), ..USUAL })]
#[case::two_frequent_requests(Case {
    cause: Cause::Requests(2), start: 1_000, interval: 400, ..USUAL
})]
#[case::beside_a_part(Case { cause: Cause::RequestAndPart, ..USUAL })]
#[case::quiet_hour(Case { sound_rate: 0.2, ..USUAL })]
#[case::quiet_hour_of_rare_requests(Case { sound_rate: 0.2, interval: 5_000, ..USUAL })]
#[case::repeated_streams(Case { repeated: 12, start: 1_000, ..USUAL })]
#[case::repeated_frequent_streams(Case {
    repeated: 12, start: 1_000, interval: 400, sound_rate: 200.0, ..USUAL
})]
#[case::repeated_rare_streams(Case { repeated: 12, start: 300, sound_rate: 2.0, ..USUAL })]
#[case::three_servers(Case { servers: 3, instances: 3, sound_rate: 5.0, ..USUAL })]
#[case::three_slow_servers(Case {
    servers: 3, instances: 3, start: 1_000, interval: 400, ..USUAL
})]
#[case::three_servers_of_rare_requests(Case {
    servers: 3, instances: 3, start: 300, interval: 5_000, ..USUAL
})]
#[case::three_servers_of_repeated_streams(Case {
    servers: 3, instances: 3, repeated: 12, start: 300, ..USUAL
})]
#[case::killed_readers(Case { fault: Fault::KilledReaders, start: 300, ..USUAL })]
#[case::cut_off(Case { fault: Fault::CutOff, start: 300, ..USUAL })]
#[case::large_fleet(Case { instances: 75, servers: 60, sound_rate: 200.0, start: 300, ..USUAL })]
#[case::large_slow_fleet(Case {
    instances: 75, servers: 60, sound_rate: 200.0, start: 1_000, interval: 400, ..USUAL
})]
#[case::very_large_fleet(Case {
    instances: 300, servers: 60, sound_rate: 100.0, start: 300, ..USUAL
})]
fn stream_that_ends_servers_is_not_sent_on_and_those_that_wait_beside_are(
    #[case] case: Case,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut world = World::new(case, seed);
    world.run();
    let mut judged_from = world.last_end.max(SOUND_TIME + 2 * STABILITY_WINDOW);
    for (number, ends) in world.ends.iter().enumerate() {
        let third = *ends.get(2).expect("the request ends three servers");
        let retries = &world.retries[number];
        let late = retries.iter().filter(|at| **at > third + STABILITY_WINDOW).count();
        assert!(late <= ALLOWED_RETRIES, "request {number}: {late} late, {} ends", ends.len());
        if let Some(fifth) = ends.get(4) {
            judged_from = judged_from.min(fifth + 2 * STABILITY_WINDOW);
        }
    }
    let sound = world.requests.iter().filter(|request| request.is_sound());
    let refused = sound.clone().filter(|request| request.is_refused).count();
    let sound = sound.count();
    assert!(refused * 100 <= sound, "{refused} of {sound} sound streams were refused");
    let before = world.begun(0, SOUND_TIME);
    let after = world.begun(judged_from, SOUND_TIME + TROUBLE_TIME);
    if let (Some(before), Some(after)) = (before, after) {
        assert!(after >= before / 2.0, "{after:.2} begin at the first attempt, {before:.2} before");
    }
}

/// Guards against a quarantine of streams that only waited at servers which end for another reason.
#[rstest]
#[case::usual(USUAL)]
#[case::slow_start(Case { start: 1_000, ..USUAL })]
#[case::frequent_kills(Case { start: 1_000, interval: 400, ..USUAL })]
#[case::quiet_hour(Case { sound_rate: 0.2, start: 1_000, ..USUAL })]
#[case::three_servers(Case { servers: 3, instances: 3, start: 1_000, ..USUAL })]
#[case::three_servers_in_a_quiet_hour(Case {
    servers: 3, instances: 3, start: 1_000, sound_rate: 0.2, ..USUAL
})]
#[case::repeated_streams(Case { repeated: 12, start: 1_000, ..USUAL })]
#[case::three_servers_of_repeated_streams(Case {
    servers: 3, instances: 3, repeated: 12, start: 1_000, interval: 400, ..USUAL
})]
#[case::large_fleet(Case { instances: 75, servers: 60, sound_rate: 200.0, start: 300, ..USUAL })]
fn streams_that_wait_at_killed_servers_are_not_in_quarantine(
    #[case] case: Case,
    #[values(1, 2, 3, 4)] seed: u64,
) {
    let mut world = World::new(Case { cause: Cause::Kills, ..case }, seed);
    world.run();
    let refused = world.requests.iter().filter(|request| request.is_refused).count();
    assert_eq!(refused, 0, "of {} sound streams", world.requests.len());
    let now = world.fleet.at(world.now);
    let counts = world.fleet.instances.iter().map(|one| one.quarantine.counts(now).requests);
    assert_eq!(counts.sum::<usize>(), 0, "requests in quarantine");
}
