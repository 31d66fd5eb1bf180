//! One instance: the product's follower with its clock, and what is known of its history.

use {
    super::{
        codec::{Plain, SERVER, api_key},
        history::contact,
        network::{Access, Network, id},
    },
    hawthornmount_core::clock::Clock,
    hawthornmount_gateway::{
        follow::{Follower, State, visibility_delay},
        freshness::Freshness,
        membership::{Membership, Size},
        relay::Shared,
        rollout::{
            Driver,
            driver::{Limits, Sources},
        },
        view::Cell,
    },
    parking_lot::Mutex,
    std::{
        sync::Arc,
        time::{Duration, Instant, SystemTime},
    },
    tokio::task::AbortHandle,
};

/// Bounds of the platform.
pub const REVOCATION: Duration = Duration::from_secs(5);
pub const PROPAGATION: Duration = Duration::from_secs(4);
/// Interval between two lists of a reader.
pub const LIST_INTERVAL: Duration = Duration::from_millis(1_600);

/// Boot clock of an instance, which differs from those of the others.
pub struct BootClock {
    /// Time of this clock at the start of the model.
    pub offset: Duration,
    pub start: tokio::time::Instant,
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.since_boot()
    }

    fn since_boot(&self) -> Duration {
        self.offset + self.start.elapsed()
    }
}

/// One start of an instance.
pub struct Node {
    pub shared: Arc<Shared>,
    pub cell: Arc<Cell>,
    pub task: AbortHandle,
    pub offset: Duration,
    /// Latest configuration that was in force.
    pub version: u64,
    /// Whether the server was in use, and was out of use again.
    pub has_used_server: bool,
    pub has_left_server: bool,
    /// Hash of all that has happened to the instance, which determines its state.
    pub digest: u64,
}

impl Node {
    /// Starts an instance.
    pub fn start(network: &Arc<Mutex<Network>>, number: usize) -> Self {
        let offset = Duration::from_secs(1_000 - 137 * number as u64);
        let clock = Arc::new(BootClock { offset, start: network.lock().start });
        let freshness = Freshness::new(clock, REVOCATION, PROPAGATION);
        let shared = Arc::new(Shared::new(id(number), Arc::new(freshness)));
        let access = || Arc::new(Access { network: network.clone(), number });
        let sources = Sources { collector: Arc::default(), loads: Arc::default() };
        let limits = Limits {
            visibility_delay: visibility_delay(LIST_INTERVAL),
            allowed_exposure: 0.12,
            exposure_slack: 0.0,
        };
        let driver = Driver::new(&id(number), Arc::new(Plain), sources, limits);
        let membership = Membership::new(id(number), Some(contact()), Size::default());
        let state = State::new(Arc::new(Plain), driver, membership);
        let cell = Arc::new(Cell::default());
        let follower = Follower::new(
            access(),
            Arc::new(Plain),
            cell.clone(),
            state,
            shared.clone(),
            access(),
            LIST_INTERVAL,
        );
        Self {
            shared,
            cell,
            task: tokio::task::spawn_local(follower.run()).abort_handle(),
            offset,
            version: 0,
            has_used_server: false,
            has_left_server: false,
            digest: 0,
        }
    }

    /// Returns when the store was asked for the last confirmation, by the clock of the model.
    pub fn confirmed(&self) -> Option<Duration> {
        // A confirmation before the start of the model would be older than all changes.
        self.shared.freshness.confirmed().map(|at| at.saturating_sub(self.offset))
    }

    /// Records what is in force.
    ///
    /// # Errors
    ///
    /// Returns what went back.
    pub fn observe(&mut self) -> Result<(), String> {
        let view = self.cell.load();
        let version = view.rules.version;
        if version < self.version {
            return Err(format!("configuration {version} in force after {}", self.version));
        }
        if let Some(old) = (1..version).find(|old| view.rules.principal(&api_key(*old)).is_some()) {
            return Err(format!("the key of {old} is accepted with {version} in force"));
        }
        self.version = version;
        let uses_server = self.uses_server();
        if uses_server && self.has_left_server {
            return Err("the server that drained is used again".to_owned());
        }
        self.has_left_server |= self.has_used_server && !uses_server;
        self.has_used_server |= uses_server;
        Ok(())
    }

    /// Returns whether requests go to the server.
    pub fn uses_server(&self) -> bool {
        self.cell.load().has_server(SERVER.trim_start_matches("server/"))
    }
}
