//! The accepted configuration: its record in the store, its publication and the following of it.

use {
    derive_more::{Display, Error},
    futures::StreamExt,
    hawthornmount_core::{config::Config, id::Revision, merge},
    hawthornmount_store::{self as store, Entry, Event, Store, Txn},
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::{sync::Arc, time::Duration},
};

/// Key of the accepted configuration.
pub const KEY: &str = "/hawthornmount/config";

/// Pause before the store is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Accepted configuration as the store holds it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Record {
    /// Id of the `apply` that wrote it.
    pub apply_id: Arc<str>,
    /// Merged value.
    pub value: Value,
}

/// Configuration with the revision at which it was accepted.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// The revision.
    pub revision: Revision,
    /// The configuration.
    pub config: Arc<Config>,
}

/// Why a configuration was not accepted.
#[derive(Debug, Display, Error)]
pub enum ApplyError {
    /// Another operator was first.
    #[display("revision {current} was accepted meanwhile: look at `config diff` and apply again")]
    Conflict {
        /// Revision in force.
        current: Revision,
    },
    /// The store gave no answer.
    #[display("the change is not known to be in force: run `config show` to see")]
    Store {
        /// Cause.
        source: store::Error,
    },
}

/// Reads the accepted record.
///
/// # Errors
///
/// Returns an error if the store gives no answer or holds something else.
pub async fn read(store: &dyn Store) -> store::Result<Option<(Revision, Record)>> {
    let Some(entry) = store.get(KEY).await? else { return Ok(None) };
    Ok(Some((entry.revision, record(&entry)?)))
}

/// Publishes a merged value if `base` is still the accepted revision; 0 means that there is none.
///
/// # Errors
///
/// Returns an error if another change was accepted meanwhile or the store gives no answer.
pub async fn apply(
    store: &dyn Store,
    value: Value,
    base: Revision,
    apply_id: &str,
) -> Result<Revision, ApplyError> {
    let record = Record { apply_id: apply_id.into(), value };
    let bytes = serde_json::to_vec(&record).unwrap_or_default();
    let txn = if base == 0 { Txn::new().absent(KEY) } else { Txn::new().unchanged(KEY, base) };
    match store.commit(txn.put(KEY, bytes)).await {
        Ok(commit) if commit.applied => Ok(commit.revision),
        Ok(commit) => {
            let current = commit.current.first().map_or(0, |entry| entry.revision);
            Err(ApplyError::Conflict { current })
        }
        Err(error) if error.may_have_applied() => settle(store, apply_id, error).await,
        Err(source) => Err(ApplyError::Store { source }),
    }
}

async fn settle(
    store: &dyn Store,
    apply_id: &str,
    lost: store::Error,
) -> Result<Revision, ApplyError> {
    match read(store).await {
        Ok(Some((revision, record))) if *record.apply_id == *apply_id => Ok(revision),
        Ok(Some((current, _))) => Err(ApplyError::Conflict { current }),
        Ok(None) | Err(_) => Err(ApplyError::Store { source: lost }),
    }
}

/// Follows the accepted configuration and hands each newer one to `accept`; never returns.
pub async fn follow(store: &dyn Store, mut accept: impl FnMut(Accepted)) {
    let mut newest = 0;
    loop {
        if let Err(error) = follow_once(store, &mut newest, &mut accept).await {
            log::warn!("configuration can't be followed, trying again; cause={error}");
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn follow_once(
    store: &dyn Store,
    newest: &mut Revision,
    accept: &mut impl FnMut(Accepted),
) -> store::Result<()> {
    if let Some(entry) = store.get(KEY).await? {
        take(&entry, newest, accept)?;
    }
    let mut watch = store.watch(KEY, *newest + 1).await?;
    while let Some(event) = watch.next().await {
        if let Event::Put(entry) = event? {
            take(&entry, newest, accept)?;
        }
    }
    Ok(())
}

fn take(
    entry: &Entry,
    newest: &mut Revision,
    accept: &mut impl FnMut(Accepted),
) -> store::Result<()> {
    if &*entry.key != KEY || entry.revision <= *newest {
        return Ok(());
    }
    let config = merge::from_value(record(entry)?.value).map_err(|error| protocol(&error))?;
    *newest = entry.revision;
    accept(Accepted { revision: entry.revision, config: Arc::new(config) });
    Ok(())
}

fn record(entry: &Entry) -> store::Result<Record> {
    serde_json::from_slice(&entry.value).map_err(|error| protocol(&error))
}

fn protocol(error: &dyn std::error::Error) -> store::Error {
    store::Error::Protocol { cause: error.to_string().into() }
}
