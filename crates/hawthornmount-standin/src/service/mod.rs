//! Stand-in for a plain service with non-idempotent calls.

mod faults;

pub use faults::Faults;

use {
    crate::http::{self, header, not_run},
    async_trait::async_trait,
    faults::{Injector, Outcome},
    hawthornmount_http::{
        HeaderValue, Method, Request, Response, StatusCode, body,
        server::{self, Handler, ListenError, Server},
    },
    parking_lot::Mutex,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// A call that the service ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Request id of the call.
    pub request: Arc<str>,
    /// Idempotency key of the call, if it had one.
    pub key: Option<Arc<str>>,
    /// HTTP method of the call.
    pub method: Arc<str>,
    /// Path of the call.
    pub path: Arc<str>,
}

/// Stand-in for a plain service.
pub struct Service {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    runs: Mutex<Vec<Run>>,
    delay_us: AtomicU64,
    cut_responses: AtomicBool,
    injector: Injector,
}

impl Service {
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

    /// Returns the calls that ran so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().clone()
    }

    /// Sets the delay of every response; the call itself runs without delay.
    pub fn set_delay(&self, delay: Duration) {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.shared.delay_us.store(micros, Ordering::SeqCst);
    }

    /// Sets the fault probabilities and the seed with which faults are drawn.
    pub fn set_faults(&self, faults: Faults, seed: u64) {
        self.shared.injector.set(faults, seed);
    }

    /// Sets whether the body of every response is aborted after the call ran.
    pub fn set_cut_responses(&self, cut: bool) {
        self.shared.cut_responses.store(cut, Ordering::SeqCst);
    }
}

struct Api(Arc<Shared>);

#[async_trait]
impl Handler for Api {
    async fn handle(&self, request: Request) -> Response {
        // Entry instances poll the load of every backend server; a plain service loads no versions.
        if request.uri().path() == "/load" {
            let report = serde_json::json!({
                "load": 0, "slots": 64, "leaving": false, "loaded": [],
            });
            return server::json(StatusCode::OK, &report);
        }
        // Entry instances set an id. Other programs may call an address that they used before.
        let Some(id) = header(request.headers(), "x-request-id") else {
            return not_run(StatusCode::BAD_REQUEST);
        };
        let run = Run {
            request: id.into(),
            key: header(request.headers(), "idempotency-key").map(Into::into),
            method: request.method().as_str().into(),
            path: request.uri().path().into(),
        };
        let is_read = request.method() == Method::GET;
        let _ = http::body(request).await;
        let outcome = self.0.injector.next();
        if outcome == Outcome::Refuse {
            return not_run(StatusCode::SERVICE_UNAVAILABLE);
        }
        self.0.runs.lock().push(run.clone());
        if let Outcome::Late(delay) = outcome {
            tokio::time::sleep(delay).await;
        }
        tokio::time::sleep(Duration::from_micros(self.0.delay_us.load(Ordering::SeqCst))).await;
        if outcome == Outcome::Cut || self.0.cut_responses.load(Ordering::SeqCst) {
            return Response::new(body::aborted("the connection was cut"));
        }
        let state = if is_read { "found" } else { "accepted" };
        let body = serde_json::json!({ "state": state, "request": &*run.request });
        let mut response = server::json(StatusCode::OK, &body);
        let id = if outcome == Outcome::WrongId { "req-of-another.1" } else { &*run.request };
        if let Ok(value) = HeaderValue::from_str(id) {
            response.headers_mut().insert("x-request-id", value);
        }
        response
    }
}
