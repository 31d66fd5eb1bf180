//! Choice of a server by its expected wait.

use {
    hawthornmount_gateway::{
        balancing::{Candidate, Locality, choose, first_unfilled},
        load::Load,
    },
    rstest::rstest,
};

const IDLE: Candidate = Candidate {
    locality: Locality::SameDataCentre,
    load: Load { running: 0, waiting: 0, slots: 8, slowdown_percent: None },
    uncached_tokens: 0,
    token_prefill_ms: 0.016,
    prefill_backlog_ms: 0.0,
    slowness: 1.0,
    is_avoided: false,
};

struct Case {
    others: Candidate,
}

#[rstest]
#[case::busier(Case { others: Candidate { load: Load { running: 7, waiting: 0, slots: 8, slowdown_percent: None }, ..IDLE } })]
#[case::has_queue(Case { others: Candidate { load: Load { running: 8, waiting: 4, slots: 8, slowdown_percent: None }, ..IDLE } })]
#[case::has_more_uncached_tokens(Case { others: Candidate { uncached_tokens: 5_000, ..IDLE } })]
#[case::has_prefill_backlog(Case { others: Candidate { prefill_backlog_ms: 200.0, ..IDLE } })]
#[case::in_other_region(Case { others: Candidate { locality: Locality::OtherRegion, ..IDLE } })]
#[case::failed(Case { others: Candidate { is_avoided: true, ..IDLE } })]
fn server_with_the_least_wait_is_chosen(#[case] case: Case) {
    for random in [0.0, 0.5, 0.999] {
        assert_eq!(choose(&[case.others, IDLE, case.others], random), Some(1));
    }
}

#[test]
fn equal_servers_share_the_requests() {
    let drawn = [0.1, 0.4, 0.9].map(|random| choose(&[IDLE, IDLE, IDLE], random));
    assert_eq!(drawn, [Some(0), Some(1), Some(2)]);
    assert_eq!(choose(&[], 0.5), None);
    assert_eq!(choose(&[IDLE], 1.0), Some(0));
}

#[test]
fn trial_fills_servers_one_after_the_other() {
    let with = |running| Candidate {
        load: Load { running, waiting: 0, slots: 8, slowdown_percent: None },
        ..IDLE
    };
    assert_eq!(first_unfilled(&[with(7), with(0)]), Some(0));
    assert_eq!(first_unfilled(&[with(8), with(0)]), Some(1));
    assert_eq!(first_unfilled(&[with(8), with(8)]), None);
    assert_eq!(first_unfilled(&[Candidate { is_avoided: true, ..IDLE }, IDLE]), Some(1));
}
