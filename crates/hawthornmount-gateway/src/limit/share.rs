//! Division of a rate limit among the instances of the fleet.
//!
//! The limit is one for the whole fleet, and no message is exchanged for a request. A number of
//! instances hold equal shares, and each of them keeps an interval between its requests. Which
//! instances hold one follows from their order for the server, which all instances that know the same
//! members agree on. Views of the members differ for a time, so there are as many holders as possible
//! while a few more than intended still keep the limit.

use {super::Rate, std::time::Duration};

/// Window in which the requests at a server are counted.
pub const WINDOW: Duration = Duration::from_secs(4);
/// Requests that a window may contain, as a multiple of the limit.
pub const WINDOW_FACTOR: f64 = 1.5;
/// Requests that a window may contain in addition.
pub const WINDOW_SLACK: f64 = 5.0;
/// Difference between the times that two requests take to their server.
const TRANSIT: Duration = Duration::from_millis(500);
/// Holders more than intended with which the limit is still kept.
const SPARE_HOLDERS: usize = 3;

/// Shares into which a limit is divided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Division {
    /// Number of instances that hold a share.
    pub holders: usize,
    /// Time between two requests of a holder.
    pub interval: Duration,
}

impl Division {
    /// Divides a limit among the instances of a fleet.
    pub fn new(rate: Rate, instances: usize) -> Self {
        let of = |holders: usize| Self {
            holders,
            interval: Duration::from_secs_f64(holders as f64 / rate),
        };
        let most = (1..=instances).rev().map(of);
        let spare = |division: &Self| division.spare_holders(rate);
        let enough = most.clone().find(|division| spare(division) >= Some(SPARE_HOLDERS));
        enough.or_else(|| most.max_by_key(spare)).unwrap_or_else(|| of(1))
    }

    /// Returns how many holders more than intended still keep the limit; `None` if the intended ones
    /// don't keep it for certain.
    pub fn spare_holders(&self, rate: Rate) -> Option<usize> {
        let allowed = WINDOW_FACTOR * rate * WINDOW.as_secs_f64() + WINDOW_SLACK;
        let span = (WINDOW + TRANSIT).as_secs_f64();
        let requests = (span / self.interval.as_secs_f64()).floor() + 1.0;
        ((allowed / requests).floor() as usize).checked_sub(self.holders)
    }
}
