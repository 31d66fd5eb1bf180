//! Choice of the instance to which a request is passed.
//!
//! Load: any part of each data centre reaches no server of a service, with up to a hundred instances in
//! a data centre. What others answer is remembered by instance and service. Instances that served are
//! asked again; others are asked until enough are known, first those of data centres in which most known
//! instances serve. Of two that are drawn the less loaded one is taken, so that the requests spread.

use {
    hawthornmount_core::id::{DataCentreId, InstanceId, ServerId, ServiceId},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Instances that may decline one request.
pub const MAX_DECLINES: u32 = 16;
/// Time for which it is remembered that an instance reaches servers of a service, or that it does not.
const MEMORY_TIME: Duration = Duration::from_secs(10);
/// Number of instances known to serve from which others are no longer asked.
const ENOUGH_INSTANCES: usize = 8;
/// Number of instances of the own data centre known to serve from which no other one is asked, if a half
/// of those that are known serve: fewer would take the requests of all.
const ENOUGH_NEAR_INSTANCES: usize = 4;
/// Share of the instances of a data centre that are expected to serve, from which they are asked before
/// those of others.
const MIN_LIKELY_SHARE: f64 = 1.0 / 3.0;
/// Share of the instances of a data centre that are expected to serve, from which those that were not
/// asked are taken to serve.
const MIN_TRUSTED_SHARE: f64 = 0.75;
/// Number of instances known to reach no server of a service, while none is known to reach one, from
/// which the servers seem to be down.
const MANY_CUT_OFF: usize = 24;
/// Interval at which an instance is asked all the same.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Another instance that takes requests of instances which reach no server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Neighbour {
    /// Name of the instance.
    pub id: InstanceId,
    /// Its name among the destinations of requests.
    pub destination: ServerId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Address for requests of other instances.
    pub address: SocketAddr,
    /// Secret with which requests to it are marked.
    pub secret: Arc<str>,
}

/// Request that is to be passed.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Service of the request.
    pub service: &'a ServiceId,
    /// Data centre of this instance.
    pub data_centre: &'a str,
    /// Whether an instance has declined the request. It then goes to one that is known to serve, if there
    /// is one.
    pub is_declined: bool,
}

/// What an instance has last shown about its path to the servers of a service.
#[derive(Clone, Debug)]
struct Known {
    id: InstanceId,
    service: ServiceId,
    has_path: bool,
    at: Instant,
}

/// Number of instances of a data centre, by what is known of them.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    with_path: usize,
    cut_off: usize,
}

/// An instance that may be asked.
struct Candidate<'a> {
    row: &'a Arc<Neighbour>,
    load: u32,
    /// Whether it has a path to the servers, if that is known, and since when.
    known: Option<(bool, Instant)>,
    /// Share of its data centre that is expected to have a path.
    likely_share: f64,
}

/// The other instances, and which of them reach the servers of a service.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    rows: Vec<Arc<Neighbour>>,
    /// In order of instance and service.
    known: Vec<Known>,
    last_retry: Option<Instant>,
}

impl Neighbours {
    /// Replaces the instances.
    pub fn set(&mut self, rows: Vec<Arc<Neighbour>>) {
        self.known.retain(|known| rows.iter().any(|row| row.id == known.id));
        self.rows = rows;
    }

    /// Returns whether a destination of requests is an instance.
    pub fn contains(&self, destination: &str) -> bool {
        self.rows.iter().any(|row| *row.destination == *destination)
    }

    /// Records whether an instance reaches servers of a service.
    pub fn record(
        &mut self,
        neighbour: &Neighbour,
        service: &ServiceId,
        has_path: bool,
        now: Instant,
    ) {
        let (id, service) = (neighbour.id.clone(), service.clone());
        let known = Known { id, service, has_path, at: now };
        match self.position(&known.id, &known.service) {
            Ok(at) => self.known[at] = known,
            Err(at) => self.known.insert(at, known),
        }
    }

    /// Returns the number of instances, and how many of them are known to reach no server of a service.
    pub fn counts(&self, service: &ServiceId, now: Instant) -> (usize, usize) {
        let is_cut_off =
            |row: &&Arc<Neighbour>| matches!(self.known(row, service, now), Some((false, _)));
        (self.rows.len(), self.rows.iter().filter(is_cut_off).count())
    }

    /// Chooses an instance for a request, of the own data centre if a good part of that one reaches
    /// servers. `load` returns the requests in flight at an instance, or `None` if it is not to be
    /// asked; `random` is a uniform draw from 0 to 1.
    pub fn choose(
        &mut self,
        query: Query<'_>,
        load: impl Fn(&Neighbour) -> Option<u32>,
        random: impl Fn() -> f64,
        now: Instant,
    ) -> Option<Arc<Neighbour>> {
        let Query { service, data_centre: own, is_declined } = query;
        let data_centres = self.data_centres(service, now);
        let all: Vec<Candidate<'_>> = self
            .rows
            .iter()
            .filter_map(|row| {
                let load = load(row)?;
                let at = data_centres.binary_search_by(|(id, _)| id.cmp(&row.data_centre)).ok()?;
                let likely_share = data_centres[at].1.likely_share();
                Some(Candidate { row, load, known: self.known(row, service, now), likely_share })
            })
            .collect();
        let own_counts = data_centres.binary_search_by(|(id, _)| (**id).cmp(own));
        let stays_near = own_counts.is_ok_and(|at| data_centres[at].1.is_enough())
            && all.iter().any(|one| one.is_near(own) && !one.is_cut_off());
        let pool: Vec<&Candidate<'_>> =
            all.iter().filter(|one| !stays_near || one.is_near(own)).collect();
        let with_path = pool.iter().filter(|one| one.has_path()).count();
        let is_good = |one: &Candidate<'_>| one.has_path() || one.is_trusted();
        let good: Vec<_> = pool.iter().copied().filter(|one| is_good(one)).collect();
        let mut others: Vec<_> =
            pool.iter().copied().filter(|one| one.is_unknown() && !is_good(one)).collect();
        if others.iter().any(|one| one.likely_share >= MIN_LIKELY_SHARE) {
            others.retain(|one| one.likely_share >= MIN_LIKELY_SHARE);
        }
        // Those that are trusted are enough although nobody has asked them.
        let has_trusted = good.len() > with_path;
        let share = if has_trusted || is_declined {
            1.0
        } else {
            with_path as f64 / ENOUGH_INSTANCES as f64
        };
        let asks_good = others.is_empty() || (!good.is_empty() && random() < share);
        let asked = if asks_good { &good } else { &others };
        let known_cut_off: usize = data_centres.iter().map(|(_, counts)| counts.cut_off).sum();
        let seems_down = good.is_empty() && known_cut_off >= MANY_CUT_OFF;
        if !asked.is_empty() && !seems_down {
            return Some(Arc::clone(draw(asked, random).row));
        }
        if self.last_retry.is_some_and(|last| now < last + RETRY_INTERVAL) {
            return None;
        }
        let oldest = || all.iter().min_by_key(|one| one.known.map(|(_, at)| at));
        let chosen = if asked.is_empty() { oldest()? } else { draw(asked, random) };
        let chosen = Arc::clone(chosen.row);
        self.last_retry = Some(now);
        Some(chosen)
    }

    /// Returns the data centres in ascending order, and what is known of their instances.
    fn data_centres(&self, service: &ServiceId, now: Instant) -> Vec<(DataCentreId, Counts)> {
        let mut counts: Vec<(DataCentreId, Counts)> = Vec::new();
        for row in &self.rows {
            let at = match counts.binary_search_by(|(id, _)| id.cmp(&row.data_centre)) {
                Ok(at) => at,
                Err(at) => {
                    counts.insert(at, (row.data_centre.clone(), Counts::default()));
                    at
                }
            };
            match self.known(row, service, now) {
                Some((true, _)) => counts[at].1.with_path += 1,
                Some((false, _)) => counts[at].1.cut_off += 1,
                None => {}
            }
        }
        counts
    }

    /// Returns whether an instance reaches servers of a service, and when it showed that.
    fn known(&self, row: &Neighbour, service: &ServiceId, now: Instant) -> Option<(bool, Instant)> {
        let known = &self.known[self.position(&row.id, service).ok()?];
        (now < known.at + MEMORY_TIME).then_some((known.has_path, known.at))
    }

    fn position(&self, id: &InstanceId, service: &ServiceId) -> Result<usize, usize> {
        self.known.binary_search_by(|known| (&known.id, &known.service).cmp(&(id, service)))
    }
}

impl Counts {
    /// Returns the share of the instances that is expected to have a path: a half if none is known.
    fn likely_share(self) -> f64 {
        (self.with_path + 1) as f64 / (self.with_path + self.cut_off + 2) as f64
    }

    /// Returns whether the instances can take the requests of those without a path.
    fn is_enough(self) -> bool {
        let is_certain = self.likely_share() >= MIN_TRUSTED_SHARE;
        let is_known = self.with_path >= ENOUGH_NEAR_INSTANCES || self.with_path + self.cut_off < 2;
        is_certain || (is_known && self.with_path >= self.cut_off)
    }
}

impl Candidate<'_> {
    fn is_near(&self, own: &str) -> bool {
        *self.row.data_centre == *own
    }

    fn has_path(&self) -> bool {
        matches!(self.known, Some((true, _)))
    }

    fn is_cut_off(&self) -> bool {
        matches!(self.known, Some((false, _)))
    }

    const fn is_unknown(&self) -> bool {
        self.known.is_none()
    }

    fn is_trusted(&self) -> bool {
        self.is_unknown() && self.likely_share >= MIN_TRUSTED_SHARE
    }
}

/// Returns the less loaded one of two candidates that are drawn; there has to be one.
fn draw<'a>(candidates: &[&'a Candidate<'a>], random: impl Fn() -> f64) -> &'a Candidate<'a> {
    let draw = || {
        let at = (random() * candidates.len() as f64) as usize;
        candidates[at.min(candidates.len() - 1)]
    };
    let (first, second) = (draw(), draw());
    if second.load < first.load { second } else { first }
}
