//! Choice of a server.

use {
    hawthornmount_gateway::{
        choice::{Candidate, Distance, choose, concentrate},
        load::Load,
    },
    rstest::rstest,
};

const IDLE: Candidate = Candidate {
    distance: Distance::Near,
    load: Load { running: 0, waiting: 0, slots: 8 },
    unread: 0,
    token_ms: 0.016,
    backlog_ms: 0.0,
    is_avoided: false,
};

struct Case {
    others: Candidate,
}

#[rstest]
#[case::busier(Case { others: Candidate { load: Load { running: 7, waiting: 0, slots: 8 }, ..IDLE } })]
#[case::waits(Case { others: Candidate { load: Load { running: 8, waiting: 4, slots: 8 }, ..IDLE } })]
#[case::reads_more(Case { others: Candidate { unread: 5_000, ..IDLE } })]
#[case::has_long_prompts_to_read(Case { others: Candidate { backlog_ms: 200.0, ..IDLE } })]
#[case::farther(Case { others: Candidate { distance: Distance::Far, ..IDLE } })]
#[case::failed(Case { others: Candidate { is_avoided: true, ..IDLE } })]
fn better_server_is_chosen(#[case] case: Case) {
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
fn trial_fills_one_server_after_the_other() {
    let with = |running| Candidate { load: Load { running, waiting: 0, slots: 8 }, ..IDLE };
    assert_eq!(concentrate(&[with(7), with(0)]), Some(0));
    assert_eq!(concentrate(&[with(8), with(0)]), Some(1));
    assert_eq!(concentrate(&[with(8), with(8)]), None);
    assert_eq!(concentrate(&[Candidate { is_avoided: true, ..IDLE }, IDLE]), Some(1));
}
