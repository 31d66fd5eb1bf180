//! Shared parts of prompts are read at one server, whichever instance sends them.

use {
    hawthornmount_core::id::ServerId,
    hawthornmount_gateway::{
        affinity,
        balancing::{self, Candidate, Locality},
        load::{Load, Tracker},
        message::Part,
    },
    rstest::rstest,
    std::{collections::BTreeSet, time::Instant},
};

const SERVERS: usize = 9;
const INSTANCES: usize = 9;
/// Shared parts that requests draw from, and requests of the played day.
const SHARED_PARTS: u64 = 52;
const REQUESTS: u64 = 450;
const SHARED_TOKENS: u32 = 5_400;
const OWN_TOKENS: u32 = 6_600;
/// Time in which a large model reads a token.
const TOKEN_MS: f64 = 0.05;

/// A generator of even numbers, the same in every run.
struct Draw(u64);

impl Draw {
    fn next(&mut self, below: u64) -> u64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % below
    }
}

fn names() -> Vec<ServerId> {
    (0..SERVERS).map(|number| format!("server-{number}").into()).collect()
}

fn prompt(shared: u64, own: u64) -> Vec<Part> {
    vec![Part { id: shared, tokens: SHARED_TOKENS }, Part { id: 1_000 + own, tokens: OWN_TOKENS }]
}

/// Plays a day on idle servers, three in each data centre, and returns the share of shared tokens
/// that servers read though some server had read them before.
fn read_again(with_home: bool) -> f64 {
    let servers = names();
    let mut draw = Draw(7);
    let mut boards = vec![Tracker::default(); INSTANCES];
    let mut read: Vec<BTreeSet<u64>> = vec![BTreeSet::new(); SERVERS];
    let (mut again, mut all) = (0, 0);
    for number in 0..REQUESTS {
        let instance = draw.next(INSTANCES as u64) as usize;
        let shared = draw.next(SHARED_PARTS);
        let prompt = prompt(shared, number);
        let preferred =
            affinity::preferred_server(None, &prompt, servers.iter()).filter(|_| with_home);
        let candidates: Vec<Candidate> = (0..SERVERS)
            .map(|at| {
                let stats = boards[instance].stats(&servers[at]);
                let is_preferred = preferred == Some(&servers[at]);
                let cached = affinity::cached_tokens(stats, None, &prompt, is_preferred);
                let is_near = at % 3 == instance % 3;
                Candidate {
                    locality: if is_near {
                        Locality::SameDataCentre
                    } else {
                        Locality::OtherRegion
                    },
                    load: Load { running: 8, waiting: 0, slots: 64 },
                    uncached_tokens: SHARED_TOKENS + OWN_TOKENS - cached,
                    token_prefill_ms: TOKEN_MS,
                    prefill_backlog_ms: 0.0,
                    is_avoided: false,
                }
            })
            .collect();
        let at =
            balancing::choose(&candidates, draw.next(1_000) as f64 / 1_000.0).expect("a server");
        boards[instance].stats(&servers[at]).record_prompt(None, &prompt, Instant::now());
        let was_read = read.iter().any(|parts| parts.contains(&shared));
        if read[at].insert(shared) && was_read {
            again += 1;
        }
        all += 1;
    }
    f64::from(again) / f64::from(all)
}

struct Case {
    with_home: bool,
    least: f64,
    most: f64,
}

#[rstest]
#[case::each_instance_for_itself(Case { with_home: false, least: 0.3, most: 1.0 })]
#[case::one_home_a_part(Case { with_home: true, least: 0.0, most: 0.02 })]
fn shared_parts_are_seldom_read_again(#[case] case: Case) {
    let again = read_again(case.with_home);
    assert!((case.least..=case.most).contains(&again), "{again}");
}

#[test]
fn busy_home_is_passed_over() {
    let servers = names();
    let prompt = prompt(3, 0);
    let preferred = affinity::preferred_server(None, &prompt, servers.iter()).expect("a home");
    let mut board = Tracker::default();
    let candidates: Vec<Candidate> = servers
        .iter()
        .map(|server| {
            let is_preferred = server == preferred;
            let cached = affinity::cached_tokens(board.stats(server), None, &prompt, is_preferred);
            let waiting = if is_preferred { 10 } else { 0 };
            Candidate {
                locality: Locality::SameDataCentre,
                load: Load { running: 8, waiting, slots: 64 },
                uncached_tokens: SHARED_TOKENS + OWN_TOKENS - cached,
                token_prefill_ms: TOKEN_MS,
                prefill_backlog_ms: 0.0,
                is_avoided: false,
            }
        })
        .collect();
    let at = balancing::choose(&candidates, 0.5).expect("a server");
    assert_ne!(&servers[at], preferred);
}

#[test]
fn parts_stay_when_another_server_leaves() {
    let servers = names();
    let moved = (0..SHARED_PARTS).filter(|shared| {
        let prompt = prompt(*shared, 0);
        let before = affinity::preferred_server(None, &prompt, servers.iter());
        let after = affinity::preferred_server(None, &prompt, servers[1..].iter());
        before != Some(&servers[0]) && before != after
    });
    assert_eq!(moved.count(), 0);
}

#[test]
fn prompt_without_shared_parts_has_no_home() {
    let own = [Part { id: 1, tokens: 10 }];
    assert_eq!(affinity::preferred_server(None, &own, names().iter()), None);
    assert_eq!(affinity::preferred_server(None, &[], names().iter()), None);
}
