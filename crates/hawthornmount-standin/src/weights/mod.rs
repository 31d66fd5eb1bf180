//! Stand-in for the rate-limited weight store.

use {
    crate::http::empty,
    async_trait::async_trait,
    hawthornmount_http::{
        Request, Response, StatusCode,
        server::{Handler, ListenError, Server},
    },
    parking_lot::Mutex,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
};

/// A call to the weight store.
#[derive(Clone, Copy, Debug)]
pub struct Fetch {
    /// When the call arrived.
    pub at: Instant,
    /// Whether the call was served; otherwise it was refused with status 429.
    pub served: bool,
}

/// Stand-in for the weight store.
pub struct Weights {
    server: Server,
    shared: Arc<Shared>,
}

struct Shared {
    min_interval: Duration,
    refusing: AtomicBool,
    fetches: Mutex<Vec<Fetch>>,
}

impl Weights {
    /// Starts the store, which serves at most one fetch per `min_interval`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub async fn start(address: SocketAddr, min_interval: Duration) -> Result<Self, ListenError> {
        let refusing = AtomicBool::new(false);
        let shared = Arc::new(Shared { min_interval, refusing, fetches: Mutex::new(Vec::new()) });
        let server = Server::start(address, Arc::new(Api(shared.clone()))).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address of the store.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets whether every fetch is refused.
    pub fn set_refusing(&self, refusing: bool) {
        self.shared.refusing.store(refusing, Ordering::SeqCst);
    }

    /// Returns the fetches so far in order of arrival, including refused ones.
    pub fn fetches(&self) -> Vec<Fetch> {
        self.shared.fetches.lock().clone()
    }
}

struct Api(Arc<Shared>);

#[async_trait]
impl Handler for Api {
    async fn handle(&self, _request: Request) -> Response {
        let now = Instant::now();
        let mut fetches = self.0.fetches.lock();
        let last_served = fetches.iter().rev().find(|fetch| fetch.served).map(|fetch| fetch.at);
        let interval_elapsed = last_served.is_none_or(|last| now >= last + self.0.min_interval);
        let served = interval_elapsed && !self.0.refusing.load(Ordering::SeqCst);
        fetches.push(Fetch { at: now, served });
        empty(if served { StatusCode::OK } else { StatusCode::TOO_MANY_REQUESTS })
    }
}
