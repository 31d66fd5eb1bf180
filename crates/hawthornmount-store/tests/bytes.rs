//! Readers of the store's answers take any bytes without a panic, and what is written reads back.

use {
    hawthornmount_store::etcd::wire::{self, Blob, KeyValue},
    proptest::{
        prelude::*,
        test_runner::{TestRng, TestRunner},
    },
};

/// Cases of each property; the seed is fixed.
const CASES: u32 = 256;

fn runner() -> TestRunner {
    let config =
        ProptestConfig { cases: CASES, failure_persistence: None, ..ProptestConfig::default() };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    TestRunner::new_with_rng(config, rng)
}

fn key_value() -> impl Strategy<Value = KeyValue> {
    let bytes = || prop::collection::vec(any::<u8>(), 0..40);
    (bytes(), bytes(), any::<u64>(), any::<u64>()).prop_map(|(key, value, changed, created)| {
        KeyValue {
            key: Blob(key.into()),
            value: Blob(value.into()),
            mod_revision: changed,
            create_revision: created,
        }
    })
}

#[test]
fn a_range_reads_back_as_written() {
    let check = |kvs: Vec<KeyValue>| {
        let written = wire::RangeResponse { kvs, more: true, ..wire::RangeResponse::default() };
        let bytes = serde_json::to_vec(&written).expect("the message can be written");
        let read: wire::RangeResponse = serde_json::from_slice(&bytes).expect("it reads back");
        prop_assert_eq!(read.kvs.len(), written.kvs.len());
        for (read, written) in read.kvs.iter().zip(&written.kvs) {
            prop_assert_eq!(&read.key, &written.key);
            prop_assert_eq!(&read.value, &written.value);
            prop_assert_eq!(read.mod_revision, written.mod_revision);
            prop_assert_eq!(read.create_revision, written.create_revision);
        }
        Ok(())
    };
    let messages = prop::collection::vec(key_value(), 0..4);
    runner().run(&messages, check).expect("the message holds");
}

/// A byte of a valid answer is changed, or the answer is cut: it reads or it is refused.
#[test]
fn damaged_answers_are_read_or_refused() {
    let check = |(kv, at, byte, cut): (KeyValue, usize, u8, bool)| {
        let message = wire::WatchResponse {
            created: false,
            events: vec![wire::EventMessage { kind: wire::Kind::Put, kv }],
            ..wire::WatchResponse::default()
        };
        let streamed = wire::Streamed { result: message };
        let mut bytes = serde_json::to_vec(&streamed).expect("the message can be written");
        let at = at % bytes.len();
        if cut {
            bytes.truncate(at);
        } else {
            bytes[at] = byte;
        }
        let read: Result<wire::Streamed<wire::WatchResponse>, _> = serde_json::from_slice(&bytes);
        prop_assert!(!cut || read.is_err(), "a cut answer was read");
        let _ = serde_json::from_slice::<wire::TxnResponse>(&bytes);
        let _ = serde_json::from_slice::<wire::RangeResponse>(&bytes);
        let _ = serde_json::from_slice::<wire::Streamed<wire::LeaseResponse>>(&bytes);
        Ok(())
    };
    let damage = (key_value(), any::<usize>(), any::<u8>(), any::<bool>());
    runner().run(&damage, check).expect("the reader holds");
}

#[test]
fn the_end_of_a_prefix_follows_all_its_keys_and_no_other() {
    let check = |(prefix, rest, other): (String, String, String)| {
        let end = wire::prefix_end(&prefix).0;
        let inside = format!("{prefix}{rest}");
        prop_assert!(inside.as_bytes() < &end[..]);
        let outside = other.as_bytes() >= prefix.as_bytes() && !other.starts_with(&*prefix);
        prop_assert!(!outside || other.as_bytes() >= &end[..], "{other} is inside {prefix}");
        Ok(())
    };
    let texts = ("/[a-z/]{1,8}", "[a-z0-9/]{0,8}", "/[a-z/]{0,9}");
    runner().run(&texts, check).expect("the end holds");
}
