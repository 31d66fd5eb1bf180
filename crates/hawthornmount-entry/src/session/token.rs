//! Authenticated tokens with which a caller brings its session's version along.

use {
    base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD},
    hawthornmount_core::settings::Settings,
    hawthornmount_ledger::Pin,
    std::sync::Arc,
};

/// Context of the key derivation.
const CONTEXT: &str = "hawthornmount 2026-12 session token";
/// Bytes of the authentication code.
const CODE_BYTES: usize = blake3::OUT_LEN;
/// Largest token that is looked at, in bytes.
const MAX_TOKEN: usize = 2_048;

type Key = [u8; blake3::KEY_LEN];

/// Keys of tokens, the present one first. A token of an older key is valid and is replaced by one
/// of the present key with the next answer, so that keys can be rotated one instance at a time.
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

    /// Returns the token of a pin.
    pub fn sign(&self, pin: &Pin) -> Option<String> {
        let mut bytes = postcard::to_stdvec(pin).ok()?;
        let code = blake3::keyed_hash(self.keys.first()?, &bytes);
        bytes.extend_from_slice(code.as_bytes());
        Some(URL_SAFE_NO_PAD.encode(bytes))
    }

    /// Returns the pin of a token; nothing if no key of the fleet made it.
    pub fn verify(&self, token: &str) -> Option<Pin> {
        if token.len() > MAX_TOKEN {
            return None;
        }
        let bytes = URL_SAFE_NO_PAD.decode(token).ok()?;
        let (message, code) = bytes.split_last_chunk::<CODE_BYTES>()?;
        let code = blake3::Hash::from_bytes(*code);
        let is_ours = self.keys.iter().any(|key| blake3::keyed_hash(key, message) == code);
        if !is_ours {
            return None;
        }
        postcard::from_bytes(message).ok()
    }
}
