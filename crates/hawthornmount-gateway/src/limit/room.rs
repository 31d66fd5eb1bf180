//! Room at brittle servers, which fall over if they have to reject too many requests in a second.
//!
//! Load: several times what the servers can serve, at few or hundreds of instances whose views of the
//! servers' loads are late. The slots of a server are divided among the instances, so that the
//! requests in flight of all of them fit. Beyond its share, an instance uses an equal part of what the
//! last report shows as free. A rejection all the same closes the server for this instance and halves
//! what it has in flight there; that grows again by one request for each instance and second. The
//! instance then keeps to its shares for a time that is longer in a larger fleet, so that all instances
//! together cause few rejections.

use std::time::{Duration, Instant};

/// Part of the slots up to which instances use more than their shares.
const FILLED: f64 = 0.7;
/// Time for which a server is left alone after it rejected a request.
const CLOSED_TIME: Duration = Duration::from_secs(1);
/// Time after which one more request is tried at a server that rejected one, for each instance.
const GROWTH_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which an instance keeps to its shares after a rejection, for each instance of the fleet.
const SHARE_TIME: Duration = Duration::from_millis(500);

/// Returns the time for which an instance of a fleet keeps to its shares after a rejection.
pub fn share_time(instances: usize) -> Duration {
    SHARE_TIME * u32::try_from(instances.max(1)).unwrap_or(u32::MAX)
}

/// Slots of a server, which are divided among the instances.
#[derive(Clone, Copy, Debug)]
pub struct Slots {
    /// Requests that the server takes at a time.
    pub count: u32,
    /// Instances of the fleet.
    pub instances: usize,
    /// Number of instances that come before this one in the order for the server.
    pub rank: usize,
}

/// Load of a server as this instance sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Requests of this instance in flight there.
    pub in_flight: u32,
    /// The last report, unless it is too old.
    pub report: Option<Report>,
}

/// What a server reported.
#[derive(Clone, Copy, Debug)]
pub struct Report {
    /// Requests that ran or waited.
    pub requests: u32,
    /// Requests that waited.
    pub waiting: u32,
    /// Requests of this instance in flight there when the report arrived.
    pub in_flight: u32,
    /// Uniform draw from 0 to 1, which decides on a part of a slot. There is one for each report, so
    /// that several requests don't draw until one is lucky.
    pub draw: f64,
}

/// Limit on the requests in flight after a rejection.
#[derive(Clone, Copy, Debug)]
pub struct Reduction {
    at: Instant,
    in_flight: u32,
}

impl Slots {
    /// Returns the slots that this instance may use whatever the others do.
    pub fn share(&self) -> u32 {
        let instances = self.instances.max(1);
        let count = self.count as usize;
        let rest = usize::from(self.rank < count % instances);
        u32::try_from(count / instances + rest).unwrap_or(u32::MAX)
    }

    /// Returns whether this instance may have one more request in flight at the server, given whether
    /// it keeps to its share.
    pub fn has_room(&self, seen: &Seen, keeps_to_share: bool) -> bool {
        let allowance = if keeps_to_share { 0 } else { self.allowance(seen) };
        seen.in_flight < self.share().max(allowance)
    }

    /// Returns the requests that this instance may have in flight by the last report.
    fn allowance(&self, seen: &Seen) -> u32 {
        let Some(report) = seen.report.filter(|report| report.waiting == 0) else { return 0 };
        let free = (f64::from(self.count) * FILLED - f64::from(report.requests)).max(0.0);
        let part = free / self.instances.max(1) as f64;
        report.in_flight + (part + report.draw).floor() as u32
    }
}

impl Reduction {
    /// Creates the reduction after a rejection while `in_flight` requests were in flight.
    pub const fn new(in_flight: u32, now: Instant) -> Self {
        Self { at: now, in_flight: in_flight / 2 }
    }

    /// Returns the requests that may be in flight. All instances of the fleet grow at the same time.
    pub fn limit(&self, instances: usize, now: Instant) -> u32 {
        let since = now.saturating_duration_since(self.at);
        if since < CLOSED_TIME {
            return 0;
        }
        let interval = GROWTH_INTERVAL.as_secs_f64() * instances.max(1) as f64;
        let growth = (since - CLOSED_TIME).as_secs_f64() / interval;
        (self.in_flight.max(1)).saturating_add(growth as u32)
    }
}
