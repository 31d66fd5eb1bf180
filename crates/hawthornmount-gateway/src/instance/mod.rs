//! Start and graceful stop of a gateway.

use {
    crate::{
        follow::{self, Follower, State},
        forward::Forwarder,
        freshness::Freshness,
        frontend::{self, ListenError},
        message::Dialect,
        rollout::Driver,
        roster::Roster,
        settings::Settings,
        source::Vocabulary,
        view::Cell,
    },
    derive_more::{Display, Error, From},
    hawthornmount_core::{clock::Clock, metrics::Metrics},
    hawthornmount_store::Store,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, OnceLock,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    tokio::{runtime, sync::watch, task::JoinHandle},
};

/// Time in which the balancer notices that the instance is not ready: it asks every second and
/// takes an instance out after two misses.
const BALANCER_LAG: Duration = Duration::from_millis(2_300);
/// Time after the order to stop in which requests are still taken; the balancer sends new
/// connections for [`BALANCER_LAG`].
const LAST_CALL: Duration = Duration::from_millis(2_900);
/// Time that is left for the end of the process when the grace is over.
const END_MARGIN: Duration = Duration::from_millis(500);
/// Pause between two looks at the requests in flight while the instance stops.
const DRAIN_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two sweeps of idle connections.
const SWEEP_PAUSE: Duration = Duration::from_secs(1);

/// What a gateway speaks with its platform.
pub struct Ports {
    /// The store.
    pub store: Arc<dyn Store>,
    /// Spelling of keys and values of the store.
    pub vocabulary: Arc<dyn Vocabulary>,
    /// Spelling of requests and answers.
    pub dialect: Arc<dyn Dialect>,
}

/// Parts of a gateway that its threads share.
pub struct Parts {
    /// Settings.
    pub settings: Settings,
    /// Metrics.
    pub metrics: Metrics,
    /// Configuration and servers.
    pub cell: Arc<Cell>,
    /// Age of the configuration.
    pub freshness: Arc<Freshness>,
    /// Hands requests to servers.
    pub forwarder: Arc<Forwarder>,
    /// Spelling of requests and answers.
    pub dialect: Arc<dyn Dialect>,
    /// Requests in flight.
    pub in_flight: InFlight,
    /// Whether connections of callers are to be closed.
    pub closing: watch::Sender<bool>,
    stopping: OnceLock<Instant>,
}

/// Number of requests in flight.
#[derive(Clone, Debug, Default)]
pub struct InFlight(Arc<AtomicUsize>);

/// A request that is in flight as long as this lives.
#[derive(Debug)]
pub struct Place(Arc<AtomicUsize>);

/// Why a gateway can't start.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// An address can't be listened on.
    #[display("{_0}")]
    Listen(ListenError),
    /// The operating system gives no thread.
    #[display("no thread can be had: raise the limit on threads; cause={_0}")]
    Threads(io::Error),
}

/// How a stop went.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stopped {
    /// Requests that were still in flight at the bound.
    pub cut: usize,
}

/// A running gateway.
pub struct Instance {
    parts: Arc<Parts>,
    callers: SocketAddr,
    readiness: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl InFlight {
    /// Counts a request.
    pub fn enter(&self) -> Place {
        self.0.fetch_add(1, Ordering::SeqCst);
        Place(self.0.clone())
    }

    /// Returns the number of requests.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Parts {
    /// Creates the parts of a gateway.
    pub fn new(settings: Settings, clock: Arc<dyn Clock>, dialect: Arc<dyn Dialect>) -> Self {
        let metrics = Metrics::new();
        let cell = Arc::new(Cell::default());
        let freshness = Arc::new(Freshness::new(clock, settings.revocation, settings.propagation));
        let forwarder = Forwarder::new(
            &settings,
            cell.clone(),
            freshness.clone(),
            dialect.clone(),
            metrics.clone(),
        );
        Self {
            settings,
            metrics,
            cell,
            freshness,
            forwarder: Arc::new(forwarder),
            dialect,
            in_flight: InFlight::default(),
            closing: watch::Sender::new(false),
            stopping: OnceLock::new(),
        }
    }

    /// Tells whether the balancer may send new connections.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.cell.load().rules.revision > 0
    }

    /// Tells whether the instance is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Tells whether requests that arrive now are refused, because the balancer has had time to
    /// notice the stop and they might not end within the grace.
    pub fn is_closed(&self) -> bool {
        self.stopping.get().is_some_and(|since| since.elapsed() >= LAST_CALL)
    }
}

impl Instance {
    /// Starts a gateway: callers are served in the present runtime, the store is followed by a
    /// thread of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened on or the thread can't be started.
    pub async fn start(
        settings: Settings,
        clock: Arc<dyn Clock>,
        ports: Ports,
    ) -> Result<Self, Error> {
        let parts = Arc::new(Parts::new(settings, clock, ports.dialect));
        let callers = frontend::listen(parts.settings.callers).await?;
        let readiness = frontend::listen(parts.settings.readiness).await?;
        let (callers_address, readiness_address) = (callers.address, readiness.address);
        let mut tasks = vec![
            tokio::spawn(frontend::serve_callers(callers.listener, parts.clone())),
            tokio::spawn(frontend::serve_operators(readiness.listener, parts.clone())),
            tokio::spawn(sweep(parts.forwarder.clone())),
        ];
        if let Some(address) = parts.settings.operators {
            let operators = frontend::listen(address).await?;
            tasks.push(tokio::spawn(frontend::serve_operators(operators.listener, parts.clone())));
        }
        let pause = follow::list_pause(&[parts.settings.revocation, parts.settings.propagation]);
        let driver = Driver::new(
            &parts.settings.instance,
            ports.vocabulary.clone(),
            parts.forwarder.sources(),
            follow::notice(pause),
            parts.forwarder.fleet_size(),
        );
        let roster = Roster::new(parts.settings.instance.clone(), parts.forwarder.fleet_size());
        let state = State::new(ports.vocabulary.clone(), driver, roster);
        let (freshness, cell) = (parts.freshness.clone(), parts.cell.clone());
        let follower = Follower::new(ports.store, ports.vocabulary, freshness, cell, state, pause);
        let control = runtime::Builder::new_current_thread().enable_all().build()?;
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || control.block_on(follower.run()))?;
        Ok(Self { parts, callers: callers_address, readiness: readiness_address, tasks })
    }

    /// Returns the address for callers, with the port that the system chose if the settings say 0.
    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address at which the balancer asks.
    pub const fn readiness(&self) -> SocketAddr {
        self.readiness
    }

    /// Returns the parts.
    pub const fn parts(&self) -> &Arc<Parts> {
        &self.parts
    }

    /// Stops gracefully: not ready at once, idle connections are closed when the balancer has
    /// noticed, and requests in flight end within the grace.
    pub async fn stop(self) -> Stopped {
        let bound = Instant::now() + self.parts.settings.grace.saturating_sub(END_MARGIN);
        self.parts.stopping.get_or_init(Instant::now);
        tokio::time::sleep(BALANCER_LAG).await;
        self.parts.closing.send_replace(true);
        tokio::time::sleep(LAST_CALL.saturating_sub(BALANCER_LAG) + DRAIN_PAUSE).await;
        while self.parts.in_flight.count() > 0 && Instant::now() < bound {
            tokio::time::sleep(DRAIN_PAUSE).await;
        }
        for task in &self.tasks {
            task.abort();
        }
        Stopped { cut: self.parts.in_flight.count() }
    }
}

/// Sweeps idle connections for ever.
async fn sweep(forwarder: Arc<Forwarder>) {
    loop {
        tokio::time::sleep(SWEEP_PAUSE).await;
        forwarder.sweep();
    }
}
