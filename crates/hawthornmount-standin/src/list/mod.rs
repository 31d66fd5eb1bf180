//! Stand-in for the platform's list of live and leaving instances, which may be out of date.

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

/// State of an instance as the platform lists it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The instance is live.
    Live,
    /// The instance is about to stop.
    Leaving,
}

/// Kind of a listed process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An entry instance, listed with the address at which it receives fleet frames.
    Entry,
    /// A backend server.
    Server,
}

/// An entry of the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Listed {
    /// Name of the instance.
    pub id: Arc<str>,
    /// Kind of the instance.
    pub kind: Kind,
    /// Address of the instance.
    pub address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: Arc<str>,
    /// State of the instance as the platform lists it.
    pub state: State,
}

/// Stand-in for the instance list.
pub struct List {
    server: Server,
    listed: Arc<Mutex<Vec<Listed>>>,
}

impl List {
    /// Starts the service with an empty list.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub async fn start(address: SocketAddr) -> Result<Self, ListenError> {
        let listed = Arc::new(Mutex::new(Vec::new()));
        let server = Server::start(address, Arc::new(Api(listed.clone()))).await?;
        Ok(Self { server, listed })
    }

    /// Returns the address of the service.
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
