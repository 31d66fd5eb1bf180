//! Comparison of two result files, each of which holds one or more runs of an experiment.

use {
    crate::figure::Outcome,
    derive_more::{Display, Error},
    std::{fmt, fs, io, path::Path, sync::Arc},
};

/// Reason that a result file can't be compared.
#[derive(Debug, Display, Error)]
pub enum ReadError {
    /// The file can't be read.
    #[display("the file can't be read: check its path")]
    Read {
        /// Error of the file system.
        source: io::Error,
    },
    /// No line of the file is the outcome of a run.
    #[display("the file holds no result: write it with `run NAME --json`")]
    Empty,
}

/// One figure compared between two sets of runs.
#[derive(Clone, Debug)]
pub struct Ratio {
    /// Name of the figure.
    pub name: Arc<str>,
    /// Mean of the second set over the mean of the first.
    pub ratio: f64,
    /// Largest value divided by the smallest value of the same set; the greater quotient of the
    /// two sets.
    pub spread: f64,
}

/// Reads the outcomes in a file, one JSON object per line; skips lines that are not outcomes.
///
/// # Errors
///
/// Returns an error if the file can't be read or holds no outcome.
pub fn read(file: &Path) -> Result<Vec<Outcome>, ReadError> {
    let text = fs::read_to_string(file).map_err(|source| ReadError::Read { source })?;
    let outcomes: Vec<Outcome> =
        text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
    if outcomes.is_empty() { Err(ReadError::Empty) } else { Ok(outcomes) }
}

/// Compares each figure that occurs in both sets, in the order of the first run of `first`.
pub fn compare(first: &[Outcome], second: &[Outcome]) -> Vec<Ratio> {
    let Some(first_run) = first.first() else { return Vec::new() };
    first_run
        .figures
        .iter()
        .filter_map(|row| {
            let (a, b) = (values(first, &row.id), values(second, &row.id));
            let ratio = mean(&b)? / mean(&a)?;
            Some(Ratio { name: row.id.clone(), ratio, spread: spread(&a).max(spread(&b)) })
        })
        .collect()
}

impl fmt::Display for Ratio {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:<44} {:>10.3}  spread {:.2}", self.name, self.ratio, self.spread)
    }
}

fn values(outcomes: &[Outcome], name: &str) -> Vec<f64> {
    outcomes.iter().filter_map(|outcome| outcome.figures.get(name).copied()).collect()
}

fn mean(values: &[f64]) -> Option<f64> {
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
}

fn spread(values: &[f64]) -> f64 {
    let largest = values.iter().copied().fold(f64::MIN, f64::max);
    let smallest = values.iter().copied().fold(f64::MAX, f64::min);
    if smallest > 0.0 { largest / smallest } else { 1.0 }
}
