//! Choice of a model.

use {
    hawthornmount_gateway::ladder::{climb, start},
    rstest::rstest,
};

struct Case {
    rung: usize,
    rungs: usize,
    confidence: Option<u8>,
    next: Option<usize>,
}

#[rstest]
#[case::doubted(Case { rung: 0, rungs: 3, confidence: Some(5), next: Some(2) })]
#[case::trusted(Case { rung: 0, rungs: 3, confidence: Some(95), next: None })]
#[case::largest(Case { rung: 2, rungs: 3, confidence: Some(5), next: None })]
#[case::no_opinion(Case { rung: 0, rungs: 3, confidence: None, next: None })]
fn doubted_answers_go_to_the_largest_model(#[case] case: Case) {
    assert_eq!(climb(case.rung, case.rungs, case.confidence), case.next);
}

#[test]
fn requests_start_on_the_smallest_model() {
    assert_eq!((start(0), start(3)), (None, Some(0)));
}
