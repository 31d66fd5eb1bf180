//! Escalation of requests in a model cascade.

use {
    hawthornmount_gateway::cascade::{Estimate, escalate, initial_level, urgent_level},
    rstest::rstest,
    std::time::Duration,
};

struct Case {
    level: usize,
    levels: usize,
    confidence: Option<u8>,
    /// Time until the larger model would start its response; the target is 2000 ms.
    latency_ms: u64,
    next: Option<usize>,
}

#[rstest]
#[case::low_confidence(Case { level: 0, levels: 3, confidence: Some(40), latency_ms: 300, next: Some(2) })]
#[case::lowest_confidence(Case { level: 0, levels: 3, confidence: Some(5), latency_ms: 300, next: Some(2) })]
#[case::just_above_threshold(Case { level: 0, levels: 3, confidence: Some(48), latency_ms: 300, next: None })]
#[case::high_confidence(Case { level: 0, levels: 3, confidence: Some(95), latency_ms: 300, next: None })]
#[case::largest_model(Case { level: 2, levels: 3, confidence: Some(5), latency_ms: 300, next: None })]
#[case::no_confidence(Case { level: 0, levels: 3, confidence: None, latency_ms: 300, next: None })]
#[case::no_cascade(Case { level: 0, levels: 0, confidence: Some(5), latency_ms: 300, next: None })]
#[case::low_confidence_in_a_burst(Case { level: 0, levels: 3, confidence: Some(40), latency_ms: 1_700, next: None })]
#[case::lowest_confidence_in_a_burst(Case { level: 0, levels: 3, confidence: Some(5), latency_ms: 1_700, next: Some(2) })]
fn low_confidence_escalates_to_the_largest_model(#[case] case: Case) {
    let estimate = |_| Estimate {
        latency: Duration::from_millis(case.latency_ms),
        target: Duration::from_secs(2),
    };
    assert_eq!(escalate(case.level, case.levels, case.confidence, estimate), case.next);
}

#[test]
fn requests_start_at_the_smallest_model() {
    assert_eq!((initial_level(0), initial_level(3)), (None, Some(0)));
}

/// An urgent request that starts at the smallest model and is escalated spends its target twice; under
/// load, the largest model would make it late.
#[rstest]
#[case::early(3, 300, Some(2))]
#[case::at_the_limit(3, 800, Some(2))]
#[case::late(3, 900, Some(0))]
#[case::one_model(1, 300, Some(0))]
#[case::no_cascade(0, 300, None)]
fn urgent_request_starts_at_the_largest_model_while_it_is_early(
    #[case] levels: usize,
    #[case] latency_ms: u64,
    #[case] expected: Option<usize>,
) {
    let estimate =
        |_| Estimate { latency: Duration::from_millis(latency_ms), target: Duration::from_secs(2) };
    assert_eq!(urgent_level(levels, estimate), expected);
}
