//! Frames between instances: a version, a keyed BLAKE3 hash and a postcard body, all bounded.

mod message;

pub use message::{
    Answer, Body, Digest, Frame, Outcome, Payload, Question, Record, Request, Rumour, Standing,
};

use {
    derive_more::{Display, Error},
    serde::{Serialize, de::DeserializeOwned},
};

/// Version of the frames; others are dropped.
pub const VERSION: u8 = 1;
/// Largest datagram, in bytes, so that it fits the usual path without fragments.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Largest payload that is spread, in bytes; the rest of a datagram is for the frame's head.
pub const MAX_PAYLOAD_BYTES: usize = 900;
/// Largest frame of a connection, in bytes.
pub const MAX_STREAM_BYTES: usize = 2 << 20;

/// Bytes of the hash in a frame.
const HASH_BYTES: usize = 16;
/// Bytes before the body.
const HEAD_BYTES: usize = 1 + HASH_BYTES;
/// Context of the key's derivation.
const KEY_CONTEXT: &str = "hawthornmount fleet frames v1";

/// Why a frame was dropped.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum Reject {
    /// It is larger than the bound.
    #[display("too_large")]
    TooLarge,
    /// It ends before its body.
    #[display("too_short")]
    TooShort,
    /// It is of another version.
    #[display("version")]
    Version,
    /// Its hash is not made with the fleet's key.
    #[display("hash")]
    Hash,
    /// Its body has another form.
    #[display("form")]
    Form,
}

/// Keys that the instances of a fleet share: one seals, all open.
#[derive(Clone)]
pub struct Key {
    present: Secret,
    others: Vec<Secret>,
}

type Secret = [u8; blake3::KEY_LEN];

impl Key {
    /// Derives the key from the secret of the settings.
    pub fn new(secret: &str) -> Self {
        Self { present: derive(secret), others: Vec::new() }
    }

    /// Opens frames of these secrets too, so that a fleet can change its secret while it runs.
    #[must_use]
    pub fn with_others<'a>(mut self, secrets: impl IntoIterator<Item = &'a str>) -> Self {
        self.others.extend(secrets.into_iter().map(derive));
        self
    }

    /// Encodes a body with version and hash.
    pub fn seal<T: Serialize>(&self, body: &T) -> Vec<u8> {
        let frame = vec![0; HEAD_BYTES];
        let mut frame = postcard::to_extend(body, frame).unwrap_or_default();
        if frame.len() < HEAD_BYTES {
            return frame;
        }
        frame[0] = VERSION;
        let hash = self.hash(&frame[HEAD_BYTES..]);
        frame[1..HEAD_BYTES].copy_from_slice(&hash);
        frame
    }

    /// Checks and decodes a frame of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns the reason to drop the frame.
    pub fn open<T: DeserializeOwned>(&self, frame: &[u8], limit: usize) -> Result<T, Reject> {
        if frame.len() > limit {
            return Err(Reject::TooLarge);
        }
        if frame.len() < HEAD_BYTES {
            return Err(Reject::TooShort);
        }
        if frame[0] != VERSION {
            return Err(Reject::Version);
        }
        let (head, body) = frame.split_at(HEAD_BYTES);
        if !self.is_genuine(&head[1..], body) {
            return Err(Reject::Hash);
        }
        match postcard::take_from_bytes(body) {
            Ok((value, [])) => Ok(value),
            _ => Err(Reject::Form),
        }
    }

    fn hash(&self, body: &[u8]) -> [u8; HASH_BYTES] {
        hash(&self.present, body)
    }

    fn is_genuine(&self, given: &[u8], body: &[u8]) -> bool {
        let mut secrets = std::iter::once(&self.present).chain(&self.others);
        secrets.any(|secret| is_equal(&hash(secret, body), given))
    }
}

fn derive(secret: &str) -> Secret {
    blake3::derive_key(KEY_CONTEXT, secret.as_bytes())
}

fn hash(secret: &Secret, body: &[u8]) -> [u8; HASH_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(secret);
    hasher.update(&[VERSION]);
    hasher.update(body);
    let mut hash = [0; HASH_BYTES];
    hash.copy_from_slice(&hasher.finalize().as_bytes()[..HASH_BYTES]);
    hash
}

/// Compares in constant time.
fn is_equal(wanted: &[u8; HASH_BYTES], given: &[u8]) -> bool {
    let differing = wanted.iter().zip(given).fold(0, |differing, (a, b)| differing | (a ^ b));
    differing == 0 && given.len() == HASH_BYTES
}
