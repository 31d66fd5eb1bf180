//! Stand-in for the rate-limited store of weights.

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

/// One call to the store.
#[derive(Clone, Copy, Debug)]
pub struct Fetch {
    /// When it came.
    pub at: Instant,
    /// Whether it was served.
    pub served: bool,
}

/// Stand-in for the store of weights.
pub struct Weights {
    server: Server,
    shared: Arc<Shared>,
}

struct Shared {
    pause: Duration,
    refusing: AtomicBool,
    fetches: Mutex<Vec<Fetch>>,
}

impl Weights {
    /// Starts the store; it serves one fetch in each `pause`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub async fn start(address: SocketAddr, pause: Duration) -> Result<Self, ListenError> {
        let refusing = AtomicBool::new(false);
        let shared = Arc::new(Shared { pause, refusing, fetches: Mutex::new(Vec::new()) });
        let server = Server::start(address, Arc::new(Api(shared.clone()))).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address of the store.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Refuses every fetch while `refusing`.
    pub fn set_refusing(&self, refusing: bool) {
        self.shared.refusing.store(refusing, Ordering::SeqCst);
    }

    /// Returns the fetches so far.
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
        let last = fetches.iter().rev().find(|fetch| fetch.served).map(|fetch| fetch.at);
        let in_pace = last.is_none_or(|last| now >= last + self.0.pause);
        let served = in_pace && !self.0.refusing.load(Ordering::SeqCst);
        fetches.push(Fetch { at: now, served });
        empty(if served { StatusCode::OK } else { StatusCode::TOO_MANY_REQUESTS })
    }
}
