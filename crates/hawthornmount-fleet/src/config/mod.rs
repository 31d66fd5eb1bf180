//! The accepted configuration: its record in the store, its publication, and its propagation to the
//! instances.

mod apply;
mod follower;
mod record;
mod start;
mod watch;

pub use {
    apply::{ApplyError, apply},
    follower::{Follower, ROLE, WATCHERS_PER_DATA_CENTRE},
    record::{Accepted, DecodeError, Record},
};

use {
    hawthornmount_core::id::Revision,
    hawthornmount_store::{self as store, Entry, Store},
};

/// Store key of the accepted configuration.
pub const KEY: &str = "/hawthornmount/config";

/// Store key of the id of the accepted `apply`, written in the same transaction as [`KEY`] and thus
/// at the same revision; it is cheaper to read than the configuration.
pub const HEAD_KEY: &str = "/hawthornmount/config/head";

/// Reads the accepted record from the store.
///
/// # Errors
///
/// Returns an error if the store does not answer or its entry is not a valid record.
pub async fn read(store: &dyn Store) -> store::Result<Option<(Revision, Record)>> {
    let Some(entry) = store.get(KEY).await? else { return Ok(None) };
    Ok(Some((entry.revision, decode(&entry)?)))
}

fn decode(entry: &Entry) -> store::Result<Record> {
    Record::decode(&entry.value).map_err(|error| protocol_error(&error))
}

fn protocol_error(error: &dyn std::error::Error) -> store::Error {
    store::Error::Protocol { cause: error.to_string().into() }
}
