//! Messages of the etcd gateway round-trip through JSON, and corrupted responses are decoded
//! without a panic.

use {
    hawthornmount_store::etcd::wire::{self, Blob, KeyValue},
    proptest::{
        prelude::*,
        test_runner::{TestRng, TestRunner},
    },
};

/// Number of cases of each property; the seed is fixed.
const CASES: u32 = 256;

fn runner() -> TestRunner {
    let config =
        ProptestConfig { cases: CASES, failure_persistence: None, ..ProptestConfig::default() };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    TestRunner::new_with_rng(config, rng)
}

fn key_value() -> impl Strategy<Value = KeyValue> {
    let bytes = || prop::collection::vec(any::<u8>(), 0..40);
    (bytes(), bytes(), any::<u64>(), any::<u64>()).prop_map(
        |(key, value, mod_revision, create_revision)| KeyValue {
            key: Blob(key.into()),
            value: Blob(value.into()),
            mod_revision,
            create_revision,
        },
    )
}

#[test]
fn range_responses_round_trip() {
    let check = |kvs: Vec<KeyValue>| {
        let original = wire::RangeResponse { kvs, more: true, ..wire::RangeResponse::default() };
        let bytes = serde_json::to_vec(&original).expect("the message serialises");
        let decoded: wire::RangeResponse = serde_json::from_slice(&bytes).expect("it decodes");
        prop_assert_eq!(decoded.kvs.len(), original.kvs.len());
        for (decoded, original) in decoded.kvs.iter().zip(&original.kvs) {
            prop_assert_eq!(&decoded.key, &original.key);
            prop_assert_eq!(&decoded.value, &original.value);
            prop_assert_eq!(decoded.mod_revision, original.mod_revision);
            prop_assert_eq!(decoded.create_revision, original.create_revision);
        }
        Ok(())
    };
    let messages = prop::collection::vec(key_value(), 0..4);
    runner().run(&messages, check).expect("the property holds");
}

/// A valid response with one byte changed is decoded or gives an error; a truncated one always
/// gives an error.
#[test]
fn corrupted_responses_decode_or_give_an_error() {
    let check = |(kv, position, byte, truncate): (KeyValue, usize, u8, bool)| {
        let message = wire::WatchResponse {
            created: false,
            events: vec![wire::EventMessage { kind: wire::Kind::Put, kv }],
            ..wire::WatchResponse::default()
        };
        let streamed = wire::Streamed { result: message };
        let mut bytes = serde_json::to_vec(&streamed).expect("the message serialises");
        let position = position % bytes.len();
        if truncate {
            bytes.truncate(position);
        } else {
            bytes[position] = byte;
        }
        let decoded: Result<wire::Streamed<wire::WatchResponse>, _> =
            serde_json::from_slice(&bytes);
        prop_assert!(!truncate || decoded.is_err(), "a truncated response was decoded");
        let _ = serde_json::from_slice::<wire::TxnResponse>(&bytes);
        let _ = serde_json::from_slice::<wire::RangeResponse>(&bytes);
        let _ = serde_json::from_slice::<wire::Streamed<wire::LeaseResponse>>(&bytes);
        Ok(())
    };
    let corruptions = (key_value(), any::<usize>(), any::<u8>(), any::<bool>());
    runner().run(&corruptions, check).expect("the property holds");
}

#[test]
fn prefix_end_bounds_exactly_the_keys_with_the_prefix() {
    let check = |(prefix, suffix, other): (String, String, String)| {
        let end = wire::prefix_end(&prefix).0;
        let inside = format!("{prefix}{suffix}");
        prop_assert!(inside.as_bytes() < &end[..]);
        let follows = other.as_bytes() >= prefix.as_bytes() && !other.starts_with(&*prefix);
        prop_assert!(!follows || other.as_bytes() >= &end[..], "{other} is inside {prefix}");
        Ok(())
    };
    let texts = ("/[a-z/]{1,8}", "[a-z0-9/]{0,8}", "/[a-z/]{0,9}");
    runner().run(&texts, check).expect("the property holds");
}
