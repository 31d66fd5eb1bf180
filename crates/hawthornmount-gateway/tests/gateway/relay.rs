//! Tests of the relay between instances: its source, its replica and the reports that it merges.

use {
    hawthornmount_core::clock::Manual,
    hawthornmount_fleet::wire::{Keyring, Reject},
    hawthornmount_gateway::{
        follow::replica::{Cursor, Replica},
        freshness::Freshness,
        membership::{Contact, Membership, Peer, Size},
        relay::{
            Shared,
            message::{Follow, InFlight, MAX_FRAME_BYTES, Query, Request},
            server,
            source::{Selector, Source},
        },
        rollout::{
            comparison::Comparison,
            counts::Counts,
            evidence::{Report, Scope, disjoint_reports},
        },
    },
    hawthornmount_store::{Entry, Stamp},
    proptest::prelude::*,
    rstest::rstest,
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

fn contact(data_centre: &str) -> Contact {
    Contact {
        data_centre: data_centre.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        passed_requests: None,
        secret: "secret".into(),
    }
}

fn peer(id: &str) -> Peer {
    Peer { id: id.into(), contact: contact("a") }
}

/// Source that an instance after the peers `one` and `two`, and before `three`, chooses.
struct Choice {
    /// Peers that failed, each once.
    failed: &'static [&'static str],
    has_store_failed: bool,
    source: Option<&'static str>,
}

#[rstest]
#[case::first(Choice { failed: &[], has_store_failed: false, source: Some("one") })]
#[case::next(Choice { failed: &["one"], has_store_failed: false, source: Some("two") })]
#[case::none_before(Choice { failed: &["one", "two"], has_store_failed: false, source: None })]
#[case::store_failed(Choice { failed: &["one", "two"], has_store_failed: true, source: Some("three") })]
#[case::all_failed(Choice { failed: &["one", "two", "three"], has_store_failed: true, source: None })]
fn source_is_the_first_that_did_not_fail(#[case] choice: Choice) {
    let (mut selector, now) = (Selector::default(), Instant::now());
    let peers = ["one", "two", "three"].map(peer);
    for id in choice.failed {
        selector.peer_failed(&(*id).into(), now);
    }
    if choice.has_store_failed {
        selector.store_failed(now);
    }
    let expected = choice.source.map_or(Source::Store, |id| Source::Peer(peer(id)));
    assert_eq!(selector.choose(&peers, 2, now), expected);
    let later = now + Duration::from_secs(60);
    selector.store_succeeded();
    assert_eq!(selector.choose(&peers, 2, later), Source::Peer(peer("one")), "tried again later");
}

#[test]
fn peer_that_fails_again_is_skipped_longer() {
    let (mut selector, now) = (Selector::default(), Instant::now());
    let peers = [peer("one")];
    let skipped_for = |selector: &mut Selector| {
        selector.store_succeeded();
        let times = (0..1_000).map(|at| Duration::from_millis(100) * at);
        let is_used = |time: &Duration| selector.choose(&peers, 1, now + *time) != Source::Store;
        times.clone().find(is_used).expect("the peer is tried again")
    };
    selector.peer_failed(&"one".into(), now);
    let first = skipped_for(&mut selector);
    selector.peer_failed(&"one".into(), now);
    assert_eq!(skipped_for(&mut selector), first * 2);
    selector.peer_succeeded(&"one".into());
    assert_eq!(skipped_for(&mut selector), Duration::ZERO);
}

/// All instances of a data centre have to agree on one order.
#[test]
fn instances_rank_each_other_alike_and_only_within_their_data_centre() {
    let entry = |id: &str, data_centre: &str| Entry {
        key: format!("hawthornmount/instance/{id}").into(),
        value: serde_json::to_vec(&contact(data_centre)).expect("a contact is encoded").into(),
        revision: 1,
        created: 1,
    };
    let ids = ["one", "two", "three", "four"];
    let entries: Vec<Entry> =
        ids.iter().map(|id| entry(id, "a")).chain([entry("other", "b")]).collect();
    let mut orders = Vec::new();
    for id in ids {
        let mut membership = Membership::new(id.into(), Some(contact("a")), Size::default());
        for entry in &entries {
            membership.put(entry);
        }
        let (peers, before) = membership.ranked_peers();
        let mut order: Vec<String> = peers.iter().map(|peer| peer.id.to_string()).collect();
        order.insert(before, id.to_owned());
        orders.push(order);
        assert_eq!(membership.data_centres(), 2);
    }
    assert_eq!(orders[0].len(), ids.len());
    assert!(orders.iter().all(|order| *order == orders[0]), "{orders:?}");
}

/// Load: followers that state how many requests they have in flight, of which one has gone.
#[test]
fn reader_sums_the_requests_of_its_recent_followers() {
    let clock = Arc::new(Manual::new());
    let bound = Duration::from_secs(5);
    let shared = Shared::new("one".into(), Arc::new(Freshness::new(clock.clone(), bound, bound)));
    let state = |follower: &str, requests| {
        let in_flight = vec![InFlight { service: "s".into(), requests }];
        shared.record_in_flight(&follower.into(), in_flight, shared.freshness.now());
    };
    state("gone", 100);
    clock.advance(Duration::from_secs(3));
    state("two", 50);
    clock.advance(Duration::from_secs(2));
    state("three", 7);
    state("two", 5);
    assert_eq!(shared.in_flight(), [InFlight { service: "s".into(), requests: 12 }]);
}

#[test]
fn frames_of_strangers_and_other_versions_are_rejected() {
    let request = Request {
        nonce: 1,
        from: "two".into(),
        to: "one".into(),
        query: Query::Follow(Follow {
            cursor: None,
            confirmation: None,
            wait: Duration::ZERO,
            in_flight: Vec::new(),
        }),
    };
    let frame = Keyring::new("secret").seal(&request);
    let open =
        |secret: &str, frame: &[u8], limit| Keyring::new(secret).open::<Request>(frame, limit);
    assert_eq!(open("secret", &frame, MAX_FRAME_BYTES), Ok(request));
    assert_eq!(open("other", &frame, MAX_FRAME_BYTES), Err(Reject::Hash));
    assert_eq!(open("secret", &frame, frame.len() - 1), Err(Reject::TooLarge));
    let mut other_version = frame.clone();
    other_version[0] += 1;
    assert_eq!(open("secret", &other_version, MAX_FRAME_BYTES), Err(Reject::Version));
}

fn entry(key: u8, revision: u64) -> Entry {
    let value = format!("value of revision {revision}").into();
    Entry { key: format!("key-{key}").into(), value, revision, created: 1 }
}

/// One step of the reader's replica.
#[derive(Clone, Debug)]
enum Step {
    Put(u8),
    Delete(u8),
    /// The store is restored from a copy that lacks the last so many changes.
    Restore(usize),
    /// The reader starts again and lists the store.
    RestartReader,
    /// The follower asks for the changes.
    Ask,
    /// The follower asks without knowing the reader's changes, only its stamp.
    AskByStamp,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_u8..6).prop_map(Step::Put),
        2 => (0_u8..6).prop_map(Step::Delete),
        1 => (0_usize..4).prop_map(Step::Restore),
        1 => Just(Step::RestartReader),
        2 => Just(Step::Ask),
        1 => Just(Step::AskByStamp),
    ]
}

proptest! {
    /// After each request, a follower has exactly the reader's content.
    #[test]
    fn follower_has_the_content_of_its_reader(steps in proptest::collection::vec(step(), 1..60)) {
        let mut reader = Replica::new(1);
        let mut follower = Replica::new(2);
        let mut known: Option<Cursor> = None;
        let mut content: Vec<Entry> = Vec::new();
        let mut stamp = Stamp { era: 1, revision: 1 };
        let mut copies = vec![content.clone()];
        reader.replace(&content, stamp);
        for step in steps {
            match step {
                Step::Put(key) => {
                    stamp.revision += 1;
                    let entry = entry(key, stamp.revision);
                    content.retain(|known| known.key != entry.key);
                    content.push(entry);
                }
                Step::Delete(key) => {
                    stamp.revision += 1;
                    content.retain(|known| *known.key != *format!("key-{key}"));
                }
                Step::Restore(lost) => {
                    copies.truncate(copies.len() - lost.min(copies.len() - 1));
                    content = copies[copies.len() - 1].clone();
                    stamp = Stamp { era: stamp.era + 1, revision: copies.len() as u64 };
                }
                Step::RestartReader => reader = Replica::new(reader.cursor().origin + 2),
                Step::Ask | Step::AskByStamp => {
                    if matches!(step, Step::AskByStamp) {
                        known = Some(follower.cursor()).filter(|at| at.stamp.revision > 0);
                    }
                    let delta = reader.changes_after(known.as_ref(), |_| true);
                    follower.apply(delta, reader.cursor().stamp);
                    known = Some(reader.cursor());
                    prop_assert_eq!(follower.entries(), reader.entries());
                    prop_assert_eq!(follower.cursor().stamp, stamp);
                }
            }
            content.sort_by(|a, b| a.key.cmp(&b.key));
            if stamp.revision > copies.len() as u64 {
                copies.push(content.clone());
            }
            reader.replace(&content, stamp);
        }
    }
}

/// Load: hundreds of followers whose first list is older than their reader's, as when all start. The
/// content must not be sent to each of them again.
#[test]
fn follower_with_an_older_list_gets_only_what_changed() {
    let (mut reader, mut follower) = (Replica::new(1), Replica::new(2));
    let at = |revision| Stamp { era: 1, revision };
    let old: Vec<Entry> = (1..9).map(|key| entry(key, u64::from(key))).collect();
    follower.replace(&old, at(8));
    // Key 3 was deleted and key 9 written before the reader's first list.
    let mut new: Vec<Entry> = old.iter().filter(|entry| entry.revision != 3).cloned().collect();
    new.push(entry(9, 10));
    reader.replace(&new, at(10));
    let delta = reader.changes_after(Some(&follower.cursor()), |_| true);
    assert_eq!((delta.is_complete, delta.changes.len()), (false, 1));
    follower.apply(delta, reader.cursor().stamp);
    assert_eq!(follower.entries(), new);
}

#[test]
fn replica_that_is_behind_takes_nothing_back() {
    let (mut ahead, mut behind) = (Replica::new(1), Replica::new(2));
    let at = |revision| Stamp { era: 1, revision };
    behind.replace(&[entry(1, 2)], at(2));
    ahead.replace(&[entry(1, 3), entry(2, 4)], at(4));
    let delta = behind.changes_after(None, |_| true);
    assert!(!ahead.apply(delta, behind.cursor().stamp));
    assert_eq!(ahead.entries(), [entry(1, 3), entry(2, 4)]);
    assert!(!ahead.put(&entry(1, 2)), "an older value of a key");
    ahead.delete("key-2", 3);
    assert_eq!(ahead.entries().len(), 2, "an older deletion");
}

/// A follower that waits for a newer confirmation must start to count its settling time with its
/// reader, not when the wait ends.
#[tokio::test(start_paused = true)]
async fn follower_is_told_at_once_of_a_restore_that_changes_nothing() {
    let bound = Duration::from_secs(5);
    let freshness = Freshness::new(Arc::new(Manual::new()), bound, bound);
    let shared = Shared::new("one".into(), Arc::new(freshness));
    let at = |era| Stamp { era, revision: 1 };
    shared.replica.lock().replace(&[entry(1, 1)], at(1));
    let cursor = Some(shared.replica.lock().cursor());
    shared.replica.lock().replace(&[entry(1, 1)], at(2));
    let wait = Duration::from_secs(2);
    let request = Follow { cursor, confirmation: None, wait, in_flight: Vec::new() };
    let asked = tokio::time::Instant::now();
    let update = server::answer_follower(&shared, &"two".into(), request, Duration::ZERO).await;
    assert_eq!((asked.elapsed(), update.stamp()), (Duration::ZERO, at(2)));
}

fn report(reporters: &[&str], responses: u32) -> Report {
    let counts = Counts { all: responses, bad: 0 };
    let failures = Comparison { scope: Scope::Broken, new: counts, old: Counts::default() };
    Report {
        reporters: reporters.iter().map(|name| (*name).into()).collect(),
        failures: vec![failures],
        ..Report::default()
    }
}

struct Overlap {
    single: &'static [(&'static str, u32)],
    merged: &'static [(&'static [&'static str], u32)],
    /// Responses that count.
    counted: u32,
}

#[rstest]
#[case::own(Overlap { single: &[("a", 5)], merged: &[], counted: 5 })]
#[case::other_data_centres(Overlap { single: &[("a", 5)], merged: &[(&["b", "c"], 7), (&["d"], 1)], counted: 13 })]
#[case::followers_of_a_failed_reader(Overlap { single: &[("a", 5), ("b", 1)], merged: &[(&["b", "c"], 7)], counted: 12 })]
#[case::outgrown_report_of_a_failed_reader(Overlap { single: &[("a", 5), ("b", 9)], merged: &[(&["b", "c"], 7)], counted: 14 })]
#[case::two_readers_of_one_follower(Overlap { single: &[], merged: &[(&["b", "c"], 7), (&["c", "d"], 4)], counted: 7 })]
fn no_observation_counts_twice(#[case] overlap: Overlap) {
    let single: Vec<Report> =
        overlap.single.iter().map(|(name, responses)| report(&[name], *responses)).collect();
    let merged: Vec<Report> =
        overlap.merged.iter().map(|(names, responses)| report(names, *responses)).collect();
    let chosen = disjoint_reports(single.iter().collect(), merged.iter().collect());
    let counted: u32 = chosen.iter().map(|report| report.response_count()).sum();
    assert_eq!(counted, overlap.counted);
    let mut names: Vec<_> = chosen.iter().flat_map(|report| &report.reporters).collect();
    let count = names.len();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), count, "an instance counts twice");
}
