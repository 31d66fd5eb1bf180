//! Division of a rate limit among the instances of the fleet.
//!
//! The limit is one for the whole fleet, and no message is exchanged for a request. A number of
//! instances hold equal shares, and each of them keeps an interval between its requests. Which
//! instances hold one follows from their order for the server, which all instances that know the same
//! members agree on. Views of the members differ for a time, so there are as many holders as possible
//! while a few more than intended still keep the limit.

use {super::Rate, std::time::Duration};

/// Window in which the requests at a server that states a rate limit are counted.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Requests that a window may contain, as a multiple of the limit.
pub const WINDOW_FACTOR: f64 = 1.5;
/// Requests that a window may contain in addition.
pub const WINDOW_SLACK: f64 = 5.0;
/// Difference between the times that two requests take to their server.
const TRANSIT: Duration = Duration::from_millis(500);
/// Holders more than intended with which the limit is still kept.
const SPARE_HOLDERS: usize = 3;

/// Largest number of requests that may reach a server in a window: `factor` times its rate over the
/// window, and `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Requests a second that the server takes from the whole fleet.
    pub rate: Rate,
    /// Length of the window; every span of that length counts.
    pub window: Duration,
    /// Multiple of the rate that a window may contain.
    pub factor: f64,
    /// Requests that a window may contain in addition.
    pub slack: f64,
}

impl Bound {
    /// Returns the bound of a server that states a rate limit.
    pub const fn of_statement(rate: Rate) -> Self {
        Self { rate, window: WINDOW, factor: WINDOW_FACTOR, slack: WINDOW_SLACK }
    }

    /// Returns the number of requests that a window may contain.
    pub fn requests(&self) -> f64 {
        self.factor * self.rate * self.window.as_secs_f64() + self.slack
    }
}

/// Shares into which a limit is divided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Division {
    /// Number of instances that hold a share.
    pub holders: usize,
    /// Time between two requests of a holder.
    pub interval: Duration,
}

impl Division {
    /// Divides the limit that a server states among the instances of a fleet.
    pub fn new(rate: Rate, instances: usize) -> Self {
        Self::within(&Bound::of_statement(rate), instances)
    }

    /// Divides a limit among the instances of a fleet.
    pub fn within(bound: &Bound, instances: usize) -> Self {
        let of = |holders: usize| Self {
            holders,
            interval: Duration::from_secs_f64(holders as f64 / bound.rate),
        };
        let most = (1..=instances).rev().map(of);
        let spare = |division: &Self| division.spare_holders_of(bound);
        let enough = most.clone().find(|division| spare(division) >= Some(SPARE_HOLDERS));
        enough.or_else(|| most.max_by_key(spare)).unwrap_or_else(|| of(1))
    }

    /// Returns how many holders more than intended still keep the limit; `None` if the intended ones
    /// don't keep it for certain.
    pub fn spare_holders(&self, rate: Rate) -> Option<usize> {
        self.spare_holders_of(&Bound::of_statement(rate))
    }

    /// Returns the same for any limit.
    pub fn spare_holders_of(&self, bound: &Bound) -> Option<usize> {
        let span = (bound.window + TRANSIT).as_secs_f64();
        let requests = (span / self.interval.as_secs_f64()).floor() + 1.0;
        ((bound.requests() / requests).floor() as usize).checked_sub(self.holders)
    }
}
