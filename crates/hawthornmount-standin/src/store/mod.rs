//! Stand-in for the platform's key-value service: the etcd v3 JSON gateway over an in-memory store.

mod faults;

pub use faults::Faults;

use {
    crate::http::{empty, json},
    async_trait::async_trait,
    faults::Outcome,
    futures::{StreamExt, stream},
    hawthornmount_http::{
        Request, Response, StatusCode,
        body::{self, Chunk},
        server::{self, Handler, ListenError, Server},
    },
    hawthornmount_store::{
        Compare, Entry, Error, Event, Store as _, Txn, Watch,
        etcd::wire::{self, Blob, KeyValue},
        memory::Memory,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::mpsc,
};

/// Capacity of the channel between a watch and its response body, in lines.
const WATCH_BUFFER_LENGTH: usize = 64;

/// Stand-in for the key-value service.
pub struct Store {
    server: Server,
    memory: Arc<Memory>,
    faults: Arc<Faults>,
}

impl Store {
    /// Starts the stand-in on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub async fn start(address: SocketAddr) -> Result<Self, ListenError> {
        let memory = Arc::new(Memory::new());
        let faults = Arc::new(Faults::default());
        let gateway = Gateway { memory: memory.clone(), faults: faults.clone() };
        let server = Server::start(address, Arc::new(gateway)).await?;
        Ok(Self { server, memory, faults })
    }

    /// Returns the address of the gateway.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the store behind the gateway, for direct access without injected faults.
    pub fn memory(&self) -> Arc<Memory> {
        self.memory.clone()
    }

    /// Returns the faults that the gateway injects.
    pub fn faults(&self) -> Arc<Faults> {
        self.faults.clone()
    }
}

struct Gateway {
    memory: Arc<Memory>,
    faults: Arc<Faults>,
}

#[async_trait]
impl Handler for Gateway {
    async fn handle(&self, request: Request) -> Response {
        let outcome = self.faults.next(request.uri().path());
        tokio::time::sleep(self.faults.delay()).await;
        if outcome == Outcome::Refuse {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let response = self.dispatch(request).await.unwrap_or_else(|response| response);
        if outcome == Outcome::LoseResponse {
            Response::new(body::aborted("the connection was cut"))
        } else {
            response
        }
    }
}

impl Gateway {
    async fn dispatch(&self, request: Request) -> Result<Response, Response> {
        match request.uri().path() {
            "/v3/kv/range" => self.range(json(request).await?).await,
            "/v3/kv/txn" => self.txn(json(request).await?).await,
            "/v3/lease/grant" => self.grant(json(request).await?).await,
            "/v3/lease/keepalive" => self.keep_alive(json(request).await?).await,
            "/v3/lease/revoke" => self.revoke(json(request).await?).await,
            "/v3/watch" => self.watch(json(request).await?).await,
            _ => Err(empty(StatusCode::NOT_FOUND)),
        }
    }

    async fn range(&self, request: wire::RangeRequest) -> Result<Response, Response> {
        let key = request.key.to_text();
        let mut response = wire::RangeResponse::default();
        if request.range_end.is_some() {
            let limit = usize::try_from(request.limit).unwrap_or(0);
            // One less than the maximum, because the memory store adds 1 to the limit.
            let limit = if limit == 0 { usize::MAX - 1 } else { limit };
            let (start, after) = parse_range_start(&key);
            let prefix = range_prefix(start, request.range_end.as_ref());
            let page =
                self.memory.list(&prefix, after, limit).await.map_err(|e| error_response(&e))?;
            response.kvs = page.entries.into_iter().map(key_value).collect();
            response.more = page.more;
        } else {
            let entry = self.memory.get(&key).await.map_err(|error| error_response(&error))?;
            response.kvs = entry.into_iter().map(key_value).collect();
        }
        response.header.revision = self.memory.revision();
        Ok(server::json(StatusCode::OK, &response))
    }

    async fn txn(&self, request: wire::TxnRequest) -> Result<Response, Response> {
        let commit =
            self.memory.commit(to_txn(request)).await.map_err(|error| error_response(&error))?;
        let responses = commit.current.into_iter().map(|entry| wire::OperationResponse {
            response_range: Some(wire::RangeResponse {
                kvs: vec![key_value(entry)],
                ..wire::RangeResponse::default()
            }),
        });
        let response = wire::TxnResponse {
            header: wire::Header { revision: commit.revision },
            succeeded: commit.applied,
            responses: responses.collect(),
        };
        Ok(server::json(StatusCode::OK, &response))
    }

    async fn grant(&self, request: wire::GrantRequest) -> Result<Response, Response> {
        let ttl = Duration::from_secs(u64::try_from(request.ttl).unwrap_or(1));
        let id = self.memory.grant(ttl).await.map_err(|error| error_response(&error))?;
        Ok(server::json(StatusCode::OK, &wire::LeaseResponse { id, ttl: request.ttl }))
    }

    async fn keep_alive(&self, request: wire::LeaseRequest) -> Result<Response, Response> {
        let ttl =
            self.memory.keep_alive(request.id).await.map_err(|error| error_response(&error))?;
        let ttl = i64::try_from(ttl.as_secs()).unwrap_or(0);
        let result = wire::LeaseResponse { id: request.id, ttl };
        Ok(server::json(StatusCode::OK, &wire::Streamed { result }))
    }

    async fn revoke(&self, request: wire::LeaseRequest) -> Result<Response, Response> {
        self.memory.revoke(request.id).await.map_err(|error| error_response(&error))?;
        Ok(server::json(StatusCode::OK, &serde_json::json!({})))
    }

    async fn watch(&self, request: wire::WatchRequest) -> Result<Response, Response> {
        let create = request.create_request;
        let prefix = create.key.to_text();
        let opened = self.memory.watch(&prefix, create.start_revision).await;
        let first = wire::WatchResponse {
            header: wire::Header { revision: self.memory.revision() },
            created: true,
            ..wire::WatchResponse::default()
        };
        let (first, events) = match opened {
            Ok(events) => (first, events),
            Err(Error::Compacted { oldest }) => {
                let first =
                    wire::WatchResponse { canceled: true, compact_revision: oldest, ..first };
                (first, stream::empty().boxed())
            }
            Err(error) => return Err(error_response(&error)),
        };
        let (sender, body) = body::channel(WATCH_BUFFER_LENGTH);
        tokio::spawn(forward_events(first, events, self.faults.clone(), sender));
        Ok(Response::new(body))
    }
}

/// Sends the events of a watch to its response body, one line each, until either side closes.
async fn forward_events(
    first: wire::WatchResponse,
    mut events: Watch,
    faults: Arc<Faults>,
    sender: mpsc::Sender<Chunk>,
) {
    let mut next = Some(first);
    loop {
        if let Some(response) = next.take()
            && sender.send(encode_line(response)).await.is_err()
        {
            return;
        }
        let event = tokio::select! {
            event = events.next() => event,
            () = sender.closed() => return,
        };
        match event {
            Some(Ok(event)) if !faults.is_watch_silent() => next = watch_response(event),
            Some(Ok(_)) => {}
            Some(Err(_)) | None => return,
        }
    }
}

fn encode_line(response: wire::WatchResponse) -> Chunk {
    let mut text = serde_json::to_vec(&wire::Streamed { result: response })?;
    text.push(b'\n');
    Ok(text.into())
}

fn watch_response(event: Event) -> Option<wire::WatchResponse> {
    let message = match event {
        Event::Put(entry) => wire::EventMessage { kind: wire::Kind::Put, kv: key_value(entry) },
        Event::Delete { key, revision } => wire::EventMessage {
            kind: wire::Kind::Delete,
            kv: KeyValue { key: Blob::text(&key), mod_revision: revision, ..KeyValue::default() },
        },
        Event::Progress(_) => return None,
    };
    let header = wire::Header { revision: message.kv.mod_revision };
    Some(wire::WatchResponse { header, events: vec![message], ..wire::WatchResponse::default() })
}

fn error_response(error: &Error) -> Response {
    server::text(StatusCode::BAD_REQUEST, error.to_string())
}

fn key_value(entry: Entry) -> KeyValue {
    KeyValue {
        key: Blob::text(&entry.key),
        value: Blob(entry.value),
        mod_revision: entry.revision,
        create_revision: entry.created,
    }
}

/// Splits the start of a range into a key and the key that the page follows. A start that ends in a
/// zero byte, the smallest key after `key`, continues a listing after `key`.
fn parse_range_start(key: &str) -> (&str, Option<&str>) {
    match key.strip_suffix('\0') {
        Some(after) => (after, Some(after)),
        None => (key, None),
    }
}

/// Returns the shortest prefix of `key` whose range end is `range_end`, or `key` if there is none.
fn range_prefix(key: &str, range_end: Option<&Blob>) -> String {
    let matches_end = |length: &usize| {
        key.is_char_boundary(*length)
            && range_end.is_some_and(|end| wire::prefix_end(&key[..*length]) == *end)
    };
    let length = (0..=key.len()).find(matches_end).unwrap_or(key.len());
    key[..length].to_owned()
}

fn to_txn(request: wire::TxnRequest) -> Txn {
    let mut txn = Txn::new();
    for compare in request.compare {
        let wanted = match compare.target {
            wire::Target::Create => Compare::Absent,
            wire::Target::Mod => Compare::Unchanged(compare.mod_revision.unwrap_or(0)),
            wire::Target::Value => Compare::Value(compare.value.unwrap_or_default().0),
        };
        let key = compare.key.to_text().into();
        txn.guards.push(hawthornmount_store::Guard { key, compare: wanted });
    }
    for operation in request.success {
        if let Some(put) = operation.request_put {
            let key = put.key.to_text();
            txn = match put.lease {
                Some(lease) if lease != 0 => txn.put_leased(&key, put.value.0, lease),
                _ => txn.put(&key, put.value.0),
            };
        } else if let Some(delete) = operation.request_delete_range {
            txn = txn.delete(&delete.key.to_text());
        }
    }
    txn
}
