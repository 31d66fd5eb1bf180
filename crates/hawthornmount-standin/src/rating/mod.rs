//! Stand-in for the service that rates answers: it reads the mark that the stand-in engines leave.

use {
    crate::http::{empty, json},
    async_trait::async_trait,
    hawthornmount_http::{
        Request, Response, StatusCode,
        server::{self, Handler, ListenError, Server},
    },
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Query to the rating service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Query {
    /// Text of the answer.
    pub answer: Arc<str>,
}

/// Score of the rating service.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Score {
    /// From 0 to 1.
    pub rating: f64,
}

/// Stand-in for the rating service.
pub struct Rating {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    down: AtomicBool,
    delay_us: AtomicU64,
}

impl Rating {
    /// Starts the service.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened on.
    pub async fn start(address: SocketAddr) -> Result<Self, ListenError> {
        let shared = Arc::new(Shared::default());
        let server = Server::start(address, Arc::new(Api(shared.clone()))).await?;
        Ok(Self { server, shared })
    }

    /// Returns the address of the service.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Refuses every call while `down`.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::SeqCst);
    }

    /// Delays every verdict.
    pub fn set_delay(&self, delay: Duration) {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.shared.delay_us.store(micros, Ordering::SeqCst);
    }
}

struct Api(Arc<Shared>);

#[async_trait]
impl Handler for Api {
    async fn handle(&self, request: Request) -> Response {
        if self.0.down.load(Ordering::SeqCst) {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        tokio::time::sleep(Duration::from_micros(self.0.delay_us.load(Ordering::SeqCst))).await;
        match json::<Query>(request).await {
            Ok(query) => server::json(StatusCode::OK, &Score { rating: marked(&query.answer) }),
            Err(response) => response,
        }
    }
}

/// Reads the mark; an answer without one rates 0.
fn marked(answer: &str) -> f64 {
    let mark = answer.split_once("[quality ").map(|(_, rest)| rest);
    mark.and_then(|rest| rest.split(']').next()).and_then(|text| text.parse().ok()).unwrap_or(0.0)
}
