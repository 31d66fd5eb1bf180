//! Choice of the instance to which a request is passed.
//!
//! Load: a data centre of which some or all instances reach no server, with up to a hundred of them.
//! Of those that may reach servers, the nearer and less loaded of two is taken, so that the requests
//! spread. An instance that reaches no server itself says so at once; two of them stand for their data
//! centre for a time, so that not each instance is asked.

use {
    hawthornmount_core::id::{DataCentreId, InstanceId, ServerId},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time for which an instance that reaches no server is not asked again.
const CUT_OFF_TIME: Duration = Duration::from_secs(1);
/// Instances without a path that stand for their whole data centre.
const WITNESSES: usize = 2;

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

/// An instance that has said that it reaches no server.
#[derive(Clone, Debug)]
struct CutOff {
    id: InstanceId,
    data_centre: DataCentreId,
    until: Instant,
}

/// The other instances, and which of them reach no server.
#[derive(Clone, Debug, Default)]
pub struct Neighbours {
    rows: Vec<Arc<Neighbour>>,
    cut_off: Vec<CutOff>,
}

impl Neighbours {
    /// Replaces the instances.
    pub fn set(&mut self, rows: Vec<Arc<Neighbour>>) {
        self.rows = rows;
    }

    /// Returns whether a destination of requests is an instance.
    pub fn contains(&self, destination: &str) -> bool {
        self.rows.iter().any(|row| *row.destination == *destination)
    }

    /// Records that an instance reaches no server.
    pub fn record_cut_off(&mut self, neighbour: &Neighbour, now: Instant) {
        self.cut_off.retain(|known| now < known.until && known.id != neighbour.id);
        self.cut_off.push(CutOff {
            id: neighbour.id.clone(),
            data_centre: neighbour.data_centre.clone(),
            until: now + CUT_OFF_TIME,
        });
    }

    /// Returns the number of instances, and how many of them have said recently that they reach no server.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let cut_off = self.cut_off.iter().filter(|known| now < known.until);
        (self.rows.len(), cut_off.count())
    }

    /// Chooses an instance, of the data centre `own` if possible. `load` returns the requests in flight
    /// at an instance, or `None` if it is not to be asked; `random` is a uniform draw from 0 to 1.
    pub fn choose(
        &self,
        own: &str,
        load: impl Fn(&Neighbour) -> Option<u32>,
        random: impl Fn() -> f64,
        now: Instant,
    ) -> Option<Arc<Neighbour>> {
        let cut_off: Vec<&CutOff> = self.cut_off.iter().filter(|known| now < known.until).collect();
        let has_path = |row: &&Arc<Neighbour>| {
            let of_data_centre =
                cut_off.iter().filter(|known| known.data_centre == row.data_centre);
            of_data_centre.count() < WITNESSES && cut_off.iter().all(|known| known.id != row.id)
        };
        let usable = self.rows.iter().filter(has_path);
        let usable: Vec<_> = usable.filter_map(|row| Some((row, load(row)?))).collect();
        let (near, far): (Vec<_>, Vec<_>) =
            usable.into_iter().partition(|(row, _)| *row.data_centre == *own);
        let candidates = if near.is_empty() { far } else { near };
        let draw = || {
            let at = (random() * candidates.len() as f64) as usize;
            candidates.get(at.min(candidates.len().saturating_sub(1)))
        };
        let chosen = draw().into_iter().chain(draw()).min_by_key(|(_, load)| *load);
        chosen.map(|(row, _)| Arc::clone(row))
    }
}
