//! Sends requests to the instance that this one follows.

use {
    super::{
        Link, PeerReport,
        message::{
            Fetch, Follow, MAX_FRAME_BYTES, Outcome, PATH, Part, Query, Request, Response, Update,
        },
    },
    crate::membership::Peer,
    async_trait::async_trait,
    bytes::Bytes,
    derive_more::{Display, Error},
    hawthornmount_core::id::InstanceId,
    hawthornmount_fleet::wire::{Keyring, Reject},
    hawthornmount_http::connection::{Connection, Failure},
    http::{Method, StatusCode, header},
    http_body_util::Full,
    parking_lot::Mutex,
    std::{sync::Arc, time::Duration},
};

/// Time in which a connection to another instance has to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time beyond the wait that a request asks for within which the response has to arrive.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time in which a part of a large value has to arrive. The slowest links send some of them in it.
pub const FETCH_TIMEOUT: Duration = Duration::from_millis(350);

/// Why another instance gave no valid response.
#[derive(Clone, Debug, Display, Error)]
pub enum Failed {
    /// The connection failed.
    #[display("{_0}")]
    Connection(Failure),
    /// The response did not arrive in time.
    #[display("no response in time")]
    Timeout,
    /// The instance rejected the request.
    #[display("rejected with status {_0}")]
    Rejected(#[error(not(source))] StatusCode),
    /// The response is not a valid frame.
    #[display("invalid frame: {_0}")]
    Frame(Reject),
    /// The request can't be encoded.
    #[display("the request can't be encoded; cause={_0}")]
    Encoding(#[error(not(source))] Arc<str>),
    /// The response belongs to another request.
    #[display("response to another request")]
    Crossed,
}

struct Idle {
    peer: InstanceId,
    connection: Connection,
}

/// Sends requests to other instances over connections that it keeps open.
pub struct Client {
    instance: InstanceId,
    idle: Mutex<Vec<Idle>>,
}

#[async_trait]
impl Link for Client {
    async fn follow(&self, peer: &Peer, request: Follow) -> Result<Update, Failed> {
        let timeout = request.wait + RESPONSE_TIMEOUT;
        match self.send(peer, Query::Follow(request), timeout).await? {
            Outcome::Update(update) => Ok(update),
            Outcome::Received | Outcome::Part(_) => Err(Failed::Crossed),
        }
    }

    async fn report(&self, peer: &Peer, report: PeerReport) -> Result<(), Failed> {
        let PeerReport { service, reporter, report } = report;
        let report = serde_json::to_vec(&report)
            .map_err(|error| Failed::Encoding(error.to_string().into()))?;
        match self.send(peer, Query::Report { service, reporter, report }, RESPONSE_TIMEOUT).await?
        {
            Outcome::Received => Ok(()),
            Outcome::Update(_) | Outcome::Part(_) => Err(Failed::Crossed),
        }
    }

    async fn fetch(&self, peer: &Peer, request: Fetch) -> Result<Option<Part>, Failed> {
        match self.send(peer, Query::Fetch(request), FETCH_TIMEOUT).await? {
            Outcome::Part(part) => Ok(part),
            Outcome::Update(_) | Outcome::Received => Err(Failed::Crossed),
        }
    }
}

impl Client {
    /// Creates a client of the instance `instance`.
    pub fn new(instance: InstanceId) -> Self {
        Self { instance, idle: Mutex::default() }
    }

    async fn send(&self, peer: &Peer, query: Query, timeout: Duration) -> Result<Outcome, Failed> {
        let exchange = tokio::time::timeout(timeout, self.exchange(peer, query));
        exchange.await.unwrap_or(Err(Failed::Timeout))
    }

    async fn exchange(&self, peer: &Peer, query: Query) -> Result<Outcome, Failed> {
        let keyring = Keyring::new(&peer.contact.secret);
        let (from, to) = (self.instance.clone(), peer.id.clone());
        let request = Request { nonce: rand::random(), from, to, query };
        let frame: Bytes = keyring.seal(&request).into();
        let (connection, mut response) = self.post(peer, frame).await?;
        if response.status() != StatusCode::OK {
            return Err(Failed::Rejected(response.status()));
        }
        let body = connection.read_body(response.body_mut(), MAX_FRAME_BYTES).await;
        let body = body.map_err(Failed::Connection)?;
        let response: Response = keyring.open(&body, MAX_FRAME_BYTES).map_err(Failed::Frame)?;
        if response.nonce != request.nonce {
            return Err(Failed::Crossed);
        }
        self.idle.lock().push(Idle { peer: peer.id.clone(), connection });
        Ok(response.outcome)
    }

    /// Posts a frame, over an idle connection if there is one. All requests can be repeated.
    async fn post(
        &self,
        peer: &Peer,
        frame: Bytes,
    ) -> Result<(Connection, http::Response<hyper::body::Incoming>), Failed> {
        while let Some(mut connection) = self.take_idle(&peer.id) {
            if let Ok(response) = connection.send(http_request(peer, frame.clone())).await {
                return Ok((connection, response));
            }
        }
        let opened = Connection::open(peer.contact.address, CONNECT_TIMEOUT).await;
        let mut connection = opened.map_err(Failed::Connection)?;
        let sent = connection.send(http_request(peer, frame)).await;
        Ok((connection, sent.map_err(Failed::Connection)?))
    }

    /// Takes an idle connection to an instance, and closes those to others.
    fn take_idle(&self, peer: &InstanceId) -> Option<Connection> {
        let mut idle = self.idle.lock();
        idle.retain(|idle| idle.peer == *peer && idle.connection.is_ready());
        idle.pop().map(|idle| idle.connection)
    }
}

fn http_request(peer: &Peer, frame: Bytes) -> http::Request<Full<Bytes>> {
    let mut request = http::Request::new(Full::new(frame));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = http::Uri::from_static(PATH);
    if let Ok(host) = peer.contact.address.to_string().parse() {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}
