//! Services whose servers are brittle, and what their rejections limit.

use {
    super::{
        Limits,
        room::{self, Reduction, Seen, Slots},
    },
    crate::registry::Server,
    hawthornmount_core::id::{ServerId, ServiceId},
    std::time::{Duration, Instant},
};

/// Time after the last statement for which the servers of a service count as brittle. An instance
/// with a small share gets few answers.
const BRITTLE_TIME: Duration = Duration::from_secs(10);
/// Time by which it is longer for each instance of the fleet.
const BRITTLE_TIME_PER_INSTANCE: Duration = Duration::from_millis(100);

/// A service whose servers state that they are brittle.
#[derive(Clone, Debug)]
pub struct Service {
    id: ServiceId,
    until: Instant,
    /// Until when this instance keeps to its shares.
    keeps_to_shares_until: Option<Instant>,
}

/// A brittle server.
#[derive(Clone, Debug)]
pub struct Row {
    server: ServerId,
    /// Number of members that come before this instance in the order for the server.
    rank: usize,
    reduction: Option<Reduction>,
}

impl Limits {
    /// Records that the servers of a service are brittle, and returns whether that is new.
    pub fn record_brittle(&mut self, service: &ServiceId, now: Instant) -> bool {
        let members = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let until = now + BRITTLE_TIME + BRITTLE_TIME_PER_INSTANCE * members;
        match self.services.binary_search_by(|known| known.id.cmp(service)) {
            Ok(at) => std::mem::replace(&mut self.services[at].until, until) <= now,
            Err(at) => {
                let service = Service { id: service.clone(), until, keeps_to_shares_until: None };
                self.services.insert(at, service);
                true
            }
        }
    }

    /// Returns whether the servers of a service are brittle.
    pub fn is_brittle(&self, service: &str, now: Instant) -> bool {
        self.brittle_service(service, now).is_some()
    }

    /// Returns the position of a service whose servers are brittle.
    fn brittle_service(&self, service: &str, now: Instant) -> Option<usize> {
        let found = self.services.binary_search_by(|known| (*known.id).cmp(service));
        found.ok().filter(|at| now < self.services[*at].until)
    }

    /// Records that a server rejected a request for want of room while `in_flight` requests of this
    /// instance were in flight there.
    pub fn record_rejection(&mut self, server: &Server, in_flight: u32, now: Instant) {
        if let Some(service) = self.brittle_service(&server.service, now) {
            let time = room::share_time(self.members.len());
            self.services[service].keeps_to_shares_until = Some(now + time);
            let at = self.brittle(&server.id);
            self.brittle[at].reduction = Some(Reduction::new(in_flight, now));
        }
    }

    /// Returns whether a server has room for one more request of this instance.
    pub fn has_room(&mut self, server: &Server, seen: &Seen, now: Instant) -> bool {
        let Some(service) = self.brittle_service(&server.service, now) else { return true };
        let until = self.services[service].keeps_to_shares_until;
        let keeps_to_share = until.is_some_and(|until| now < until);
        let at = self.brittle(&server.id);
        let limit = self.brittle[at].reduction.map(|one| one.limit(self.members.len(), now));
        limit.is_none_or(|limit| seen.in_flight < limit)
            && self.slots(server, at).has_room(seen, keeps_to_share)
    }

    /// Returns whether this instance holds a share of the slots of a server, if it is brittle.
    pub(super) fn holds_slot(&mut self, server: &Server, now: Instant) -> bool {
        if !self.is_brittle(&server.service, now) {
            return true;
        }
        let at = self.brittle(&server.id);
        self.slots(server, at).share() > 0
    }

    /// Returns the slots of a server, which is the brittle one at `at`.
    fn slots(&self, server: &Server, at: usize) -> Slots {
        let (instances, rank) = (self.members.len(), self.brittle[at].rank);
        Slots { count: server.slots, instances, rank }
    }

    /// Removes the brittle servers for which `is_known` is false.
    pub fn retain_brittle(&mut self, is_known: impl Fn(&str) -> bool, now: Instant) {
        self.services.retain(|known| now < known.until);
        self.brittle.retain(|row| is_known(&row.server));
    }

    /// Sets the order of the members for each brittle server again.
    pub(super) fn rank_brittle(&mut self) {
        for at in 0..self.brittle.len() {
            self.brittle[at].rank = self.rank_for(&self.brittle[at].server);
        }
    }

    /// Returns the position of a server, which is added if it is not known.
    fn brittle(&mut self, server: &ServerId) -> usize {
        match self.brittle.binary_search_by(|row| row.server.cmp(server)) {
            Ok(at) => at,
            Err(at) => {
                let rank = self.rank_for(server);
                self.brittle.insert(at, Row { server: server.clone(), rank, reduction: None });
                at
            }
        }
    }
}
