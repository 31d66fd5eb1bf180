//! Decoding of frames: incomplete or inauthentic frames are rejected, and no input causes a panic.

use {
    hawthornmount_fleet::wire::{
        Body, Digest, Frame, Keyring, MAX_DATAGRAM_BYTES, Record, Reject, Standing, Update,
    },
    proptest::prelude::*,
    rstest::rstest,
    std::{net::Ipv4Addr, time::Duration},
};

fn key() -> Keyring {
    Keyring::new("secret of the tests' fleet")
}

fn record(number: u64) -> Record {
    Record {
        id: format!("attica-a-{number}").into(),
        incarnation: number,
        refutation: 7,
        standing: Standing::Suspect,
        data_centre: "attica-a".into(),
        address: (Ipv4Addr::LOCALHOST, 7_000).into(),
    }
}

fn frame() -> Frame {
    Frame {
        from: record(u64::MAX),
        to: "attica-a-2".into(),
        digest: Digest { revision: 12, age: Some(Duration::from_millis(345)), roster: 9 },
        body: Body::Ping(3),
        updates: vec![Update::Member(record(1))],
    }
}

struct Case {
    change: fn(&mut Vec<u8>),
    reject: Reject,
}

#[rstest]
#[case::other_version(Case { change: |bytes| bytes[0] += 1, reject: Reject::Version })]
#[case::other_hash(Case { change: |bytes| bytes[5] ^= 1, reject: Reject::Hash })]
#[case::other_body(Case { change: |bytes| bytes[30] ^= 1, reject: Reject::Hash })]
#[case::truncated(Case { change: |bytes| bytes.truncate(40), reject: Reject::Hash })]
#[case::header_only(Case { change: |bytes| bytes.truncate(16), reject: Reject::TooShort })]
#[case::longer(Case { change: |bytes| bytes.push(0), reject: Reject::Hash })]
#[case::too_large(Case { change: |bytes| bytes.resize(1_201, 0), reject: Reject::TooLarge })]
fn modified_frame_is_rejected(#[case] case: Case) {
    let mut bytes = key().seal(&frame());
    (case.change)(&mut bytes);
    let opened = key().open::<Frame>(&bytes, MAX_DATAGRAM_BYTES);
    assert_eq!(opened.expect_err("rejected"), case.reject);
}

#[test]
fn authentic_frame_with_malformed_body_is_rejected() {
    let bytes = key().seal(&"text");
    assert_eq!(
        key().open::<Frame>(&bytes, MAX_DATAGRAM_BYTES).expect_err("rejected"),
        Reject::Malformed
    );
    let mut trailing = postcard::to_stdvec(&frame()).expect("encodes");
    trailing.push(0);
    let bytes = key().seal(&Raw(trailing));
    assert_eq!(
        key().open::<Frame>(&bytes, MAX_DATAGRAM_BYTES).expect_err("rejected"),
        Reject::Malformed
    );
}

/// Body whose bytes are encoded as they are, without a length.
struct Raw(Vec<u8>);

impl serde::Serialize for Raw {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        use serde::ser::SerializeTuple;
        let mut tuple = serializer.serialize_tuple(self.0.len())?;
        self.0.iter().try_for_each(|byte| tuple.serialize_element(byte))?;
        tuple.end()
    }
}

#[test]
fn frame_round_trips_and_stays_small() {
    let bytes = key().seal(&frame());
    assert_eq!(key().open::<Frame>(&bytes, MAX_DATAGRAM_BYTES).expect("authentic"), frame());
    assert!(bytes.len() < 200, "{} bytes", bytes.len());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_authentic_body_is_decoded_or_rejected(
        body in proptest::collection::vec(any::<u8>(), 0..300),
    ) {
        let bytes = key().seal(&Raw(body));
        if let Ok(decoded) = key().open::<Frame>(&bytes, MAX_DATAGRAM_BYTES) {
            prop_assert_eq!(key().seal(&decoded).is_empty(), false);
        }
    }
}
