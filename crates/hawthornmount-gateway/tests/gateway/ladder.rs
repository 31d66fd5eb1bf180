//! Choice of a model.

use {
    hawthornmount_gateway::ladder::{Outlook, climb, start},
    rstest::rstest,
    std::time::Duration,
};

struct Case {
    rung: usize,
    rungs: usize,
    confidence: Option<u8>,
    /// When the other answer would begin, in milliseconds; 2000 is on time.
    begins: u64,
    next: Option<usize>,
}

#[rstest]
#[case::doubted(Case { rung: 0, rungs: 3, confidence: Some(40), begins: 300, next: Some(2) })]
#[case::useless(Case { rung: 0, rungs: 3, confidence: Some(5), begins: 300, next: Some(2) })]
#[case::barely_trusted(Case { rung: 0, rungs: 3, confidence: Some(48), begins: 300, next: None })]
#[case::trusted(Case { rung: 0, rungs: 3, confidence: Some(95), begins: 300, next: None })]
#[case::largest(Case { rung: 2, rungs: 3, confidence: Some(5), begins: 300, next: None })]
#[case::no_opinion(Case { rung: 0, rungs: 3, confidence: None, begins: 300, next: None })]
#[case::no_ladder(Case { rung: 0, rungs: 0, confidence: Some(5), begins: 300, next: None })]
#[case::doubted_in_a_burst(Case { rung: 0, rungs: 3, confidence: Some(40), begins: 1_700, next: None })]
#[case::useless_in_a_burst(Case { rung: 0, rungs: 3, confidence: Some(5), begins: 1_700, next: Some(2) })]
fn doubted_answers_go_to_the_largest_model(#[case] case: Case) {
    let outlook =
        |_| Outlook { begins: Duration::from_millis(case.begins), target: Duration::from_secs(2) };
    assert_eq!(climb(case.rung, case.rungs, case.confidence, outlook), case.next);
}

#[test]
fn requests_start_on_the_smallest_model() {
    assert_eq!((start(0), start(3)), (None, Some(0)));
}
