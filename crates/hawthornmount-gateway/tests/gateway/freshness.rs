//! Age of the last confirmation of the configuration.

use {
    hawthornmount_core::clock::Manual,
    hawthornmount_gateway::freshness::Freshness,
    std::{sync::Arc, time::Duration},
};

const BOUND: Duration = Duration::from_secs(5);

fn freshness() -> (Arc<Manual>, Freshness) {
    let clock = Arc::new(Manual::new());
    clock.advance(Duration::from_secs(100));
    (clock.clone(), Freshness::new(clock, BOUND, Duration::from_millis(2_500)))
}

#[test]
fn bounds_hold_only_for_a_while_after_a_confirmation() {
    let (clock, freshness) = freshness();
    assert!(!freshness.is_within_revocation_bound() && !freshness.is_within_propagation_bound());
    freshness.confirm(freshness.now());
    assert!(freshness.is_within_revocation_bound() && freshness.is_within_propagation_bound());
    clock.advance(Duration::from_millis(2_100));
    assert!(freshness.is_within_revocation_bound() && !freshness.is_within_propagation_bound());
    clock.advance(Duration::from_millis(2_800));
    assert!(!freshness.is_within_revocation_bound());
}

#[test]
fn age_is_measured_from_the_request_to_the_store() {
    let (clock, freshness) = freshness();
    let asked = freshness.now();
    clock.advance(Duration::from_millis(4_000));
    freshness.confirm(asked);
    assert!(freshness.is_within_revocation_bound());
    clock.advance(Duration::from_millis(900));
    assert!(!freshness.is_within_revocation_bound());
}

#[test]
fn older_confirmation_does_not_replace_a_newer_one() {
    let (clock, freshness) = freshness();
    let old = freshness.now();
    clock.advance(Duration::from_secs(3));
    freshness.confirm(freshness.now());
    freshness.confirm(old);
    clock.advance(Duration::from_secs(3));
    assert!(freshness.is_within_revocation_bound());
}
