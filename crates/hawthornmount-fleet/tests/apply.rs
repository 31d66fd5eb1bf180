//! `apply` reports whether the change took effect, did not take effect, or may have.

mod support;

use {
    hawthornmount_fleet::config::{self, Accepted, ApplyError, KEY, Record},
    hawthornmount_store::Store,
    rstest::rstest,
    serde_json::json,
    std::{
        sync::{Arc, atomic::Ordering::SeqCst},
        time::Duration,
    },
    support::{config_value, store::Faulty},
};

/// Number of responses and of commits that are lost on the way from and to the store.
struct Losses {
    responses: u32,
    commits: u32,
}

#[rstest]
#[case::response(Losses { responses: 1, commits: 0 })]
#[case::two_responses(Losses { responses: 2, commits: 0 })]
#[case::commit(Losses { responses: 0, commits: 1 })]
#[case::commits_then_response(Losses { responses: 1, commits: 3 })]
#[tokio::test(start_paused = true)]
async fn change_takes_effect_once_despite_lost_messages(#[case] case: Losses) {
    let store = Faulty::default();
    let base = config::apply(&store, config_value(0), 0, "apply-0").await.expect("accepted");
    store.lose_responses.store(case.responses, SeqCst);
    store.lose_commits.store(case.commits, SeqCst);
    let revision = config::apply(&store, config_value(1), base, "apply-1").await.expect("accepted");
    let (stored, record) = config::read(&store).await.expect("answers").expect("accepted");
    assert_eq!((stored, &*record.apply_id, record.value), (revision, "apply-1", config_value(1)));
    assert_eq!(stored, base + 1, "the change took effect once");
}

#[tokio::test(start_paused = true)]
async fn concurrent_changes_have_one_winner_and_one_conflict() {
    let store = Arc::new(Faulty::default());
    *store.delay.lock() = Duration::from_millis(5);
    let base = config::apply(&*store, config_value(0), 0, "apply-0").await.expect("accepted");
    let one = config::apply(&*store, config_value(1), base, "apply-1");
    let two = config::apply(&*store, config_value(2), base, "apply-2");
    let (one, two) = tokio::join!(one, two);
    let (winner, loser) = if one.is_ok() { (one, two) } else { (two, one) };
    let (stored, record) = config::read(&*store).await.expect("answers").expect("accepted");
    assert_eq!(winner.expect("one wins"), stored);
    let Err(ApplyError::Conflict { current, value }) = loser else { panic!("{loser:?}") };
    assert_eq!((current, *value), (stored, record.value));
}

#[tokio::test(start_paused = true)]
async fn change_replaced_after_its_response_was_lost_is_reported_as_replaced() {
    let store = Arc::new(Faulty::default());
    let base = config::apply(&*store, config_value(0), 0, "apply-0").await.expect("accepted");
    store.lose_responses.store(1, SeqCst);
    store.fail_after_lost_response.store(true, SeqCst);
    let first = tokio::spawn({
        let store = store.clone();
        async move { config::apply(&*store, config_value(1), base, "apply-1").await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    store.down.store(false, SeqCst);
    let second =
        config::apply(&*store, config_value(2), base + 1, "apply-2").await.expect("accepted");
    let first = first.await.expect("ends");
    let Err(ApplyError::Replaced { current }) = first else { panic!("{first:?}") };
    assert_eq!(current, second);
}

#[tokio::test(start_paused = true)]
async fn error_of_an_unavailable_store_states_what_is_known_of_the_change() {
    let store = Arc::new(Faulty::default());
    let base = config::apply(&*store, config_value(0), 0, "apply-0").await.expect("accepted");
    store.down.store(true, SeqCst);
    let refused = config::apply(&*store, config_value(1), base, "apply-1").await;
    let text = refused.expect_err("store is down").to_string();
    assert!(text.contains("did not take effect"), "{text}");
    store.down.store(false, SeqCst);
    store.lose_responses.store(1, SeqCst);
    store.fail_after_lost_response.store(true, SeqCst);
    let unknown = config::apply(&*store, config_value(1), base, "apply-1").await;
    let text = unknown.expect_err("response is lost").to_string();
    assert!(text.contains("not known") && text.contains("config show"), "{text}");
    assert!(text.contains("apply-1"), "{text}");
}

#[tokio::test(start_paused = true)]
async fn value_above_a_megabyte_is_applied_and_decoded() {
    let store = Faulty::default();
    let mut accounts = serde_json::Map::new();
    for number in 0..10_000 {
        let hash = hawthornmount_core::config::key_hash(&number.to_string());
        accounts.insert(format!("account-{number}"), json!({ "key_hashes": [hash], "allow": [] }));
    }
    let value = json!({ "accounts": accounts });
    let size = value.to_string().len();
    assert!(size > 1 << 20, "{size} bytes");
    let revision = config::apply(&store, value.clone(), 0, "apply-0").await.expect("accepted");
    let entry = store.get(KEY).await.expect("answers").expect("accepted");
    assert_eq!(Record::decode(&entry.value).expect("a record").value, value);
    let accepted = Accepted::decode(revision, entry.value).expect("valid");
    assert_eq!(accepted.config.accounts.len(), 10_000);
}

#[rstest]
#[case::empty(&[])]
#[case::noise(&[7; 40])]
#[case::broken_gzip(&[0x1f, 0x8b, 8, 0, 1, 2, 3])]
#[case::other_json(b"{\"apply_id\": 1}")]
fn malformed_record_is_rejected(#[case] bytes: &[u8]) {
    Record::decode(bytes).expect_err("not a record");
}
