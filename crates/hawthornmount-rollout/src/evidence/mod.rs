//! Evidence on versions: add-only tallies for each instance, life, release and server, merged over
//! the fleet without double counting.

pub mod bet;
pub mod drift;
pub mod pair;
pub mod signal;

mod wire;

pub use signal::Signal;

use {
    bet::{STAKES, Wealth},
    hawthornmount_core::{
        id::{DataCentreId, Incarnation, InstanceId, ModelId, ServerId, VersionId},
        snapshot::Release,
    },
    serde::{Deserialize, Serialize},
};

/// Whose observations a tally counts, and of what.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// Generation of the version; a raised one starts from nothing.
    pub generation: u64,
    /// Server that answered; the data centre, for a stable version where there are several.
    pub server: ServerId,
    /// Instance that observed.
    pub instance: InstanceId,
    /// Life of that instance.
    pub incarnation: Incarnation,
}

/// Observations of one signal so far; they only grow.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Count {
    /// Observations.
    pub seen: u64,
    /// Bad ones of them.
    pub bad: u64,
    /// Blocks that were bet on.
    pub blocks: u64,
    /// Logarithm of the wealth of each bet.
    #[serde(with = "wire")]
    pub wealth: Wealth,
}

/// Observations of one key so far.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Tally {
    /// Data centre of the server.
    pub data_centre: DataCentreId,
    /// Number of changes, by which the newer of two tallies of a key is known.
    pub changes: u64,
    /// Counts in order of [`Signal::ALL`].
    pub counts: [Count; 3],
}

/// A key with its tally, as it travels.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The key.
    pub key: Key,
    /// The tally.
    pub tally: Tally,
}

/// Tallies of the whole fleet as this instance knows them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evidence {
    cells: Vec<Record>,
}

impl Evidence {
    /// Takes a tally of an instance. An older one, or the same again, changes nothing. Returns the
    /// tally that it replaced, if it was news.
    pub fn merge(&mut self, cell: Record) -> Option<Option<Tally>> {
        match self.cells.binary_search_by(|one| one.key.cmp(&cell.key)) {
            Ok(at) if self.cells[at].tally.changes >= cell.tally.changes => None,
            Ok(at) => Some(Some(std::mem::replace(&mut self.cells[at].tally, cell.tally))),
            Err(at) => {
                self.cells.insert(at, cell);
                Some(None)
            }
        }
    }

    /// Returns the tally of a key.
    pub fn get(&self, key: &Key) -> Option<&Tally> {
        let at = self.cells.binary_search_by(|one| one.key.cmp(key)).ok()?;
        Some(&self.cells[at].tally)
    }

    /// Returns the cells of a release at a generation.
    pub fn of(&self, release: &Release, generation: u64) -> &[Record] {
        let key = |cell: &Record| {
            (&*cell.key.model, &*cell.key.version, cell.key.generation).cmp(&(
                &*release.model,
                &*release.version,
                generation,
            ))
        };
        let start = self.cells.partition_point(|cell| key(cell).is_lt());
        let end = self.cells.partition_point(|cell| key(cell).is_le());
        &self.cells[start..end]
    }

    /// Returns the number of observations of a release.
    pub fn seen(&self, release: &Release, generation: u64, signal: Signal) -> u64 {
        let cells = self.of(release, generation).iter();
        cells.map(|cell| cell.tally.counts[signal as usize].seen).sum()
    }

    /// Returns the logarithm of the e-value against a release. Where several servers know the
    /// release, half of it has to stay without the server that speaks most against it: one bad
    /// server condemns no version.
    pub fn against(&self, release: &Release, generation: u64, signal: Signal) -> f64 {
        let mut total: Wealth = [0.0; STAKES];
        let mut servers: Vec<(&ServerId, Wealth)> = Vec::new();
        for cell in self.of(release, generation) {
            let count = &cell.tally.counts[signal as usize];
            if count.blocks == 0 {
                continue;
            }
            bet::add(&mut total, &count.wealth);
            match servers.last_mut() {
                Some((server, wealth)) if **server == cell.key.server => {
                    bet::add(wealth, &count.wealth);
                }
                _ => servers.push((&cell.key.server, count.wealth)),
            }
        }
        if servers.len() < 2 {
            return bet::mean(&total);
        }
        let without = servers.iter().map(|(_, part)| {
            let mut rest = total;
            bet::add(&mut rest, &part.map(|one| -one));
            bet::mean(&rest)
        });
        bet::mean(&total).min(2.0 * without.fold(f64::INFINITY, f64::min))
    }

    /// Forgets what is of none of `kept`.
    pub fn retain(&mut self, kept: impl Fn(&Key) -> bool) {
        self.cells.retain(|cell| kept(&cell.key));
    }

    /// Returns every cell, in order of the keys.
    pub fn cells(&self) -> &[Record] {
        &self.cells
    }
}
