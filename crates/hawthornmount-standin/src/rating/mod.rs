//! Stand-in for the rating service: reads the quality mark that the stand-in engines write into
//! their answers.

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

/// Request to rate an answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Query {
    /// Text of the answer to rate.
    pub answer: Arc<str>,
}

/// Response of the rating service.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Score {
    /// Rating of the answer, from 0 to 1.
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

    /// Sets whether every call is refused with status 503.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::SeqCst);
    }

    /// Sets the delay of every response.
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
            Ok(query) => {
                server::json(StatusCode::OK, &Score { rating: parse_quality_mark(&query.answer) })
            }
            Err(response) => response,
        }
    }
}

/// Returns the quality in the answer's mark, or 0 if there is no valid mark.
fn parse_quality_mark(answer: &str) -> f64 {
    let mark = answer.split_once("[quality ").map(|(_, rest)| rest);
    mark.and_then(|rest| rest.split(']').next()).and_then(|text| text.parse().ok()).unwrap_or(0.0)
}
