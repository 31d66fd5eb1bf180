//! Estimated load and cached prefixes of servers.

use {
    hawthornmount_gateway::{
        load::{Load, Tracker},
        message::Part,
    },
    std::time::{Duration, Instant},
};

#[test]
fn report_is_corrected_by_own_requests_until_it_expires() {
    let (mut tracker, now) = (Tracker::default(), Instant::now());
    let stats = tracker.stats(&"i-1".into());
    stats.in_flight = 2;
    stats.record_report(Load { running: 5, waiting: 0, slots: 8, slowdown_percent: None }, now);
    stats.in_flight = 6;
    assert_eq!(
        stats.load(8, now),
        Load { running: 8, waiting: 1, slots: 8, slowdown_percent: None }
    );
    let later = now + Duration::from_secs(10);
    assert_eq!(
        stats.load(8, later),
        Load { running: 6, waiting: 0, slots: 8, slowdown_percent: None }
    );
}

#[test]
fn requests_queued_for_prefill_count_while_slots_are_free() {
    let (mut tracker, now) = (Tracker::default(), Instant::now());
    let stats = tracker.stats(&"i-1".into());
    // Of the two own requests, one has a response that has started; the other one is covered by
    // the prefill backlog.
    (stats.in_flight, stats.pending_prompts) = (2, 1);
    stats.record_report(Load { running: 15, waiting: 19, slots: 64, slowdown_percent: None }, now);
    assert_eq!(
        stats.load(64, now),
        Load { running: 34, waiting: 18, slots: 64, slowdown_percent: None }
    );
    let later = now + Duration::from_millis(1_050);
    assert_eq!(
        stats.load(64, later),
        Load { running: 34, waiting: 8, slots: 64, slowdown_percent: None }
    );
    let much_later = now + Duration::from_millis(3_000);
    assert_eq!(stats.load(64, much_later).waiting, 0);
}

#[test]
fn failed_server_is_avoided_longer_after_each_failure_until_it_responds() {
    let (mut tracker, now) = (Tracker::default(), Instant::now());
    let stats = tracker.stats(&"i-1".into());
    stats.record_failure(now);
    assert!(stats.is_avoided(now + Duration::from_millis(900)));
    assert!(!stats.is_avoided(now + Duration::from_millis(1_100)));
    stats.record_failure(now);
    assert!(stats.is_avoided(now + Duration::from_millis(1_100)));
    stats.record_success();
    assert!(!stats.is_avoided(now));
}

#[test]
fn cached_prefix_ends_at_the_first_part_that_was_not_sent() {
    let (mut tracker, now) = (Tracker::default(), Instant::now());
    let part = |id, tokens| Part { id, tokens };
    let (model, other) = (Some("m0".into()), Some("m1".into()));
    let stats = tracker.stats(&"i-1".into());
    stats.record_prompt(model.as_ref(), &[part(1, 100), part(2, 50), part(3, 7)], now);
    let wanted = [part(1, 100), part(2, 50), part(9, 7)];
    assert_eq!(stats.cached_tokens(model.as_ref(), &wanted), 150);
    assert_eq!(stats.cached_tokens(other.as_ref(), &wanted), 0);
    assert_eq!(stats.cached_tokens(model.as_ref(), &[part(2, 50)]), 0);
}

#[test]
fn number_of_tracked_prefixes_is_bounded() {
    let (mut tracker, now) = (Tracker::default(), Instant::now());
    let stats = tracker.stats(&"i-1".into());
    for id in 0..5_000_u64 {
        let at = now + Duration::from_millis(id);
        stats.record_prompt(None, &[Part { id, tokens: 1 }], at);
    }
    assert_eq!(stats.cached_tokens(None, &[Part { id: 4_999, tokens: 1 }]), 1);
    assert_eq!(stats.cached_tokens(None, &[Part { id: 10, tokens: 1 }]), 0);
}
