//! Start and graceful stop of an entry instance.

mod parts;

pub use parts::{Builder, Parts};

use {
    crate::{admin::Admin, api::Api, control},
    derive_more::{Display, Error, From},
    hawthornmount_core::settings::Settings,
    hawthornmount_http::server::{ListenError, Server},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::runtime::{self, Runtime},
};

/// Pause between looks at the requests in flight while the instance stops.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);
/// Time in which the balancer notices that the instance is not ready.
const BALANCER_LAG: Duration = Duration::from_millis(500);

/// Why an instance can't start.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// An address can't be listened on.
    #[display("{_0}")]
    Listen(ListenError),
    /// The operating system gives no threads or the address for frames is taken.
    #[display(
        "no thread or socket can be had: raise the limit on threads or set another address for \
         frames; cause={_0}"
    )]
    Threads(io::Error),
}

/// How a stop went.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shutdown {
    /// Requests that were still in flight at the bound.
    pub unfinished: usize,
}

/// A running entry instance.
pub struct Instance {
    parts: Arc<Parts>,
    runtime: Option<Runtime>,
    control: control::Handle,
    callers: Server,
    operators: Server,
}

impl Instance {
    /// Starts an instance with the parts of the product.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened on or threads can't be started.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        Self::start_with(Builder::new(settings).build())
    }

    /// Starts an instance with parts that were put together elsewhere.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened on or threads can't be started.
    pub fn start_with(parts: Parts) -> Result<Self, Error> {
        let parts = Arc::new(parts);
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(parts.settings.traffic_threads)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        let (callers, operators) = listen(&runtime, &parts)?;
        let control = control::start(&parts)?;
        Ok(Self { parts, runtime: Some(runtime), control, callers, operators })
    }

    /// Returns the address for callers.
    pub const fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address for operators.
    pub const fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the address for frames between instances.
    pub fn fleet_address(&self) -> SocketAddr {
        self.parts.mesh.address()
    }

    /// Returns the parts of the instance.
    pub const fn parts(&self) -> &Arc<Parts> {
        &self.parts
    }

    /// Stops gracefully: not ready at once, requests in flight finish within the bound of the
    /// settings, and records that wait are written.
    pub async fn stop(mut self) -> Shutdown {
        self.parts.stopping.store(true, Ordering::SeqCst);
        self.parts.mesh.leave();
        let bound = Instant::now() + self.parts.settings.drain;
        tokio::time::sleep(BALANCER_LAG).await;
        while self.in_flight() > 0 && Instant::now() < bound {
            tokio::time::sleep(DRAIN_PAUSE).await;
        }
        if let Err(error) = self.parts.ledger.flush().await {
            log::error!("records are not written, look at the store; cause={error}");
        }
        let shutdown = Shutdown { unfinished: self.in_flight() };
        self.end();
        shutdown
    }

    /// Ends at once, as a crash would.
    pub fn kill(mut self) {
        self.end();
    }

    fn in_flight(&self) -> usize {
        self.parts.in_flight.load(Ordering::SeqCst)
    }

    fn end(&mut self) {
        self.control.stop();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.end();
    }
}

fn listen(runtime: &Runtime, parts: &Arc<Parts>) -> Result<(Server, Server), Error> {
    let callers = Arc::new(Api::new(parts));
    let operators = Arc::new(Admin::new(parts));
    let (sender, receiver) = std::sync::mpsc::channel();
    let settings = &parts.settings;
    let (listen, admin) = (settings.listen, settings.admin);
    runtime.spawn(async move {
        let servers = async {
            let callers = Server::start(listen, callers).await?;
            let operators = Server::start(admin, operators).await?;
            Ok((callers, operators))
        };
        let _ = sender.send(servers.await);
    });
    match receiver.recv() {
        Ok(servers) => servers.map_err(Error::Listen),
        Err(_) => Err(Error::Threads(io::Error::other("the traffic threads have ended"))),
    }
}
