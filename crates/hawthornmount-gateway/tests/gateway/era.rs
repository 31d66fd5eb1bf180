//! What proves that the content of the store is complete after it may have been restored.

use {
    hawthornmount_gateway::follow::era::{KEY, RESTATEMENT_TIME, Tracker},
    hawthornmount_store::{Entry, Write},
    rstest::rstest,
    std::time::{Duration, Instant},
};

const ERA: u64 = 4;

/// What an instance sees of an era of the store.
struct Case {
    /// Value of the record in the store.
    record: Option<&'static str>,
    /// Time since the instance first saw the era.
    seen_ms: u64,
    /// Age of the answer at that time.
    age_ms: u64,
    is_settled: bool,
    is_record_due: bool,
}

const NEW: Case =
    Case { record: None, seen_ms: 0, age_ms: 0, is_settled: false, is_record_due: false };

fn entry(value: &str) -> Entry {
    Entry { key: KEY.into(), value: value.to_owned().into(), revision: 7, created: 7 }
}

/// An instance that starts right after the store was restored must not take the copy for complete.
#[rstest]
#[case::first_list(NEW)]
#[case::record_of_the_era(Case { record: Some(r#"{"settled":4}"#), is_settled: true, ..NEW })]
#[case::record_in_the_copy(Case { record: Some(r#"{"settled":3}"#), ..NEW })]
#[case::unreadable_record(Case { record: Some("{"), ..NEW })]
#[case::just_before(Case { seen_ms: 1_999, ..NEW })]
#[case::long_enough(Case { seen_ms: 2_000, is_settled: true, is_record_due: true, ..NEW })]
#[case::late_answer(Case { seen_ms: 2_900, age_ms: 901, is_record_due: true, ..NEW })]
#[case::later_answer(Case { seen_ms: 2_900, age_ms: 900, is_settled: true, is_record_due: true, ..NEW })]
#[case::known_record(Case {
    record: Some(r#"{"settled":4}"#), seen_ms: 9_000, is_settled: true, ..NEW
})]
#[case::outdated_record(Case {
    record: Some(r#"{"settled":3}"#), seen_ms: 9_000, is_settled: true, is_record_due: true, ..NEW
})]
fn answer_is_proof(#[case] case: Case) {
    let began = Instant::now();
    let now = began + Duration::from_millis(case.seen_ms);
    let mut tracker = Tracker::default();
    tracker.begin(ERA, began);
    let known = case.record.map(entry);
    if let Some(known) = &known {
        assert!(tracker.put(known));
    }
    let age = Duration::from_millis(case.age_ms);
    assert_eq!(tracker.is_settled(now, age), case.is_settled);
    let txn = tracker.record(known.as_ref(), now);
    assert_eq!(txn.is_some(), case.is_record_due);
    let Some(Write::Put(put)) = txn.and_then(|txn| txn.writes.into_iter().next()) else { return };
    let written = Entry { key: put.key, value: put.value, revision: 8, created: 7 };
    assert!(tracker.put(&written) && tracker.is_settled(now, RESTATEMENT_TIME * 9));
    tracker.begin(ERA + 1, now);
    assert!(!tracker.is_settled(now, Duration::ZERO), "a record holds for its own era only");
}

#[test]
fn store_that_states_no_era_is_always_settled() {
    let tracker = Tracker::default();
    assert!(tracker.is_settled(Instant::now(), Duration::MAX));
    assert!(tracker.record(None, Instant::now()).is_none());
}
