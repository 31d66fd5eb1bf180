//! Messages of the etcd v3 JSON gateway, as its published API describes them: bytes are base64
//! and 64-bit numbers are text.

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::Bytes,
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _},
    serde_with::{DisplayFromStr, serde_as, skip_serializing_none},
};

/// Bytes that travel as base64.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Blob(pub Bytes);

impl Blob {
    /// Creates a blob from text.
    pub fn text(text: &str) -> Self {
        Self(Bytes::copy_from_slice(text.as_bytes()))
    }

    /// Returns the bytes as text, with invalid parts replaced.
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

/// Head of every answer.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Header {
    /// Revision of the store.
    #[serde_as(as = "DisplayFromStr")]
    pub revision: u64,
}

/// A key with its value.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key.
    pub key: Blob,
    /// The value.
    pub value: Blob,
    /// Revision of the last change.
    #[serde_as(as = "DisplayFromStr")]
    pub mod_revision: u64,
    /// Revision of the creation.
    #[serde_as(as = "DisplayFromStr")]
    pub create_revision: u64,
}

/// `POST /v3/kv/range`.
#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key.
    pub key: Blob,
    /// Key after the last one.
    pub range_end: Option<Blob>,
    /// Most keys; 0 means all.
    #[serde_as(as = "DisplayFromStr")]
    pub limit: u64,
}

/// Answer to [`RangeRequest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Head.
    pub header: Header,
    /// Keys in order.
    pub kvs: Vec<KeyValue>,
    /// Whether there are more.
    pub more: bool,
}

/// What a comparison looks at.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// Revision of the creation; 0 for a key that does not exist.
    #[default]
    Create,
    /// Revision of the last change.
    Mod,
    /// The value.
    Value,
}

/// A comparison of one key for equality.
#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct CompareMessage {
    /// Always `EQUAL`.
    pub result: String,
    /// What is compared.
    pub target: Target,
    /// The key.
    pub key: Blob,
    /// Expected revision of the creation.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub create_revision: Option<u64>,
    /// Expected revision of the last change.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub mod_revision: Option<u64>,
    /// Expected value.
    pub value: Option<Blob>,
}

/// A put.
#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key.
    pub key: Blob,
    /// The value.
    pub value: Blob,
    /// Lease that the key hangs on.
    #[serde_as(as = "Option<DisplayFromStr>")]
    pub lease: Option<i64>,
}

/// A deletion.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct DeleteRequest {
    /// The key.
    pub key: Blob,
}

/// One operation of a transaction; exactly one field is set.
#[skip_serializing_none]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Operation {
    /// A read.
    #[serde(alias = "requestRange")]
    pub request_range: Option<RangeRequest>,
    /// A put.
    #[serde(alias = "requestPut")]
    pub request_put: Option<PutRequest>,
    /// A deletion.
    #[serde(alias = "requestDeleteRange")]
    pub request_delete_range: Option<DeleteRequest>,
}

/// `POST /v3/kv/txn`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnRequest {
    /// What has to hold.
    pub compare: Vec<CompareMessage>,
    /// What is done then.
    pub success: Vec<Operation>,
    /// What is done else.
    pub failure: Vec<Operation>,
}

/// Answer to one operation of a transaction.
#[skip_serializing_none]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct OperationResponse {
    /// Answer to a read.
    pub response_range: Option<RangeResponse>,
}

/// Answer to [`TxnRequest`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Head.
    pub header: Header,
    /// Whether the comparisons held.
    pub succeeded: bool,
    /// Answers to the operations.
    pub responses: Vec<OperationResponse>,
}

/// `POST /v3/lease/grant`.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct GrantRequest {
    /// Time to live, in seconds.
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub ttl: i64,
}

/// `POST /v3/lease/keepalive` and `POST /v3/lease/revoke`.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub id: i64,
}

/// Answer about a lease.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// The lease.
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub id: i64,
    /// Time to live, in seconds.
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub ttl: i64,
}

/// One message of an answer that streams.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Streamed<T> {
    /// The message.
    pub result: T,
}

/// Start of a watch.
#[serde_as]
#[skip_serializing_none]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchCreate {
    /// First key.
    pub key: Blob,
    /// Key after the last one.
    pub range_end: Option<Blob>,
    /// First revision.
    #[serde_as(as = "DisplayFromStr")]
    pub start_revision: u64,
    /// Whether idle watches get messages of progress.
    pub progress_notify: bool,
}

/// `POST /v3/watch`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Start of the watch.
    pub create_request: WatchCreate,
}

/// Kind of a change.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Kind {
    /// A put.
    #[default]
    Put,
    /// A deletion.
    Delete,
}

/// A change that a watch saw.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct EventMessage {
    /// Kind of the change.
    #[serde(rename = "type")]
    pub kind: Kind,
    /// The key, with its value unless it was deleted.
    pub kv: KeyValue,
}

/// One message of a watch.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Head.
    pub header: Header,
    /// Whether this answers the start of the watch.
    pub created: bool,
    /// Whether the watch has ended.
    pub canceled: bool,
    /// Oldest revision that is kept, if the watch started before it.
    #[serde_as(as = "DisplayFromStr")]
    pub compact_revision: u64,
    /// Changes in order.
    pub events: Vec<EventMessage>,
}

/// Returns the key after every key that starts with `prefix`.
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
