//! Choice of a model.

use {
    hawthornmount_gateway::cascade::{Estimate, escalate, initial_level},
    rstest::rstest,
    std::time::Duration,
};

struct Case {
    level: usize,
    levels: usize,
    confidence: Option<u8>,
    /// When the other answer would begin, in milliseconds; 2000 is on time.
    begins: u64,
    next: Option<usize>,
}

#[rstest]
#[case::doubted(Case { level: 0, levels: 3, confidence: Some(40), begins: 300, next: Some(2) })]
#[case::useless(Case { level: 0, levels: 3, confidence: Some(5), begins: 300, next: Some(2) })]
#[case::barely_trusted(Case { level: 0, levels: 3, confidence: Some(48), begins: 300, next: None })]
#[case::trusted(Case { level: 0, levels: 3, confidence: Some(95), begins: 300, next: None })]
#[case::largest(Case { level: 2, levels: 3, confidence: Some(5), begins: 300, next: None })]
#[case::no_opinion(Case { level: 0, levels: 3, confidence: None, begins: 300, next: None })]
#[case::no_ladder(Case { level: 0, levels: 0, confidence: Some(5), begins: 300, next: None })]
#[case::doubted_in_a_burst(Case { level: 0, levels: 3, confidence: Some(40), begins: 1_700, next: None })]
#[case::useless_in_a_burst(Case { level: 0, levels: 3, confidence: Some(5), begins: 1_700, next: Some(2) })]
fn doubted_answers_go_to_the_largest_model(#[case] case: Case) {
    let estimate =
        |_| Estimate { begins: Duration::from_millis(case.begins), target: Duration::from_secs(2) };
    assert_eq!(escalate(case.level, case.levels, case.confidence, estimate), case.next);
}

#[test]
fn requests_start_on_the_smallest_model() {
    assert_eq!((initial_level(0), initial_level(3)), (None, Some(0)));
}
