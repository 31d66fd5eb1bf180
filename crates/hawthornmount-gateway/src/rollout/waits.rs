//! Counts the requests whose responses start late.
//!
//! A latency is known only once a response has started. Of the requests of the last second, those
//! with short latencies are then known first, and a slow version seems to be as fast as the others.
//! A request that has waited too long therefore counts as late while it still waits.

use {
    super::{
        comparison::{self, Comparison, Table},
        counts::Counts,
        evidence::Regression,
        latency,
    },
    crate::route::RouteId,
    hawthornmount_core::id::{ServiceId, VersionId},
    std::{
        fmt::{self, Display, Formatter},
        time::Instant,
    },
};

/// Factor by which the time until a response starts has to exceed the expected one for the request
/// to count as late.
const LATE_FACTOR: u32 = 4;
/// Fewest late requests that count as evidence against a version.
const MIN_LATE: u32 = 4;
/// Lower limit of the baseline rate of late requests. Delays come in bursts, which can hit a fifth
/// of the servers of a new version.
const MIN_BASELINE_LATE_RATE: f64 = 0.2;

/// Number that identifies a waiting request.
pub type WaitId = u64;

/// Counts of requests on one route, of which the late ones are bad.
pub type LateComparison = Comparison<RouteId, Counts>;

/// A request that was sent to a server.
#[derive(Clone, Debug)]
pub struct Wait {
    /// Service of the server.
    pub service: ServiceId,
    /// Version of the server.
    pub version: VersionId,
    /// Route of the request.
    pub route: RouteId,
    /// Prompt tokens that the server had to process because it had not cached them.
    pub uncached_tokens: u32,
    /// When the request was sent.
    pub sent_at: Instant,
}

#[derive(Clone, Debug)]
struct Row {
    id: WaitId,
    wait: Wait,
    late_at: Instant,
}

/// Waiting requests of an instance, and counts of those that were answered or are late.
#[derive(Clone, Debug, Default)]
pub struct Waits {
    next_id: WaitId,
    /// Requests that are not late yet, in order of their ids.
    rows: Vec<Row>,
    counts: Table<RouteId, Counts>,
}

impl Waits {
    /// Records that a request was sent.
    pub fn begin(&mut self, wait: Wait) -> WaitId {
        let id = self.next_id;
        self.next_id += 1;
        let late_at = wait.sent_at + latency::expected_start(wait.uncached_tokens) * LATE_FACTOR;
        self.rows.push(Row { id, wait, late_at });
        id
    }

    /// Records that a request no longer waits. If no server answered it, it counts only if it was
    /// late.
    pub fn end(&mut self, id: WaitId, is_answered: bool, now: Instant) {
        let Ok(at) = self.rows.binary_search_by_key(&id, |row| row.id) else { return };
        let row = self.rows.remove(at);
        let is_late = row.late_at <= now;
        if is_answered || is_late {
            self.count(&row.wait, is_late);
        }
    }

    /// Discards the requests to a service.
    pub fn forget(&mut self, service: &ServiceId) {
        self.rows.retain(|row| row.wait.service != *service);
        self.counts.forget(service);
    }

    /// Returns the counts of `version` and of the other versions of its service, by route, with the
    /// requests that are late by now.
    pub fn compare(
        &mut self,
        service: &ServiceId,
        version: &VersionId,
        now: Instant,
    ) -> Vec<LateComparison> {
        let is_late = |row: &mut Row| row.late_at <= now;
        let late: Vec<Row> = self.rows.extract_if(.., is_late).collect();
        for row in late {
            self.count(&row.wait, true);
        }
        self.counts.compare(service, version)
    }

    fn count(&mut self, wait: &Wait, is_late: bool) {
        let counts = self.counts.entry(&wait.service, &wait.version, wait.route.clone());
        counts.all += 1;
        counts.bad += u32::from(is_late);
    }
}

impl Display for LateComparison {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { scope, new, old } = self;
        write!(formatter, "late/{scope}:new={}/{},old={}/{}", new.bad, new.all, old.bad, old.all)
    }
}

/// Returns the regression in the rate of late requests of the new version, if there is one: on all
/// routes together or on one.
pub fn late_regression<'a>(late: impl Iterator<Item = &'a LateComparison>) -> Option<Regression> {
    let routes = comparison::merge(late.cloned());
    let (mut new, mut old) = (Counts::default(), Counts::default());
    for route in &routes {
        comparison::Aggregate::add(&mut new, route.new);
        comparison::Aggregate::add(&mut old, route.old);
    }
    let is_late =
        |new: Counts, old: Counts| new.is_failing_more(old, MIN_LATE, MIN_BASELINE_LATE_RATE);
    if is_late(new, old) {
        return Some(Regression::Late { new, old, route: None });
    }
    let late = routes.into_iter().find(|route| is_late(route.new, route.old))?;
    Some(Regression::Late { new: late.new, old: late.old, route: Some(late.scope) })
}
