//! Age of the configuration.

use {
    hawthornmount_core::clock::Manual,
    hawthornmount_gateway::fence::Fence,
    std::{sync::Arc, time::Duration},
};

const BOUND: Duration = Duration::from_secs(5);

fn fence() -> (Arc<Manual>, Fence) {
    let clock = Arc::new(Manual::new());
    clock.advance(Duration::from_secs(100));
    (clock.clone(), Fence::new(clock, BOUND, Duration::from_millis(2_500)))
}

#[test]
fn fence_is_closed_until_it_is_confirmed_and_again_after_the_bound() {
    let (clock, fence) = fence();
    assert!(!fence.is_open() && !fence.is_fresh());
    fence.confirm(fence.now());
    assert!(fence.is_open() && fence.is_fresh());
    clock.advance(Duration::from_millis(2_100));
    assert!(fence.is_open() && !fence.is_fresh());
    clock.advance(Duration::from_millis(2_800));
    assert!(!fence.is_open());
}

#[test]
fn age_counts_from_the_question_not_from_the_answer() {
    let (clock, fence) = fence();
    let asked = fence.now();
    clock.advance(Duration::from_millis(4_000));
    fence.confirm(asked);
    assert!(fence.is_open());
    clock.advance(Duration::from_millis(900));
    assert!(!fence.is_open());
}

#[test]
fn late_answer_to_an_old_question_takes_nothing_back() {
    let (clock, fence) = fence();
    let old = fence.now();
    clock.advance(Duration::from_secs(3));
    fence.confirm(fence.now());
    fence.confirm(old);
    clock.advance(Duration::from_secs(3));
    assert!(fence.is_open());
}
