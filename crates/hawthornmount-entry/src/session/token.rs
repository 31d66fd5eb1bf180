//! Authenticated tokens in which callers carry the pins of their sessions.

use {
    base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD},
    hawthornmount_core::settings::Settings,
    hawthornmount_ledger::Pin,
    std::sync::Arc,
};

/// Context of the key derivation.
const CONTEXT: &str = "hawthornmount 2026-12 session token";
/// Length of the message authentication code in bytes.
const MAC_BYTES: usize = blake3::OUT_LEN;
/// Length in bytes above which a token is rejected without decoding.
const MAX_TOKEN_BYTES: usize = 2_048;

type Key = [u8; blake3::KEY_LEN];

/// Keys that authenticate tokens, the current one first. A token signed with an older key is valid
/// and is replaced with the next answer by one signed with the current key, so that keys can be
/// rotated one instance at a time.
pub struct Keys {
    keys: Vec<Key>,
}

impl Keys {
    /// Derives the keys from the secrets of the settings.
    pub fn new(settings: &Settings) -> Self {
        let secrets = std::iter::once(&settings.fleet_key).chain(&settings.old_fleet_keys);
        let derive = |secret: &Arc<str>| blake3::derive_key(CONTEXT, secret.as_bytes());
        Self { keys: secrets.map(derive).collect() }
    }

    /// Returns a token that contains `pin`, signed with the current key.
    pub fn sign(&self, pin: &Pin) -> Option<String> {
        let mut bytes = postcard::to_stdvec(pin).ok()?;
        let mac = blake3::keyed_hash(self.keys.first()?, &bytes);
        bytes.extend_from_slice(mac.as_bytes());
        Some(URL_SAFE_NO_PAD.encode(bytes))
    }

    /// Returns the pin in a token, or `None` if no key of the fleet signed the token.
    pub fn verify(&self, token: &str) -> Option<Pin> {
        if token.len() > MAX_TOKEN_BYTES {
            return None;
        }
        let bytes = URL_SAFE_NO_PAD.decode(token).ok()?;
        let (message, mac) = bytes.split_last_chunk::<MAC_BYTES>()?;
        let mac = blake3::Hash::from_bytes(*mac);
        let is_authentic = self.keys.iter().any(|key| blake3::keyed_hash(key, message) == mac);
        if !is_authentic {
            return None;
        }
        postcard::from_bytes(message).ok()
    }
}
