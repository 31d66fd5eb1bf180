//! Stand-in for the platform's lagging list of live and leaving instances.

use {
    async_trait::async_trait,
    hawthornmount_http::{
        Request, Response, StatusCode,
        server::{self, Handler, ListenError, Server},
    },
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// What the platform says of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It lives.
    Live,
    /// It is about to stop.
    Leaving,
}

/// Kind of an instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An entry instance; the address is the one for frames.
    Entry,
    /// A backend server.
    Server,
}

/// One instance of the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Listed {
    /// Name of the instance.
    pub id: Arc<str>,
    /// Its kind.
    pub kind: Kind,
    /// Its address.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// What the platform says of it.
    pub state: State,
}

/// Stand-in for the list.
pub struct List {
    server: Server,
    listed: Arc<Mutex<Vec<Listed>>>,
}

impl List {
    /// Starts the list, empty.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub async fn start(address: SocketAddr) -> Result<Self, ListenError> {
        let listed = Arc::new(Mutex::new(Vec::new()));
        let server = Server::start(address, Arc::new(Api(listed.clone()))).await?;
        Ok(Self { server, listed })
    }

    /// Returns the address of the list.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the list.
    pub fn set(&self, listed: Vec<Listed>) {
        *self.listed.lock() = listed;
    }
}

struct Api(Arc<Mutex<Vec<Listed>>>);

#[async_trait]
impl Handler for Api {
    async fn handle(&self, _request: Request) -> Response {
        let listed = self.0.lock().clone();
        server::json(StatusCode::OK, &listed)
    }
}
