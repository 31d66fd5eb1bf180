//! Shared parts of prompts are processed at one server, whichever instance sends them.

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
/// Number of different shared parts that the requests use.
const SHARED_PARTS: u64 = 52;
/// Number of simulated requests.
const REQUESTS: u64 = 450;
const SHARED_TOKENS: u32 = 5_400;
const OWN_TOKENS: u32 = 6_600;
/// Prefill time per token of a large model.
const TOKEN_PREFILL_MS: f64 = 0.05;

/// Linear congruential generator of uniformly distributed numbers, the same in every run.
struct Lcg(u64);

impl Lcg {
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

/// Simulates requests at lightly loaded servers, three in each data centre, and returns the share
/// of requests whose shared part a server processed although another server had cached it.
fn redundant_prefill_share(with_affinity: bool) -> f64 {
    let servers = names();
    let mut random = Lcg(7);
    let mut trackers = vec![Tracker::default(); INSTANCES];
    let mut cached_parts: Vec<BTreeSet<u64>> = vec![BTreeSet::new(); SERVERS];
    let (mut redundant, mut all) = (0, 0);
    for number in 0..REQUESTS {
        let instance = random.next(INSTANCES as u64) as usize;
        let shared = random.next(SHARED_PARTS);
        let prompt = prompt(shared, number);
        let preferred =
            affinity::preferred_server(None, &prompt, servers.iter()).filter(|_| with_affinity);
        let candidates: Vec<Candidate> = (0..SERVERS)
            .map(|at| {
                let stats = trackers[instance].stats(&servers[at]);
                let is_preferred = preferred == Some(&servers[at]);
                let cached = affinity::cached_tokens(stats, None, &prompt, is_preferred);
                let is_local = at % 3 == instance % 3;
                Candidate {
                    locality: if is_local {
                        Locality::SameDataCentre
                    } else {
                        Locality::OtherRegion
                    },
                    load: Load { running: 8, waiting: 0, slots: 64, slowdown_percent: None },
                    uncached_tokens: SHARED_TOKENS + OWN_TOKENS - cached,
                    token_prefill_ms: TOKEN_PREFILL_MS,
                    prefill_backlog_ms: 0.0,
                    slowness: 1.0,
                    is_avoided: false,
                }
            })
            .collect();
        let at =
            balancing::choose(&candidates, random.next(1_000) as f64 / 1_000.0).expect("a server");
        trackers[instance].stats(&servers[at]).record_prompt(None, &prompt, Instant::now());
        let was_cached = cached_parts.iter().any(|parts| parts.contains(&shared));
        if cached_parts[at].insert(shared) && was_cached {
            redundant += 1;
        }
        all += 1;
    }
    f64::from(redundant) / f64::from(all)
}

struct Case {
    with_affinity: bool,
    least: f64,
    most: f64,
}

#[rstest]
#[case::without_affinity(Case { with_affinity: false, least: 0.3, most: 1.0 })]
#[case::with_affinity(Case { with_affinity: true, least: 0.0, most: 0.02 })]
fn affinity_avoids_redundant_prefill_of_shared_parts(#[case] case: Case) {
    let redundant = redundant_prefill_share(case.with_affinity);
    assert!((case.least..=case.most).contains(&redundant), "{redundant}");
}

#[test]
fn busy_preferred_server_is_not_chosen() {
    let servers = names();
    let prompt = prompt(3, 0);
    let preferred =
        affinity::preferred_server(None, &prompt, servers.iter()).expect("a preferred server");
    let mut tracker = Tracker::default();
    let candidates: Vec<Candidate> = servers
        .iter()
        .map(|server| {
            let is_preferred = server == preferred;
            let cached =
                affinity::cached_tokens(tracker.stats(server), None, &prompt, is_preferred);
            let waiting = if is_preferred { 10 } else { 0 };
            Candidate {
                locality: Locality::SameDataCentre,
                load: Load { running: 8, waiting, slots: 64, slowdown_percent: None },
                uncached_tokens: SHARED_TOKENS + OWN_TOKENS - cached,
                token_prefill_ms: TOKEN_PREFILL_MS,
                prefill_backlog_ms: 0.0,
                slowness: 1.0,
                is_avoided: false,
            }
        })
        .collect();
    let at = balancing::choose(&candidates, 0.5).expect("a server");
    assert_ne!(&servers[at], preferred);
}

#[test]
fn parts_keep_their_server_when_another_one_leaves() {
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
fn prompt_without_shared_parts_has_no_preferred_server() {
    let own = [Part { id: 1, tokens: 10 }];
    assert_eq!(affinity::preferred_server(None, &own, names().iter()), None);
    assert_eq!(affinity::preferred_server(None, &[], names().iter()), None);
}
