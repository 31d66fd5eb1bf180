//! Evacuated data centres, whose servers get no requests until the operator ends the evacuation.
//!
//! An evacuation lasts as long as its key in the store. It arrives and is relayed like the
//! configuration, and an instance that starts learns it from its first list, before it is ready. After
//! the store was restored from a copy, the operator has some time to write again what the copy lacks;
//! until then the known evacuations stay in force.

use {
    hawthornmount_core::id::DataCentreId,
    std::time::{Duration, Instant},
};

/// Time after the store was restored from a copy within which the operator writes again the
/// evacuations that the copy lacked.
const RESTATEMENT_TIME: Duration = Duration::from_secs(10);

/// Evacuated data centres, in order of their names.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    rows: Vec<Row>,
}

#[derive(Clone, Debug)]
struct Row {
    data_centre: DataCentreId,
    /// When the store was restored, if it has not shown the evacuation since.
    unconfirmed_since: Option<Instant>,
}

impl Evacuations {
    /// Begins an evacuation, and returns whether it was not known.
    pub fn begin(&mut self, data_centre: &DataCentreId) -> bool {
        let row = Row { data_centre: data_centre.clone(), unconfirmed_since: None };
        match self.position(data_centre) {
            Ok(at) => {
                self.rows[at] = row;
                false
            }
            Err(at) => {
                self.rows.insert(at, row);
                true
            }
        }
    }

    /// Ends an evacuation, and returns whether it was known.
    pub fn end(&mut self, data_centre: &str) -> bool {
        let found = self.position(data_centre);
        if let Ok(at) = found {
            self.rows.remove(at);
        }
        found.is_ok()
    }

    /// Returns the data centres whose evacuation a complete list of the evacuated ones ends. An
    /// evacuation that a restored store may yet lack is not ended.
    pub fn missing(&self, listed: &[DataCentreId], now: Instant) -> Vec<DataCentreId> {
        let is_missing = |row: &&Row| {
            let may_return = row.unconfirmed_since.is_some_and(|at| now < at + RESTATEMENT_TIME);
            !may_return && listed.binary_search(&row.data_centre).is_err()
        };
        self.rows.iter().filter(is_missing).map(|row| row.data_centre.clone()).collect()
    }

    /// Prepares for the entries of a store that was restored from a copy.
    pub fn begin_era(&mut self, now: Instant) {
        for row in &mut self.rows {
            row.unconfirmed_since = Some(now);
        }
    }

    /// Returns whether a data centre is evacuated.
    pub fn contains(&self, data_centre: &str) -> bool {
        self.position(data_centre).is_ok()
    }

    /// Returns the evacuated data centres.
    pub fn data_centres(&self) -> Vec<DataCentreId> {
        self.rows.iter().map(|row| row.data_centre.clone()).collect()
    }

    fn position(&self, data_centre: &str) -> Result<usize, usize> {
        self.rows.binary_search_by(|row| (*row.data_centre).cmp(data_centre))
    }
}
