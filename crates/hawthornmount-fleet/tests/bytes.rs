//! Properties of frames: a sealed frame opens only with its own key, and damaged bytes are
//! rejected.

use {
    hawthornmount_fleet::wire::{Frame, Keyring},
    proptest::{
        prelude::*,
        test_runner::{TestRng, TestRunner},
    },
};

/// Number of cases of each property; the random generator has a fixed seed.
const CASES: u32 = 256;
/// Largest frame that is opened, in bytes.
const MAX_FRAME_BYTES: usize = 65_536;

fn runner() -> TestRunner {
    let config =
        ProptestConfig { cases: CASES, failure_persistence: None, ..ProptestConfig::default() };
    let rng = TestRng::deterministic_rng(config.rng_algorithm);
    TestRunner::new_with_rng(config, rng)
}

#[test]
fn arbitrary_bytes_are_rejected() {
    let key = Keyring::new("the key of the test's fleet");
    let check = |bytes: Vec<u8>| {
        prop_assert!(
            key.open::<Frame>(&bytes, MAX_FRAME_BYTES).is_err(),
            "unsealed bytes were accepted"
        );
        Ok(())
    };
    let bytes = prop::collection::vec(any::<u8>(), 0..400);
    runner().run(&bytes, check).expect("arbitrary bytes are rejected");
}

#[test]
fn damaged_frame_or_another_key_is_rejected() {
    let (key, other) =
        (Keyring::new("the key of the test's fleet"), Keyring::new("another fleet's key"));
    let check = |(text, at, change): (String, usize, u8)| {
        let sealed = key.seal(&text);
        prop_assert_eq!(key.open::<String>(&sealed, MAX_FRAME_BYTES).ok(), Some(text));
        prop_assert!(other.open::<String>(&sealed, MAX_FRAME_BYTES).is_err());
        let mut damaged = sealed.clone();
        let at = at % damaged.len();
        damaged[at] ^= change;
        prop_assert!(key.open::<String>(&damaged, MAX_FRAME_BYTES).is_err());
        prop_assert!(key.open::<String>(&sealed[..at], MAX_FRAME_BYTES).is_err());
        Ok(())
    };
    let damage = (".{0,60}", any::<usize>(), 1u8..);
    runner().run(&damage, check).expect("damaged frames are rejected");
}
