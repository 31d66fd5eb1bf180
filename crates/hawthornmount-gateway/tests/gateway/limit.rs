//! Limits of servers over fleets of many sizes: simulated instances that try to send at every moment
//! and learn each other's names and what others wrote from a store that they see late.

use {
    hawthornmount_gateway::limit::{
        Limits, Rate,
        exchange::{Key, Stored},
        share::{Division, WINDOW},
    },
    hawthornmount_store::{Compare, Txn, Write},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    rstest::rstest,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

const STEP: Duration = Duration::from_millis(50);
/// Time after the server first stated a limit from which it has to be kept.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Time after its first answer with a limit from which an instance counts.
const TOLD_TIME: Duration = Duration::from_millis(500);
/// Interval at which an instance sees the store, as it was some time before.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
const MAX_LIST_AGE_MS: u64 = 1_500;
const MAX_TRANSIT_MS: u64 = 300;
/// Longest time until an answer begins.
const MAX_ANSWER_MS: u64 = 2_000;
const SERVER: &str = "i-1";
const START_MS: u64 = 7;

/// Content of the store at a time.
#[derive(Clone, Default)]
struct Content {
    revision: u64,
    value: Option<(Vec<u8>, u64)>,
    members: Vec<Arc<str>>,
}

struct Node {
    limits: Limits,
    told_at: Option<Duration>,
    next_list: Duration,
    /// Number of the content of the store that it has seen, and the revision of the value in it.
    seen: usize,
    applied: Option<u64>,
    /// Answers that are on their way: when they arrive, what they state, and when the request was
    /// sent.
    answers: Vec<(Duration, Option<Rate>, Duration)>,
}

struct World {
    origin: Instant,
    now: Duration,
    rng: SmallRng,
    nodes: Vec<Node>,
    history: Vec<(Duration, Content)>,
    /// Arrivals that count, in the order in which they were sent.
    arrivals: Vec<Duration>,
    all_arrivals: Vec<Duration>,
    first_stated: Option<Duration>,
    writes: usize,
}

impl World {
    fn new(instances: usize, seed: u64) -> Self {
        let mut world = Self {
            origin: Instant::now(),
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            nodes: Vec::new(),
            history: vec![(Duration::ZERO, Content::default())],
            arrivals: Vec::new(),
            all_arrivals: Vec::new(),
            first_stated: None,
            writes: 0,
        };
        for _ in 0..instances {
            world.join();
        }
        world
    }

    fn content(&mut self) -> &mut Content {
        let content = self.history.last().expect("there is content").1.clone();
        self.history.push((self.now, content));
        &mut self.history.last_mut().expect("just added").1
    }

    fn join(&mut self) {
        let name: Arc<str> = format!("instance-{}", self.nodes.len()).into();
        let content = self.content();
        content.members.push(name.clone());
        let next_list = self.now + self.random_ms(LIST_INTERVAL.as_millis() as u64);
        let limits = Limits::new(name);
        self.nodes.push(Node {
            limits,
            told_at: None,
            next_list,
            seen: 0,
            applied: None,
            answers: Vec::new(),
        });
    }

    fn random_ms(&mut self, most: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(0..=most))
    }

    /// Lets all instances try to send in every step for a time, while the server states a limit.
    fn run(&mut self, time: Duration, rate: Option<Rate>) {
        if rate.is_some() {
            self.first_stated.get_or_insert(self.now);
        }
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            for at in 0..self.nodes.len() {
                self.step(at, rate);
            }
        }
    }

    fn step(&mut self, at: usize, rate: Option<Rate>) {
        let now = self.origin + self.now;
        let due: Vec<_> =
            self.nodes[at].answers.extract_if(.., |answer| answer.0 <= self.now).collect();
        for (_, stated, sent_at) in due {
            let sent_at = self.origin + sent_at;
            let node = &mut self.nodes[at];
            node.limits.record_answer(&SERVER.into(), START_MS, stated, sent_at, now);
            if stated.is_some() {
                node.told_at.get_or_insert(self.now);
            }
        }
        if self.now >= self.nodes[at].next_list {
            self.list(at);
        }
        for txn in self.nodes[at].limits.take_writes(now) {
            self.commit(&txn);
        }
        if self.nodes[at].limits.pass(SERVER, START_MS, now) {
            let (sent_at, transit) = (self.now, self.random_ms(MAX_TRANSIT_MS));
            let arrival = sent_at + transit;
            let told_at = self.nodes[at].told_at;
            self.all_arrivals.push(arrival);
            if told_at.is_some_and(|told| told + TOLD_TIME <= arrival) {
                self.arrivals.push(arrival);
            }
            let answered = arrival + self.random_ms(MAX_ANSWER_MS);
            self.nodes[at].answers.push((answered, rate, sent_at));
        }
    }

    /// Shows an instance the store as it was some time ago.
    fn list(&mut self, at: usize) {
        let age = self.random_ms(MAX_LIST_AGE_MS);
        let seen = self.history.partition_point(|(since, _)| *since + age <= self.now);
        let now = self.origin + self.now;
        let node = &mut self.nodes[at];
        node.next_list = self.now + LIST_INTERVAL;
        if seen <= node.seen {
            return;
        }
        node.seen = seen;
        let content = self.history[seen - 1].1.clone();
        let key = Key { server: SERVER.into(), start_ms: START_MS };
        let revision = content.value.as_ref().map(|value| value.1);
        let is_new = std::mem::replace(&mut node.applied, revision) != revision;
        if let Some((value, revision)) = content.value.as_ref().filter(|_| is_new) {
            let record = serde_json::from_slice(value).expect("a record");
            node.limits.put(&key, Stored { record, revision: *revision }, now);
        }
        node.limits.retain_listed(|_| content.value.is_some(), now);
        node.limits.set_members(content.members, now);
    }

    fn commit(&mut self, txn: &Txn) {
        self.writes += 1;
        let current = self.history.last().expect("content").1.value.as_ref().map(|value| value.1);
        let holds = txn.guards.iter().all(|guard| match guard.compare {
            Compare::Absent => current.is_none(),
            Compare::Unchanged(revision) => current == Some(revision),
            Compare::Value(_) => false,
        });
        if !holds {
            return;
        }
        let content = self.content();
        content.revision += 1;
        content.value = match &txn.writes[0] {
            Write::Put(put) => Some((put.value.to_vec(), content.revision)),
            Write::Delete(_) => None,
        };
    }

    /// Returns the most arrivals that count in one window from `from` on.
    fn most_in_window(&self, from: Duration, to: Duration) -> usize {
        let mut arrivals: Vec<Duration> =
            self.arrivals.iter().copied().filter(|at| (from..to).contains(at)).collect();
        arrivals.sort_unstable();
        let in_window = |begin: &Duration| {
            let first = arrivals.partition_point(|at| at < begin);
            arrivals.partition_point(|at| *at <= *begin + WINDOW) - first
        };
        arrivals.iter().map(in_window).max().unwrap_or(0)
    }

    fn assert_within(&self, rate: Rate, from: Duration) {
        let from = from.max(self.first_stated.expect("a limit") + STABILITY_WINDOW);
        let most = self.most_in_window(from, self.now);
        let allowed = 1.5 * rate * WINDOW.as_secs_f64() + 5.0;
        assert!(most as f64 <= allowed, "{most} in 4 s at {rate} a second; allowed {allowed}");
    }

    /// Returns the arrivals a second from a time on.
    fn arrivals_per_s(&self, from: Duration) -> f64 {
        let count = self.all_arrivals.iter().filter(|at| **at >= from).count();
        count as f64 / (self.now - from).as_secs_f64()
    }
}

/// Load: each instance could send 20 requests a second to one server.
#[rstest]
fn fleet_of_any_size_keeps_to_the_limit_and_uses_it(
    #[values(3, 9, 75, 195, 300)] instances: usize,
    #[values(0.2, 1.0, 2.0, 10.0, 50.0)] rate: Rate,
) {
    let mut world = World::new(instances, instances as u64);
    world.run(Duration::from_secs(3), None);
    world.run(Duration::from_secs(25), Some(rate));
    world.assert_within(rate, Duration::ZERO);
    let used = world.arrivals_per_s(world.now - Duration::from_secs(12));
    assert!(used >= 0.5 * rate, "{used} a second of {rate}");
    assert!(world.writes <= 40, "{} writes", world.writes);
    // All instances learn the end, also those that sent nothing.
    world.run(Duration::from_secs(22), None);
    let waiting = world.nodes.iter().filter(|node| node.limits.count() > 0).count();
    assert_eq!(waiting, 0, "instances of {instances} hold a limit that has ended");
}

/// Load: as above, while instances join and the limit falls and rises.
#[rstest]
fn fleet_keeps_to_a_limit_that_changes_while_instances_join(
    #[values(9, 75, 300)] instances: usize,
    #[values(0.5, 2.0, 20.0)] rate: Rate,
    #[values(1, 2, 3)] seed: u64,
) {
    let mut world = World::new(instances, seed);
    world.run(Duration::from_secs(10), Some(rate));
    for _ in 0..3 {
        for _ in 0..(instances / 30).max(1) {
            world.join();
        }
        world.run(Duration::from_secs(4), Some(rate));
    }
    world.assert_within(rate, Duration::ZERO);
    world.run(Duration::from_secs(20), Some(rate / 2.0));
    // Those that send learn the new limit from an answer, the others send nothing.
    world.assert_within(rate / 2.0, world.now - Duration::from_secs(8));
    world.run(Duration::from_secs(20), Some(rate * 2.0));
    world.assert_within(rate * 2.0, world.now - Duration::from_secs(20));
}

struct Case {
    instances: usize,
    rate: Rate,
    holders: usize,
}

#[rstest]
#[case::all_of_a_small_fleet(Case { instances: 3, rate: 1.0, holders: 3 })]
#[case::few_of_a_large_one(Case { instances: 300, rate: 0.2, holders: 3 })]
#[case::more_for_a_high_limit(Case { instances: 300, rate: 2.0, holders: 14 })]
#[case::all_for_the_highest(Case { instances: 300, rate: 50.0, holders: 300 })]
#[case::one_instance(Case { instances: 1, rate: 0.05, holders: 1 })]
fn limit_is_divided_among_as_many_instances_as_keep_it(#[case] case: Case) {
    let division = Division::new(case.rate, case.instances);
    assert_eq!(division.holders, case.holders, "{division:?}");
}

/// Answers that overtake each other, one after the other: when the request was sent, and the limit.
#[rstest]
#[case::a_later_request_counts(&[(0, Some(1.0)), (1, Some(3.0))], Some(3.0))]
#[case::an_earlier_one_does_not(&[(2, Some(1.0)), (1, Some(3.0))], Some(1.0))]
#[case::an_answer_without_a_limit_ends_it(&[(0, Some(1.0)), (1, None)], None)]
#[case::an_earlier_one_without_does_not(&[(2, Some(1.0)), (1, None)], Some(1.0))]
#[case::none_at_all(&[(1, None)], None)]
fn statement_of_the_latest_request_counts(
    #[case] answers: &[(u64, Option<Rate>)],
    #[case] rate: Option<Rate>,
) {
    let origin = Instant::now();
    let mut limits = Limits::new("one".into());
    for (sent_s, stated) in answers {
        let sent_at = origin + Duration::from_secs(*sent_s);
        limits.record_answer(&SERVER.into(), START_MS, *stated, sent_at, origin);
    }
    assert_eq!(limits.rate(SERVER, START_MS), rate);
    assert_eq!(limits.rate(SERVER, START_MS + 1), None, "a limit belongs to one start");
}
