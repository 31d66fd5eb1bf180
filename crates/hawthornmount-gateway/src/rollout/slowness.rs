//! Counts the responses to requests without a prompt that take several times the usual time.
//!
//! Such requests take a few milliseconds or many, depending on the service, so what is slow is learned
//! from the version that has responded most often. The mean latency hides a version that is slow on a part
//! of the requests: the way to the server is a large part of a short time.

use {
    super::{
        comparison::{Aggregate, Comparison, Table},
        counts::Counts,
    },
    crate::route::RouteId,
    hawthornmount_core::id::{ServiceId, VersionId},
    std::time::Duration,
};

/// Factor by which a response has to exceed the usual time to count as slow, beyond [`LONGEST_WAY`].
const SLOW_FACTOR: f64 = 3.0;
/// Longest round trip between regions. The usual responses may be those of servers nearby, while the few
/// servers of a new version are in other regions.
const LONGEST_WAY: Duration = Duration::from_millis(30);
/// Fewest responses from which the usual time is known.
const MIN_USUAL_RESPONSES: u32 = 8;

/// Counts of responses on one route, of which the slow ones are bad.
pub type SlowComparison = Comparison<RouteId, Counts>;

/// Sum of the times of responses.
#[derive(Clone, Copy, Debug, Default)]
struct Times {
    count: u32,
    sum: Duration,
}

impl Aggregate for Times {
    fn add(&mut self, other: Self) {
        self.count += other.count;
        self.sum += other.sum;
    }
}

/// Times and counts of the responses of all versions, by route.
#[derive(Clone, Debug, Default)]
pub struct Slowness {
    times: Table<RouteId, Times>,
    counts: Table<RouteId, Counts>,
}

impl Slowness {
    /// Records the time of a response. Responses count once the usual time is known.
    pub fn record(
        &mut self,
        service: &ServiceId,
        version: &VersionId,
        route: &RouteId,
        time: Duration,
    ) {
        let versions = self.times.by_version(service, route);
        let usual = versions.max_by_key(|times| times.count);
        if let Some(usual) = usual.filter(|usual| usual.count >= MIN_USUAL_RESPONSES) {
            let is_slow = time > (usual.sum / usual.count).mul_f64(SLOW_FACTOR) + LONGEST_WAY;
            let counts = self.counts.entry(service, version, route.clone());
            counts.add(Counts { all: 1, bad: u32::from(is_slow) });
        }
        self.times.entry(service, version, route.clone()).add(Times { count: 1, sum: time });
    }

    /// Discards the responses of a service.
    pub fn forget(&mut self, service: &ServiceId) {
        self.times.forget(service);
        self.counts.forget(service);
    }

    /// Returns the counts of `version` and of the other versions of its service, by route.
    pub fn compare(&self, service: &ServiceId, version: &VersionId) -> Vec<SlowComparison> {
        self.counts.compare(service, version)
    }
}
