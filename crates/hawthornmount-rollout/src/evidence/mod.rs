//! Evidence on versions: tallies for each release, server, instance and incarnation. Tallies only
//! grow, so that they are merged over the fleet without double counting.

pub mod bet;
pub mod drift;
pub mod pair;
pub mod signal;

mod wire;

pub use signal::Signal;

use {
    bet::{ALTERNATIVE_COUNT, Wealth},
    hawthornmount_core::{
        id::{DataCentreId, Incarnation, InstanceId, ModelId, ServerId, VersionId},
        snapshot::Release,
    },
    serde::{Deserialize, Serialize},
};

/// Key of a tally: what was observed, and by which instance.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// The model.
    pub model: ModelId,
    /// The version.
    pub version: VersionId,
    /// Generation of the version; evidence of an earlier generation does not count for it.
    pub generation: u64,
    /// Server that answered. For a stable version it is the data centre if the fleet has several.
    pub server: ServerId,
    /// Instance that observed.
    pub instance: InstanceId,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
}

/// Observations of one signal. `seen`, `bad` and `blocks` never decrease.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Count {
    /// Number of observations.
    pub seen: u64,
    /// Number of bad observations.
    pub bad: u64,
    /// Number of blocks of paired answers that the wealth covers.
    pub blocks: u64,
    /// Logarithm of the wealth of each alternative.
    #[serde(with = "wire")]
    pub wealth: Wealth,
}

/// Observations of one key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Tally {
    /// Data centre of the server.
    pub data_centre: DataCentreId,
    /// Number of changes; of two tallies of a key, the one with more changes is newer.
    pub changes: u64,
    /// Counts in order of [`Signal::ALL`].
    pub counts: [Count; 3],
}

/// A key with its tally, as instances exchange it.
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
    records: Vec<Record>,
}

impl Evidence {
    /// Merges a tally. Returns `None` if it is not newer than the known one, else the tally that it
    /// replaced, if any.
    pub fn merge(&mut self, record: Record) -> Option<Option<Tally>> {
        match self.records.binary_search_by(|known| known.key.cmp(&record.key)) {
            Ok(at) if self.records[at].tally.changes >= record.tally.changes => None,
            Ok(at) => Some(Some(std::mem::replace(&mut self.records[at].tally, record.tally))),
            Err(at) => {
                self.records.insert(at, record);
                Some(None)
            }
        }
    }

    /// Returns the tally of a key.
    pub fn get(&self, key: &Key) -> Option<&Tally> {
        let at = self.records.binary_search_by(|record| record.key.cmp(key)).ok()?;
        Some(&self.records[at].tally)
    }

    /// Returns the records of a release at a generation.
    pub fn records_of(&self, release: &Release, generation: u64) -> &[Record] {
        let compare = |record: &Record| {
            (&*record.key.model, &*record.key.version, record.key.generation).cmp(&(
                &*release.model,
                &*release.version,
                generation,
            ))
        };
        let start = self.records.partition_point(|record| compare(record).is_lt());
        let end = self.records.partition_point(|record| compare(record).is_le());
        &self.records[start..end]
    }

    /// Returns the number of observations of a release.
    pub fn observations(&self, release: &Release, generation: u64, signal: Signal) -> u64 {
        let records = self.records_of(release, generation).iter();
        records.map(|record| record.tally.counts[signal as usize].seen).sum()
    }

    /// Returns the logarithm of the e-value against a release. With several servers it is at most
    /// twice the value that remains without the server that has the most evidence against the
    /// release, so that a single bad server can't suspend a version.
    pub fn log_e_value(&self, release: &Release, generation: u64, signal: Signal) -> f64 {
        let mut total: Wealth = [0.0; ALTERNATIVE_COUNT];
        let mut servers: Vec<(&ServerId, Wealth)> = Vec::new();
        for record in self.records_of(release, generation) {
            let count = &record.tally.counts[signal as usize];
            if count.blocks == 0 {
                continue;
            }
            bet::add(&mut total, &count.wealth);
            match servers.last_mut() {
                Some((server, wealth)) if **server == record.key.server => {
                    bet::add(wealth, &count.wealth);
                }
                _ => servers.push((&record.key.server, count.wealth)),
            }
        }
        if servers.len() < 2 {
            return bet::log_mean(&total);
        }
        let without_server = servers.iter().map(|(_, wealth)| {
            let mut rest = total;
            bet::add(&mut rest, &wealth.map(|log| -log));
            bet::log_mean(&rest)
        });
        bet::log_mean(&total).min(2.0 * without_server.fold(f64::INFINITY, f64::min))
    }

    /// Removes the records for whose keys `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&Key) -> bool) {
        self.records.retain(|record| is_kept(&record.key));
    }

    /// Returns all records, in order of their keys.
    pub fn records(&self) -> &[Record] {
        &self.records
    }
}
