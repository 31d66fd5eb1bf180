//! Type aliases for identifiers, and a generator of random ids.

use {rand::RngExt, std::sync::Arc};

/// Name of a client account.
pub type AccountId = Arc<str>;
/// Name of a cascade of models.
pub type CascadeId = Arc<str>;
/// Name of a data centre.
pub type DataCentreId = Arc<str>;
/// Name of an entry instance, unique in the fleet and kept over its restarts.
pub type InstanceId = Arc<str>;
/// Incarnation number of an entry instance, which is higher after each restart.
pub type Incarnation = u64;
/// Name of a model.
pub type ModelId = Arc<str>;
/// Name of a region.
pub type RegionId = Arc<str>;
/// Id of one caller's request, unique in the fleet.
pub type RequestId = Arc<str>;
/// Store revision at which a value was last modified.
pub type Revision = u64;
/// Name of a roll-out.
pub type RolloutId = Arc<str>;
/// Name of a backend server.
pub type ServerId = Arc<str>;
/// Name of a service.
pub type ServiceId = Arc<str>;
/// Name of a session, chosen by the caller.
pub type SessionId = Arc<str>;
/// Name of a version of a model.
pub type VersionId = Arc<str>;

/// Hexadecimal digits.
const HEX: &[u8; 16] = b"0123456789abcdef";
/// Random bytes in a generated id.
const RANDOM_BYTES: usize = 16;

/// Returns a new random id that starts with `prefix` and is unique across all instances.
pub fn generate(prefix: &str) -> Arc<str> {
    let bytes: [u8; RANDOM_BYTES] = rand::rng().random();
    let mut text = String::with_capacity(prefix.len() + 1 + 2 * RANDOM_BYTES);
    text.push_str(prefix);
    text.push('-');
    for byte in bytes {
        text.push(char::from(HEX[usize::from(byte >> 4)]));
        text.push(char::from(HEX[usize::from(byte & 0xf)]));
    }
    text.into()
}
