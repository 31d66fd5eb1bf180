//! Learned speeds of servers.

use {
    hawthornmount_policy::speed::{Measure, Measurement, Slowness, Usual},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    rstest::rstest,
    std::time::{Duration, Instant},
};

const STEP: Duration = Duration::from_millis(50);
/// Time that work takes at a server of the usual speed.
const WORK_MS: f64 = 60.0;
/// One of so many responses is a stream that is long enough to show the time between its events.
const STREAM_INTERVAL: u32 = 2;
const SERVERS: usize = 24;
const DATA_CENTRES: usize = 6;
/// 0.7 of what the servers can do.
const REQUESTS_PER_STEP: usize = 12;
/// Time within which a response has to start.
const AIM_MS: f64 = 250.0;

/// A server as it is: its work takes `slowness` times as long, and for a part of the servers a factor
/// that jumps between 1 and 2.5 every 0.6 s. Above the knee, each further request makes all slower.
struct Server {
    slowness: f64,
    jumps: bool,
    knee: f64,
    /// Work that has not ended, in milliseconds at the usual speed.
    backlog_ms: f64,
}

impl Server {
    fn factor(&self, now_ms: u64) -> f64 {
        let is_high = self.jumps && (now_ms / 600).is_multiple_of(2);
        let load = self.backlog_ms / WORK_MS;
        let crowded = 1.0 + (load - self.knee).max(0.0) * 0.3;
        self.slowness * if is_high { 2.5 } else { 1.0 } * crowded
    }

    /// Returns the time that one more piece of work takes until its end, and adds it.
    fn add(&mut self, now_ms: u64) -> f64 {
        self.backlog_ms += WORK_MS;
        self.backlog_ms * self.factor(now_ms)
    }

    fn step(&mut self, now_ms: u64) {
        let done = STEP.as_secs_f64() * 1_000.0 / self.factor(now_ms);
        self.backlog_ms = (self.backlog_ms - done).max(0.0);
    }
}

/// Result of a play.
#[derive(Debug)]
struct Outcome {
    in_aim: f64,
    /// Most work of a fast server over its fair part of all work.
    greatest_of_fast: f64,
}

/// What one instance has learned, and what it last heard of the others in its data centre.
#[derive(Clone)]
struct Node {
    learned: Vec<Slowness>,
    usual: Usual,
    usual_gap: Usual,
    heard: Vec<Vec<Measurement>>,
}

/// Plays `instances` in six data centres before 24 servers of speeds 0.7 to 1.7, a third of which jump. All
/// know the backlogs as they were up to 150 ms ago. They choose the least expected time among eight, with
/// the learned speeds or without. Each learns from its own requests, hears every 150 ms what the others of
/// its data centre have measured, and late what the servers state.
fn play(instances: usize, learns: bool, states: bool) -> Outcome {
    let origin = Instant::now();
    let mut rng = SmallRng::seed_from_u64(instances as u64);
    let mut servers: Vec<Server> = (0..SERVERS)
        .map(|at| Server {
            slowness: [0.7, 1.0, 1.3, 1.7][at % 4],
            jumps: at % 3 == 0,
            knee: if at % 5 == 0 { 3.0 } else { 8.0 },
            backlog_ms: 0.0,
        })
        .collect();
    let node = Node {
        learned: vec![Slowness::default(); SERVERS],
        usual: Usual::default(),
        usual_gap: Usual::default(),
        heard: vec![Vec::new(); SERVERS],
    };
    let mut nodes = vec![node; instances];
    let mut seen: Vec<f64> = vec![0.0; SERVERS];
    let (mut on_time, mut counted, mut all) = (0_u32, 0_u32, 0_u32);
    let mut work = [0.0; SERVERS];
    for step in 0..800_u64 {
        let now_ms = step * STEP.as_millis() as u64;
        let now = origin + Duration::from_millis(now_ms);
        if step.is_multiple_of(3) {
            seen = servers.iter().map(|server| server.backlog_ms).collect();
            share(&mut nodes, now);
        }
        for _ in 0..REQUESTS_PER_STEP {
            let node = &mut nodes[rng.random_range(0..instances)];
            let sample: Vec<usize> = (0..8).map(|_| rng.random_range(0..SERVERS)).collect();
            let expected = |at: &usize| {
                let heard = node.heard[*at].iter().copied();
                let slowness = if learns { node.learned[*at].expected(heard, now) } else { 1.0 };
                (seen[*at] + WORK_MS) * slowness
            };
            let chosen = sample.into_iter().min_by(|a, b| expected(a).total_cmp(&expected(b)));
            let at = chosen.expect("there are servers");
            let known_ms = seen[at] + WORK_MS;
            seen[at] += WORK_MS;
            let took_ms = servers[at].add(now_ms);
            work[at] += WORK_MS;
            // The first quarter is for learning.
            all += 1;
            if step >= 200 {
                counted += 1;
                on_time += u32::from(took_ms <= AIM_MS);
            }
            if let Some(ratio) = node.usual.record(took_ms / known_ms) {
                node.learned[at].record_ratio(ratio, Measure::Start, now);
            }
            if all.is_multiple_of(STREAM_INTERVAL)
                && let Some(ratio) = node.usual_gap.record(servers[at].factor(now_ms))
            {
                node.learned[at].record_ratio(ratio, Measure::EventGap, now);
            }
            if states {
                let factor = servers[at].factor(now_ms) / servers[at].slowness;
                node.learned[at].record_statement(factor, now);
            }
        }
        for server in &mut servers {
            server.step(now_ms);
        }
    }
    // A fast server may get work in proportion to its speed.
    let speeds: f64 = servers.iter().map(|server| 1.0 / server.slowness).sum();
    let total: f64 = work.iter().sum();
    let over = |at: usize| work[at] / (total / servers[at].slowness / speeds);
    let fast = (0..SERVERS).filter(|at| servers[*at].slowness < 1.0);
    Outcome {
        in_aim: f64::from(on_time) / f64::from(counted),
        greatest_of_fast: fast.map(over).fold(0.0, f64::max),
    }
}

/// Tells each instance what the others of its data centre have measured. In a large one, each datagram
/// reaches a few of them, and what was heard is kept until all have been heard.
fn share(nodes: &mut [Node], now: Instant) {
    for at in 0..SERVERS {
        let measured: Vec<Option<Measurement>> =
            nodes.iter().map(|node| node.learned[at].measured(now)).collect();
        for (number, node) in nodes.iter_mut().enumerate() {
            let others = measured.iter().enumerate().skip(number % DATA_CENTRES);
            let others = others.step_by(DATA_CENTRES).filter(|(other, _)| *other != number);
            node.heard[at] = others.filter_map(|(_, value)| *value).collect();
        }
    }
}

/// Load: 0.7 of what servers of uneven speed can do. Without learned speeds, the slow ones get as much as
/// the fast ones; with wrong ones, the fast ones get too much.
#[rstest]
fn learned_speeds_put_more_work_in_aim_and_overload_no_fast_server(
    #[values(3, 75, 300)] instances: usize,
    #[values(false, true)] states: bool,
) {
    let before = play(instances, false, states);
    let after = play(instances, true, states);
    // Late work is to be halved.
    println!("{before:?} {after:?}");
    assert!(1.0 - after.in_aim <= 0.5 * (1.0 - before.in_aim), "{before:?} {after:?}");
    assert!(after.greatest_of_fast <= 1.8, "{after:?}");
}

/// What is believed of a server some time after measurements and statements.
#[rstest]
#[case::nothing_known(&[], None, 0, 1.0)]
#[case::slow(&[2.0; 30], None, 0, 1.9)]
#[case::fast(&[0.5; 30], None, 0, 0.55)]
#[case::one_outlier(&[10.0], None, 0, 5.5)]
#[case::recovers_unmeasured(&[2.0; 30], None, 60_000, 1.0)]
#[case::stated(&[], Some(2.5), 0, 2.5)]
#[case::statement_fades(&[], Some(2.5), 2_000, 1.2)]
#[case::not_a_number(&[f64::NAN, f64::INFINITY], Some(f64::NAN), 0, 1.0)]
#[case::out_of_bounds(&[], Some(1e9), 0, 10.0)]
fn belief_follows_measurements_and_statements(
    #[case] ratios: &[f64],
    #[case] stated: Option<f64>,
    #[case] after_ms: u64,
    #[case] expected: f64,
) {
    let now = Instant::now();
    let mut slowness = Slowness::default();
    for ratio in ratios {
        slowness.record_ratio(*ratio, Measure::EventGap, now);
    }
    if let Some(factor) = stated {
        slowness.record_statement(factor, now);
    }
    let believed = slowness.expected(std::iter::empty(), now + Duration::from_millis(after_ms));
    assert!((believed - expected).abs() <= 0.1, "{believed}, {expected} expected");
}

/// An earlier statement that arrives late must not replace the later one.
#[test]
fn later_statement_counts() {
    let now = Instant::now();
    let mut slowness = Slowness::default();
    slowness.record_statement(2.5, now);
    slowness.record_statement(1.0, now - Duration::from_millis(300));
    assert!(slowness.expected(std::iter::empty(), now) > 2.4);
}
