//! [`Store`] over the etcd v3 JSON gateway.

pub mod wire;

mod watch;

use {
    crate::{
        Commit, Compare, Entry, Error, LeaseId, Page, Result, Stamp, Store, Txn, Watch, Write,
    },
    async_trait::async_trait,
    hawthornmount_core::id::Revision,
    hawthornmount_http::client::{self, Client},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    wire::{Blob, CompareMessage, KeyValue, Operation, Target},
};

/// Default timeout of one call to the store.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Client of an etcd v3 JSON gateway that is available at several addresses.
///
/// Calls use one address until a call to it fails, then the next one.
pub struct Etcd {
    client: Client,
    addresses: Vec<SocketAddr>,
    /// Number of address changes so far; modulo the number of addresses it is the index of the one
    /// in use.
    current: AtomicUsize,
    timeout: Duration,
}

impl Etcd {
    /// Creates a client of the gateways at `addresses`.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            client: Client::new(),
            addresses,
            current: AtomicUsize::new(0),
            timeout: CALL_TIMEOUT,
        }
    }

    /// Sets the timeout of one call to the store.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    fn address(&self) -> Result<SocketAddr> {
        let index = self.current.load(Ordering::Relaxed);
        self.addresses
            .get(index % self.addresses.len().max(1))
            .copied()
            .ok_or_else(|| Error::Unreachable { cause: "no address of the store is set".into() })
    }

    /// Posts `message`. A call that can't connect is sent to the next address, until all addresses
    /// were tried; other errors are returned at once, because the call may have taken effect.
    async fn post<T: Serialize + Sync, R: DeserializeOwned>(
        &self,
        path: &str,
        message: &T,
    ) -> Result<R> {
        let mut last_error = Error::Unreachable { cause: "no address of the store is set".into() };
        for _ in 0..self.addresses.len() {
            match self.client.post(self.address()?, path, message, self.timeout).await {
                Ok(response) => return Ok(response),
                Err(error) => last_error = from_client_error(&error),
            }
            self.current.fetch_add(1, Ordering::Relaxed);
            if !matches!(last_error, Error::Unreachable { .. }) {
                break;
            }
        }
        Err(last_error)
    }
}

#[async_trait]
impl Store for Etcd {
    async fn get(&self, key: &str) -> Result<Option<Entry>> {
        let request = wire::RangeRequest { key: Blob::text(key), range_end: None, limit: 1 };
        let response: wire::RangeResponse = self.post("/v3/kv/range", &request).await?;
        Ok(response.kvs.into_iter().next().map(to_entry))
    }

    async fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> Result<Page> {
        // A zero byte appended to a key gives the next possible key.
        let first_key = after.map_or_else(|| prefix.to_owned(), |after| format!("{after}\0"));
        let request = wire::RangeRequest {
            key: Blob::text(&first_key),
            range_end: Some(wire::prefix_end(prefix)),
            limit: limit as u64,
        };
        let response: wire::RangeResponse = self.post("/v3/kv/range", &request).await?;
        Ok(Page {
            entries: response.kvs.into_iter().map(to_entry).collect(),
            more: response.more,
            stamp: Stamp { era: 0, revision: response.header.revision },
        })
    }

    async fn commit(&self, txn: Txn) -> Result<Commit> {
        let response: wire::TxnResponse = self.post("/v3/kv/txn", &txn_request(&txn)).await?;
        let current = response
            .responses
            .into_iter()
            .filter_map(|response| response.response_range)
            .flat_map(|range| range.kvs)
            .map(to_entry)
            .collect();
        Ok(Commit { applied: response.succeeded, revision: response.header.revision, current })
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId> {
        let ttl = i64::try_from(ttl.as_secs().max(1)).unwrap_or(i64::MAX);
        let response: wire::LeaseResponse =
            self.post("/v3/lease/grant", &wire::GrantRequest { ttl }).await?;
        Ok(response.id)
    }

    async fn keep_alive(&self, lease: LeaseId) -> Result<Duration> {
        let response: wire::Streamed<wire::LeaseResponse> =
            self.post("/v3/lease/keepalive", &wire::LeaseRequest { id: lease }).await?;
        Ok(Duration::from_secs(u64::try_from(response.result.ttl).unwrap_or(0)))
    }

    async fn revoke(&self, lease: LeaseId) -> Result<()> {
        let _: serde_json::Value =
            self.post("/v3/lease/revoke", &wire::LeaseRequest { id: lease }).await?;
        Ok(())
    }

    async fn watch(&self, prefix: &str, from: Revision) -> Result<Watch> {
        watch::open(&self.client, self.address()?, prefix, from, self.timeout).await
    }
}

fn to_entry(kv: KeyValue) -> Entry {
    Entry {
        key: kv.key.to_text().into(),
        value: kv.value.0,
        revision: kv.mod_revision,
        created: kv.create_revision,
    }
}

/// Converts a transaction. If its guards do not hold, the request reads the guarded keys, for
/// [`Commit::current`].
fn txn_request(txn: &Txn) -> wire::TxnRequest {
    wire::TxnRequest {
        compare: txn.guards.iter().map(compare_message).collect(),
        success: txn.writes.iter().map(write_operation).collect(),
        failure: txn.guards.iter().map(|guard| read_operation(&guard.key)).collect(),
    }
}

fn compare_message(guard: &crate::Guard) -> CompareMessage {
    let message = CompareMessage {
        result: "EQUAL".to_owned(),
        key: Blob::text(&guard.key),
        ..CompareMessage::default()
    };
    match &guard.compare {
        Compare::Absent => {
            CompareMessage { target: Target::Create, create_revision: Some(0), ..message }
        }
        Compare::Unchanged(revision) => {
            CompareMessage { target: Target::Mod, mod_revision: Some(*revision), ..message }
        }
        Compare::Value(value) => {
            CompareMessage { target: Target::Value, value: Some(Blob(value.clone())), ..message }
        }
    }
}

fn write_operation(write: &Write) -> Operation {
    match write {
        Write::Put(put) => Operation {
            request_put: Some(wire::PutRequest {
                key: Blob::text(&put.key),
                value: Blob(put.value.clone()),
                lease: put.lease,
            }),
            ..Operation::default()
        },
        Write::Delete(key) => Operation {
            request_delete_range: Some(wire::DeleteRequest { key: Blob::text(key) }),
            ..Operation::default()
        },
    }
}

fn read_operation(key: &str) -> Operation {
    let range = wire::RangeRequest { key: Blob::text(key), range_end: None, limit: 1 };
    Operation { request_range: Some(range), ..Operation::default() }
}

fn from_client_error(error: &client::Error) -> Error {
    let cause: Arc<str> = error.to_string().into();
    match error {
        client::Error::Connect { .. } => Error::Unreachable { cause },
        client::Error::Broken { .. } | client::Error::Timeout { .. } => {
            Error::ResponseLost { cause }
        }
        client::Error::Protocol { .. } => Error::Protocol { cause },
    }
}
