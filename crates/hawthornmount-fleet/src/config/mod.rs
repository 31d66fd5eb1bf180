//! The accepted configuration: its record in the store, its publication and the following of it.

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

/// Key of the accepted configuration.
pub const KEY: &str = "/hawthornmount/config";

/// Key of the id of the accepted `apply`, written together with [`KEY`]: its revision is the
/// configuration's, and it is small to read.
pub const HEAD_KEY: &str = "/hawthornmount/config/head";

/// Reads the accepted record.
///
/// # Errors
///
/// Returns an error if the store gives no answer or holds something else.
pub async fn read(store: &dyn Store) -> store::Result<Option<(Revision, Record)>> {
    let Some(entry) = store.get(KEY).await? else { return Ok(None) };
    Ok(Some((entry.revision, decode(&entry)?)))
}

fn decode(entry: &Entry) -> store::Result<Record> {
    Record::decode(&entry.value).map_err(|error| protocol(&error))
}

fn protocol(error: &dyn std::error::Error) -> store::Error {
    store::Error::Protocol { cause: error.to_string().into() }
}
