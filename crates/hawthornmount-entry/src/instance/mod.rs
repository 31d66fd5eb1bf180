//! Start and graceful shutdown of an entry instance.

mod components;

pub use components::{Builder, Components};

use {
    crate::{admin::Admin, api::Api, control},
    derive_more::{Display, Error, From},
    hawthornmount_core::settings::Settings,
    hawthornmount_http::server::{self, ListenError, Server},
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant},
    },
    tokio::runtime::{self, Runtime},
};

/// Interval at which the requests in flight are counted while the instance drains.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the load balancer to notice that the instance is not ready.
const BALANCER_DETECTION_TIME: Duration = Duration::from_millis(500);

/// Error at the start of an instance.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// An address can't be listened on.
    #[display("{_0}")]
    Listen(ListenError),
    /// Threads can't be started or the fleet address can't be bound.
    #[display(
        "cannot start threads or bind the fleet address: raise the limit on threads or set \
         another fleet address; cause={_0}"
    )]
    Io(io::Error),
}

/// Result of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stopped {
    /// Requests that were still in flight, or whose answers were not written, when the drain time ran
    /// out.
    pub interrupted: usize,
}

/// A running entry instance.
pub struct Instance {
    components: Arc<Components>,
    runtime: Option<Runtime>,
    control: control::Handle,
    callers: Server,
    operators: Server,
}

impl Instance {
    /// Starts an instance with the default components.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened on or threads can't be started.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        Self::start_with(Builder::new(settings).build())
    }

    /// Starts an instance with the given components.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened on or threads can't be started.
    pub fn start_with(components: Components) -> Result<Self, Error> {
        let components = Arc::new(components);
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(components.settings.traffic_threads)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        let (callers, operators) = listen(&runtime, &components)?;
        let control = control::start(&components)?;
        Ok(Self { components, runtime: Some(runtime), control, callers, operators })
    }

    /// Returns the address at which callers send requests.
    pub const fn caller_address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Returns the address of the operators' interface.
    pub const fn operator_address(&self) -> SocketAddr {
        self.operators.address()
    }

    /// Returns the address at which other instances reach this one.
    pub fn fleet_address(&self) -> SocketAddr {
        self.components.mesh.address()
    }

    /// Returns the components of the instance.
    pub const fn components(&self) -> &Arc<Components> {
        &self.components
    }

    /// Stops gracefully: reports the instance as not ready at once, waits until the requests in flight
    /// are answered and their answers are written, at most as long as the settings allow, and writes
    /// the waiting records to the store.
    pub async fn stop(mut self) -> Stopped {
        self.components.stopping.store(true, Ordering::SeqCst);
        self.components.mesh.leave();
        let deadline = Instant::now() + self.components.settings.drain;
        tokio::time::sleep(BALANCER_DETECTION_TIME).await;
        self.callers.close_connections();
        while self.unfinished() > 0 && Instant::now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        if let Err(error) = self.components.ledger.flush().await {
            log::error!("cannot write the waiting records, check the store; cause={error}");
        }
        let stopped = Stopped { interrupted: self.unfinished() };
        self.terminate();
        stopped
    }

    /// Stops at once, as a crash would.
    pub fn kill(mut self) {
        self.terminate();
    }

    /// Returns the number of requests in flight or, if it is larger, of connections whose answers may
    /// not be written yet.
    fn unfinished(&self) -> usize {
        let in_flight = self.components.in_flight.load(Ordering::SeqCst);
        in_flight.max(self.callers.connections())
    }

    fn terminate(&mut self) {
        self.control.stop();
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.terminate();
    }
}

fn listen(runtime: &Runtime, components: &Arc<Components>) -> Result<(Server, Server), Error> {
    let callers = Arc::new(Api::new(components));
    let operators = Arc::new(Admin::new(components));
    let (sender, receiver) = std::sync::mpsc::channel();
    let settings = &components.settings;
    let (listen, admin) = (settings.listen, settings.admin);
    let (caller_group, operator_group) = (components.callers.clone(), components.operators.clone());
    runtime.spawn(async move {
        let servers = async {
            let limits = server::Limits::default();
            let callers = Server::start_within(listen, callers, limits, caller_group).await?;
            let operators = Server::start_within(admin, operators, limits, operator_group).await?;
            Ok((callers, operators))
        };
        let _ = sender.send(servers.await);
    });
    match receiver.recv() {
        Ok(servers) => servers.map_err(Error::Listen),
        Err(_) => Err(Error::Io(io::Error::other("the traffic threads stopped during the start"))),
    }
}
