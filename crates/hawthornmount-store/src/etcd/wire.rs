//! Messages of the etcd v3 JSON gateway, as its published API describes them.
//!
//! Bytes are encoded as base64 strings and 64-bit integers as decimal strings.

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::Bytes,
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _},
    serde_with::{DisplayFromStr, serde_as, skip_serializing_none},
};

/// Bytes that are encoded as base64.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Blob(pub Bytes);

impl Blob {
    /// Creates a blob from text.
    pub fn text(text: &str) -> Self {
        Self(Bytes::copy_from_slice(text.as_bytes()))
    }

    /// Returns the bytes as text, with invalid UTF-8 sequences replaced.
    pub fn to_text(&self) -> String {
        String::from_utf8_lossy(&self.0).into_owned()
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(|bytes| Self(bytes.into())).map_err(D::Error::custom)
    }
}

/// Header of every response.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Header {
    /// Revision of the store.
    #[serde_as(as = "DisplayFromStr")]
    pub revision: u64,
}

/// Key with its value and revisions.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Blob,
    /// The value.
    pub value: Blob,
    /// Revision at which the key was last changed.
    #[serde_as(as = "DisplayFromStr")]
    pub mod_revision: u64,
    /// Revision at which the key was created.
    #[serde_as(as = "DisplayFromStr")]
    pub create_revision: u64,
}

/// Request of `POST /v3/kv/range`: reads a range of keys.
#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key of the range.
    pub key: Blob,
    /// End of the range, exclusive; absent for the first key only.
    pub range_end: Option<Blob>,
    /// Maximum number of keys; 0 for no limit.
    #[serde_as(as = "DisplayFromStr")]
    pub limit: u64,
}

/// Response to [`RangeRequest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Header of the response.
    pub header: Header,
    /// Keys in ascending order.
    pub kvs: Vec<KeyValue>,
    /// Whether the range has further keys.
    pub more: bool,
}

/// Property of a key that a comparison tests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// Revision at which the key was created; 0 for a key that does not exist.
    #[default]
    Create,
    /// Revision at which the key was last changed.
    Mod,
    /// The value.
    Value,
}

/// Equality test on one key.
#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct CompareMessage {
    /// Comparison operator; always `EQUAL`.
    pub result: String,
    /// Property that is compared.
    pub target: Target,
    /// The key.
    pub key: Blob,
    /// Expected creation revision, for [`Target::Create`].
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub create_revision: Option<u64>,
    /// Expected revision of the last change, for [`Target::Mod`].
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub mod_revision: Option<u64>,
    /// Expected value, for [`Target::Value`].
    pub value: Option<Blob>,
}

/// Write of a value to one key.
#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Blob,
    /// The value.
    pub value: Blob,
    /// Lease that the key is attached to.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub lease: Option<i64>,
}

/// Deletion of one key.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// The key.
    pub key: Blob,
}

/// Operation of a transaction; exactly one field is set.
#[skip_serializing_none]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Operation {
    /// Read operation.
    #[serde(alias = "requestRange")]
    pub request_range: Option<RangeRequest>,
    /// Put operation.
    #[serde(alias = "requestPut")]
    pub request_put: Option<PutRequest>,
    /// Delete operation.
    #[serde(alias = "requestDeleteRange")]
    pub request_delete_range: Option<DeleteRequest>,
}

/// Request of `POST /v3/kv/txn`: runs a transaction.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Comparisons that select the operations to run.
    pub compare: Vec<CompareMessage>,
    /// Operations to run if all comparisons hold.
    pub success: Vec<Operation>,
    /// Operations to run if a comparison does not hold.
    pub failure: Vec<Operation>,
}

/// Response to one operation of a transaction.
#[skip_serializing_none]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct OperationResponse {
    /// Response to a read operation; absent for other operations.
    pub response_range: Option<RangeResponse>,
}

/// Response to [`TxnRequest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Header of the response.
    pub header: Header,
    /// Whether all comparisons held.
    pub succeeded: bool,
    /// Responses to the operations, in their order.
    pub responses: Vec<OperationResponse>,
}

/// Request of `POST /v3/lease/grant`: creates a lease.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct GrantRequest {
    /// Time to live, in seconds.
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub ttl: i64,
}

/// Request of `POST /v3/lease/keepalive` and `POST /v3/lease/revoke`.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Id of the lease.
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub id: i64,
}

/// Response to the creation or renewal of a lease.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// Id of the lease.
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub id: i64,
    /// Time to live, in seconds.
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub ttl: i64,
}

/// Envelope of each message of a streaming response.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Streamed<T> {
    /// The message.
    pub result: T,
}

/// Parameters of a new watch.
#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key of the range.
    pub key: Blob,
    /// End of the range, exclusive; absent for the first key only.
    pub range_end: Option<Blob>,
    /// Revision from which changes are reported.
    #[serde_as(as = "DisplayFromStr")]
    pub start_revision: u64,
    /// Whether the store sends progress messages while there are no changes.
    pub progress_notify: bool,
}

/// Request of `POST /v3/watch`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Parameters of the watch.
    pub create_request: WatchCreate,
}

/// Kind of change that an event reports.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Kind {
    /// A value was written.
    #[default]
    Put,
    /// The key was deleted.
    Delete,
}

/// Change that a watch reports.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct EventMessage {
    /// Kind of the change.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// The key; its value is set only if the key was not deleted.
    pub kv: KeyValue,
}

/// Message of a watch.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Header of the response.
    pub header: Header,
    /// Whether this message confirms that the watch was created.
    pub created: bool,
    /// Whether the store has ended the watch.
    pub canceled: bool,
    /// Oldest available revision if the watch was to start before it, else 0.
    #[serde_as(as = "DisplayFromStr")]
    pub compact_revision: u64,
    /// Changes in order of revision.
    pub events: Vec<EventMessage>,
}

/// Returns the exclusive end of the range of all keys that start with `prefix`.
///
/// If the prefix is empty or all its bytes are 255, this is a zero byte, with which etcd reads
/// all keys from the start of the range on.
pub fn prefix_end(prefix: &str) -> Blob {
    let mut bytes = prefix.as_bytes().to_vec();
    while let Some(last) = bytes.pop() {
        if last < u8::MAX {
            bytes.push(last + 1);
            return Blob(bytes.into());
        }
    }
    Blob(Bytes::from_static(&[0]))
}
