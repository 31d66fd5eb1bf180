//! Tracks when the store last confirmed that the configuration in force is the latest one.
//!
//! A key that the operator revokes has to stop working within a bound on every instance, also on
//! one that is partitioned or whose process was suspended. A request with a key may therefore only
//! be sent to a server while the last confirmation is younger than that bound. The age is measured
//! from the moment at which the store was asked, not from its response, with a clock that also
//! advances while the machine is suspended.

use {
    hawthornmount_core::clock::Clock,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
};

/// Longest time between the check of the age and the arrival of the request at its server.
const REQUEST_TRANSIT: Duration = Duration::from_millis(150);

/// Share of the propagation bound within which the configuration proves that something does not
/// exist; the rest is for the transit of the request.
const PROPAGATION_SHARE: f64 = 0.8;

/// Last confirmation by the store that no newer content of some kind exists.
pub struct Tracker {
    clock: Arc<dyn Clock>,
    /// Time of the boot clock, in microseconds, at which the store was asked for the last
    /// confirmation; 0 if there was none.
    confirmed_us: AtomicU64,
}

/// Age of the last confirmation of the configuration, and of the directory.
///
/// The directory is what the instances have to know of servers. It is confirmed with the whole
/// content, and apart from it while the whole content takes long to read.
pub struct Freshness {
    content: Tracker,
    directory: Tracker,
    /// Whether the store may have been restored so recently that it can't confirm anything yet.
    is_settling: AtomicBool,
    revocation_bound: Duration,
    propagation_bound: Duration,
}

impl Tracker {
    /// Creates a tracker without a confirmation.
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, confirmed_us: AtomicU64::new(0) }
    }

    /// Returns the current time for [`Tracker::confirm`].
    pub fn now(&self) -> Duration {
        self.clock.since_boot()
    }

    /// Records that the store, asked at `asked`, confirmed that nothing newer exists.
    pub fn confirm(&self, asked: Duration) {
        let micros = u64::try_from(asked.as_micros()).unwrap_or(0);
        self.confirmed_us.fetch_max(micros, Ordering::SeqCst);
    }

    /// Returns the time at which the store was asked for the last confirmation, if there was one.
    pub fn confirmed(&self) -> Option<Duration> {
        match self.confirmed_us.load(Ordering::SeqCst) {
            0 => None,
            asked => Some(Duration::from_micros(asked)),
        }
    }

    /// Returns the age of the last confirmation, or [`Duration::MAX`] if there was none.
    pub fn age(&self) -> Duration {
        self.confirmed().map_or(Duration::MAX, |asked| self.now().saturating_sub(asked))
    }
}

impl Freshness {
    /// Creates a tracker without a confirmation. A revoked key has to stop working within
    /// `revocation`, and a new configuration has to be in force within `propagation`.
    pub fn new(clock: Arc<dyn Clock>, revocation: Duration, propagation: Duration) -> Self {
        Self {
            content: Tracker::new(clock.clone()),
            directory: Tracker::new(clock),
            is_settling: AtomicBool::new(false),
            revocation_bound: revocation.saturating_sub(REQUEST_TRANSIT),
            propagation_bound: propagation.mul_f64(PROPAGATION_SHARE),
        }
    }

    /// Returns the last confirmation of the directory.
    pub const fn directory(&self) -> &Tracker {
        &self.directory
    }

    /// Returns the current time for [`Freshness::confirm`].
    pub fn now(&self) -> Duration {
        self.content.now()
    }

    /// Records that the store, asked at `asked`, confirmed that no newer content exists.
    pub fn confirm(&self, asked: Duration) {
        self.directory.confirm(asked);
        self.content.confirm(asked);
    }

    /// Sets whether the store may have been restored so recently that it can't confirm anything yet.
    pub fn set_settling(&self, is_settling: bool) {
        self.is_settling.store(is_settling, Ordering::Relaxed);
    }

    /// Returns whether the first confirmation is still to come, and the store can't give it yet.
    pub fn awaits_first(&self) -> bool {
        self.is_settling.load(Ordering::Relaxed) && self.content.confirmed().is_none()
    }

    /// Returns the time at which the store was asked for the last confirmation, if there was one.
    pub fn confirmed(&self) -> Option<Duration> {
        self.content.confirmed()
    }

    /// Returns the age of the last confirmation, or [`Duration::MAX`] if there was none.
    pub fn age(&self) -> Duration {
        self.content.age()
    }

    /// Returns whether the configuration is recent enough to accept keys.
    pub fn is_within_revocation_bound(&self) -> bool {
        self.age() < self.revocation_bound
    }

    /// Returns whether the configuration is recent enough to conclude that something does not
    /// exist: an older one may lack entries that were added since.
    pub fn is_within_propagation_bound(&self) -> bool {
        self.age() < self.propagation_bound
    }
}
