//! Frames between instances: a version byte, a keyed BLAKE3 hash and a postcard body, of bounded
//! size.

mod message;

pub use message::{
    Body, Digest, Frame, Outcome, Payload, Query, Record, Request, Response, Standing, Update,
};

use {
    derive_more::{Display, Error},
    serde::{Serialize, de::DeserializeOwned},
};

/// Version of the frame format; frames of another version are dropped.
pub const VERSION: u8 = 1;
/// Largest datagram, small enough to cross usual network paths without IP fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Largest broadcast payload; the rest of a datagram is reserved for the frame's other fields.
pub const MAX_PAYLOAD_BYTES: usize = 900;
/// Largest frame on a connection.
pub const MAX_STREAM_BYTES: usize = 2 << 20;

/// Length of the truncated hash in a frame.
const HASH_BYTES: usize = 16;
/// Length of the frame header: version and hash.
const HEADER_BYTES: usize = 1 + HASH_BYTES;
/// Context string of the BLAKE3 key derivation.
const KEY_CONTEXT: &str = "hawthornmount fleet frames v1";

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum Reject {
    /// The frame exceeds the size limit.
    #[display("too_large")]
    TooLarge,
    /// The frame is shorter than a header.
    #[display("too_short")]
    TooShort,
    /// The frame has another format version.
    #[display("version")]
    Version,
    /// The hash matches none of the fleet's keys.
    #[display("hash")]
    Hash,
    /// The body does not decode to the expected type.
    #[display("form")]
    Malformed,
}

/// Keys that the instances of a fleet share: the active key seals frames, all keys open them.
#[derive(Clone)]
pub struct Keyring {
    active: DerivedKey,
    others: Vec<DerivedKey>,
}

type DerivedKey = [u8; blake3::KEY_LEN];

impl Keyring {
    /// Creates a keyring whose active key is derived from `secret`.
    pub fn new(secret: &str) -> Self {
        Self { active: derive_key(secret), others: Vec::new() }
    }

    /// Adds keys that only open frames, so that the secret can be rotated without downtime.
    #[must_use]
    pub fn with_others<'a>(mut self, secrets: impl IntoIterator<Item = &'a str>) -> Self {
        self.others.extend(secrets.into_iter().map(derive_key));
        self
    }

    /// Encodes a body as a frame with version and hash.
    pub fn seal<T: Serialize>(&self, body: &T) -> Vec<u8> {
        let frame = vec![0; HEADER_BYTES];
        let mut frame = postcard::to_extend(body, frame).unwrap_or_default();
        if frame.len() < HEADER_BYTES {
            return frame;
        }
        frame[0] = VERSION;
        let hash = self.hash(&frame[HEADER_BYTES..]);
        frame[1..HEADER_BYTES].copy_from_slice(&hash);
        frame
    }

    /// Checks and decodes a frame of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns the reason if the frame is too large, malformed or not authentic.
    pub fn open<T: DeserializeOwned>(&self, frame: &[u8], limit: usize) -> Result<T, Reject> {
        if frame.len() > limit {
            return Err(Reject::TooLarge);
        }
        if frame.len() < HEADER_BYTES {
            return Err(Reject::TooShort);
        }
        if frame[0] != VERSION {
            return Err(Reject::Version);
        }
        let (header, body) = frame.split_at(HEADER_BYTES);
        if !self.is_authentic(&header[1..], body) {
            return Err(Reject::Hash);
        }
        match postcard::take_from_bytes(body) {
            Ok((value, [])) => Ok(value),
            _ => Err(Reject::Malformed),
        }
    }

    fn hash(&self, body: &[u8]) -> [u8; HASH_BYTES] {
        hash(&self.active, body)
    }

    fn is_authentic(&self, given: &[u8], body: &[u8]) -> bool {
        let mut keys = std::iter::once(&self.active).chain(&self.others);
        keys.any(|key| is_equal(&hash(key, body), given))
    }
}

fn derive_key(secret: &str) -> DerivedKey {
    blake3::derive_key(KEY_CONTEXT, secret.as_bytes())
}

fn hash(key: &DerivedKey, body: &[u8]) -> [u8; HASH_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&[VERSION]);
    hasher.update(body);
    let mut hash = [0; HASH_BYTES];
    hash.copy_from_slice(&hasher.finalize().as_bytes()[..HASH_BYTES]);
    hash
}

/// Compares two hashes in constant time.
fn is_equal(expected: &[u8; HASH_BYTES], given: &[u8]) -> bool {
    let difference = expected.iter().zip(given).fold(0, |difference, (a, b)| difference | (a ^ b));
    difference == 0 && given.len() == HASH_BYTES
}
