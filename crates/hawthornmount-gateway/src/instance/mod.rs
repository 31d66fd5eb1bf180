//! Start and graceful stop of a gateway.

use {
    crate::{
        clients::Clients,
        follow::{self, Follower, State},
        forward::Forwarder,
        freshness::Freshness,
        frontend::{self, ListenError, Origin},
        membership::{Contact, Membership},
        message::Dialect,
        relay,
        rollout::{Driver, driver::Limits},
        schema::Codec,
        settings::Settings,
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
    tokio::{
        net::TcpListener,
        runtime,
        sync::{oneshot, watch},
        task::JoinHandle,
    },
};

/// Time in which the load balancer notices that the instance is not ready: it checks every second
/// and removes an instance after two failed checks.
const BALANCER_DETECTION_TIME: Duration = Duration::from_millis(2_300);
/// Time after the stop signal during which requests are still accepted. The load balancer sends new
/// connections for up to [`BALANCER_DETECTION_TIME`].
const STOP_ACCEPT_TIME: Duration = Duration::from_millis(2_900);
/// Part of the grace period that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time before the exit at which requests that are still in flight are ended with an answer.
const END_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which the requests in flight are checked while the instance stops.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two sweeps of idle connections and load statistics.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Implementations that connect a gateway to its platform.
pub struct Adapters {
    /// The store.
    pub store: Arc<dyn Store>,
    /// Encoding of the keys and values of the store.
    pub schema: Arc<dyn Codec>,
    /// Encoding of requests and responses.
    pub dialect: Arc<dyn Dialect>,
}

/// Components of a gateway that its tasks and threads share.
pub struct Components {
    /// Settings.
    pub settings: Settings,
    /// Metrics.
    pub metrics: Metrics,
    /// Memory and connections for clients.
    pub clients: Clients,
    /// View of configuration and servers.
    pub cell: Arc<Cell>,
    /// Age of the configuration.
    pub freshness: Arc<Freshness>,
    /// Forwards requests to servers.
    pub forwarder: Arc<Forwarder>,
    /// Encoding of requests and responses.
    pub dialect: Arc<dyn Dialect>,
    /// Requests in flight.
    pub in_flight: InFlight,
    /// Connections of callers on which a request, or a part of one, has arrived.
    pub serving: InFlight,
    /// Whether the connections of callers are to be closed.
    pub closing: watch::Sender<bool>,
    /// When the stop signal arrived.
    stopping_since: OnceLock<Instant>,
}

/// Number of requests in flight, or of connections.
#[derive(Clone, Debug, Default)]
pub struct InFlight(Arc<AtomicUsize>);

/// Guard that counts a request or a connection until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicUsize>);

/// Error at the start of a gateway.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// An address can't be listened on.
    #[display("{_0}")]
    Listen(ListenError),
    /// The operating system can't create a thread.
    #[display("can't create a thread: raise the limit on threads; cause={_0}")]
    Threads(io::Error),
}

/// Result of a stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stopped {
    /// Number of requests that were still in flight, or whose answers were not written, at the end of
    /// the grace period.
    pub interrupted: usize,
}

/// A running gateway.
pub struct Instance {
    components: Arc<Components>,
    callers: SocketAddr,
    readiness: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
    /// Ends the control thread when it is dropped.
    _control: oneshot::Sender<()>,
}

impl InFlight {
    /// Counts one more until the returned guard is dropped.
    pub fn enter(&self) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(self.0.clone())
    }

    /// Returns the number.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Components {
    /// Creates the shared components of a gateway.
    pub fn new(settings: Settings, clock: Arc<dyn Clock>, dialect: Arc<dyn Dialect>) -> Self {
        let metrics = Metrics::new();
        let clients = Clients::new(&settings);
        let cell = Arc::new(Cell::default());
        let freshness = Arc::new(Freshness::new(clock, settings.revocation, settings.propagation));
        let forwarder = Forwarder::new(
            &settings,
            cell.clone(),
            freshness.clone(),
            dialect.clone(),
            metrics.clone(),
            &clients,
        );
        Self {
            settings,
            metrics,
            clients,
            cell,
            freshness,
            forwarder: Arc::new(forwarder),
            dialect,
            in_flight: InFlight::default(),
            serving: InFlight::default(),
            closing: watch::Sender::new(false),
            stopping_since: OnceLock::new(),
        }
    }

    /// Returns whether the load balancer may send new connections.
    pub fn is_ready(&self) -> bool {
        let rules = &self.cell.load().rules;
        let can_confirm_keys = !rules.requires_keys || !self.freshness.awaits_first();
        !self.is_stopping() && rules.revision > 0 && can_confirm_keys
    }

    /// Returns whether the instance is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Returns whether requests that arrive now are refused. By then the load balancer has had time
    /// to notice the stop, and new requests might not end within the grace period.
    pub fn refuses_requests(&self) -> bool {
        self.stopping_since.get().is_some_and(|since| since.elapsed() >= STOP_ACCEPT_TIME)
    }
}

impl Instance {
    /// Starts a gateway. Callers are served by the current runtime; a separate thread follows the
    /// store.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened on or the thread can't be started.
    pub async fn start(
        settings: Settings,
        clock: Arc<dyn Clock>,
        adapters: Adapters,
    ) -> Result<Self, Error> {
        let components = Arc::new(Components::new(settings, clock, adapters.dialect));
        let callers = frontend::listen(components.settings.callers)?;
        let readiness = frontend::listen(components.settings.readiness)?;
        let (callers_address, readiness_address) = (callers.address, readiness.address);
        let mut tasks = vec![
            tokio::spawn(frontend::serve_requests(
                callers.listener,
                components.clone(),
                Origin::Caller,
            )),
            tokio::spawn(frontend::serve_operators(
                readiness.listener,
                components.clone(),
                components.clients.readiness.clone(),
            )),
            tokio::spawn(sweep(components.forwarder.clone())),
            tokio::spawn({
                let forwarder = components.forwarder.clone();
                async move { forwarder.watch_path().await }
            }),
        ];
        if let Some(address) = components.settings.operators {
            let operators = frontend::listen(address)?;
            tasks.push(tokio::spawn(frontend::serve_operators(
                operators.listener,
                components.clone(),
                components.clients.operators.clone(),
            )));
        }
        let settings = &components.settings;
        let list_interval = follow::list_interval(&[
            settings.revocation,
            settings.propagation,
            settings.evacuation.unwrap_or(settings.propagation),
        ]);
        let driver = Driver::new(
            &components.settings.instance,
            adapters.schema.clone(),
            components.forwarder.sources(),
            Limits {
                visibility_delay: follow::visibility_delay(list_interval),
                allowed_exposure: components.settings.allowed_exposure,
                exposure_slack: components.settings.exposure_slack,
            },
        );
        let peers = match components.settings.peers {
            Some(address) => Some(frontend::listen(address)?),
            None => None,
        };
        if let Some(bound) = &peers {
            let (exchange, address) = (components.forwarder.exchange(), bound.address);
            tasks.push(tokio::spawn(async move {
                if let Err(error) = exchange.run(address).await {
                    log::error!(
                        "loads are not exchanged, free the address; address={address} cause={error}"
                    );
                }
            }));
        }
        let passed = match components.settings.neighbours {
            Some(address) => Some(frontend::listen(address)?),
            None => None,
        };
        let passed_requests = passed.as_ref().map(|bound| bound.address);
        if let Some(bound) = passed {
            let served =
                frontend::serve_requests(bound.listener, components.clone(), Origin::Instance);
            tasks.push(tokio::spawn(served));
        }
        let contact = peers.as_ref().map(|bound| Contact {
            data_centre: components.settings.data_centre.clone(),
            address: bound.address,
            passed_requests,
            secret: new_secret(),
        });
        let membership = Membership::new(
            components.settings.instance.clone(),
            contact,
            components.forwarder.fleet_size(),
        );
        let state = State::new(adapters.schema.clone(), driver, membership)
            .with_quarantine(components.forwarder.quarantine())
            .with_limits(components.forwarder.limits())
            .with_path(components.forwarder.path())
            .with_exchange(components.forwarder.exchange_peers())
            .with_regions(components.settings.regions.clone());
        let name = components.settings.instance.clone();
        let shared = relay::Shared::new(name, components.freshness.clone())
            .with_metrics(components.metrics.clone());
        let shared = Arc::new(shared);
        let follower = Follower::new(
            adapters.store,
            adapters.schema,
            components.cell.clone(),
            state,
            shared.clone(),
            Arc::new(relay::client::Client::new(components.settings.instance.clone())),
            list_interval,
        )
        .with_heartbeat(components.settings.heartbeat);
        let listener = peers.map(|bound| bound.listener.into_std()).transpose()?;
        let clients = components.clients.clone();
        let control = runtime::Builder::new_current_thread().enable_all().build()?;
        let (control_sender, dropped) = oneshot::channel::<()>();
        thread::Builder::new().name("control".to_owned()).spawn(move || {
            control.block_on(async move {
                if let Some(listener) = listener {
                    serve_peers(listener, shared, &clients);
                }
                tokio::select! {
                    () = follower.run() => {}
                    _ = dropped => log::info!("stopped following the store"),
                }
            });
        })?;
        Ok(Self {
            components,
            callers: callers_address,
            readiness: readiness_address,
            tasks,
            _control: control_sender,
        })
    }

    /// Returns the address for callers, with the port that the operating system chose if the
    /// settings contain port 0.
    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address for the readiness checks of the load balancer.
    pub const fn readiness(&self) -> SocketAddr {
        self.readiness
    }

    /// Returns the shared components.
    pub const fn components(&self) -> &Arc<Components> {
        &self.components
    }

    /// Stops the instance gracefully. It is not ready from now on, closes idle connections once the
    /// load balancer has noticed, and waits within the grace period until the requests in flight have
    /// been answered and the answers are written. Those that are not answered shortly before its end get an
    /// answer that states whether they may have run.
    pub async fn stop(self) -> Stopped {
        let deadline = Instant::now() + self.components.settings.grace.saturating_sub(EXIT_MARGIN);
        self.components.stopping_since.get_or_init(Instant::now);
        tokio::time::sleep(BALANCER_DETECTION_TIME).await;
        self.components.closing.send_replace(true);
        tokio::time::sleep(
            STOP_ACCEPT_TIME.saturating_sub(BALANCER_DETECTION_TIME) + DRAIN_POLL_INTERVAL,
        )
        .await;
        // A connection is closed once its last answer is written, which may be after its request
        // has ended, or once the head of a request that is arriving is complete or late.
        let (in_flight, serving) = (&self.components.in_flight, &self.components.serving);
        while in_flight.count() + serving.count() > 0 && Instant::now() < deadline {
            if Instant::now() + END_MARGIN >= deadline {
                self.components.forwarder.end();
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        for task in &self.tasks {
            task.abort();
        }
        Stopped { interrupted: in_flight.count().max(serving.count()) }
    }
}

/// Serves other instances on the current runtime, which must not be the one that bound the listener.
fn serve_peers(listener: std::net::TcpListener, shared: Arc<relay::Shared>, clients: &Clients) {
    match TcpListener::from_std(listener) {
        Ok(listener) => {
            tokio::spawn(relay::server::serve(listener, shared, clients.peers.clone()));
        }
        Err(error) => {
            log::error!("other instances can't follow this one, restart it; cause={error}");
        }
    }
}

/// Returns a new secret for the frames of this instance.
fn new_secret() -> Arc<str> {
    let bytes: [u64; 2] = rand::random();
    format!("{:016x}{:016x}", bytes[0], bytes[1]).into()
}

/// Closes idle connections to servers and removes the load statistics of unknown servers, at a
/// fixed interval, until the task is aborted.
async fn sweep(forwarder: Arc<Forwarder>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        forwarder.sweep();
    }
}
