//! What came of a load.

use {hdrhistogram::Histogram, std::time::Duration, tokio::time::Instant};

/// Significant digits of the histograms.
const DIGITS: u8 = 3;
/// Longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// What came of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer came; streams tell when their first_byte event did.
    Answered {
        /// When the first_byte byte of the answer came.
        first_byte: Option<Instant>,
    },
    /// A refusal came.
    Refused,
    /// Neither came.
    Failed,
}

/// Counts and latencies of a load, in microseconds from the intended times.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Latency of whole answers.
    pub latency: Histogram<u64>,
    /// Time to the first_byte byte of answers that tell it.
    pub first_byte: Histogram<u64>,
    /// Refused requests.
    pub refused: u64,
    /// Requests with neither answer nor refusal.
    pub failed: u64,
    /// Time from the start of the load to its last answer.
    pub elapsed: Duration,
}

impl Tally {
    /// Creates an empty tally.
    ///
    /// # Panics
    ///
    /// Panics if the histogram's library refuses the fixed bounds.
    pub fn new() -> Self {
        let histogram =
            Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("the bounds are valid");
        Self {
            latency: histogram.clone(),
            first_byte: histogram,
            refused: 0,
            failed: 0,
            elapsed: Duration::ZERO,
        }
    }

    /// Adds a request by its intended time and its end.
    pub fn add(&mut self, outcome: Outcome, intended: Instant, ended: Instant) {
        match outcome {
            Outcome::Answered { first_byte } => {
                self.latency.saturating_record(micros(ended - intended));
                if let Some(first_byte) = first_byte {
                    self.first_byte.saturating_record(micros(first_byte - intended));
                }
            }
            Outcome::Refused => self.refused += 1,
            Outcome::Failed => self.failed += 1,
        }
    }

    /// Adds another tally's requests.
    pub fn merge(&mut self, other: &Self) {
        self.latency += &other.latency;
        self.first_byte += &other.first_byte;
        self.refused += other.refused;
        self.failed += other.failed;
    }

    /// Returns the number of whole answers.
    pub fn answered(&self) -> u64 {
        self.latency.len()
    }

    /// Returns the number of all requests.
    pub fn total(&self) -> u64 {
        self.answered() + self.refused + self.failed
    }

    /// Returns the whole answers a second.
    pub fn rate(&self) -> f64 {
        self.answered() as f64 / self.elapsed.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Returns the latency at a quantile from 0 to 1, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        millis(&self.latency, quantile)
    }

    /// Returns the time to the first_byte byte at a quantile from 0 to 1, in milliseconds.
    pub fn first_byte_ms(&self, quantile: f64) -> f64 {
        millis(&self.first_byte, quantile)
    }
}

impl Default for Tally {
    fn default() -> Self {
        Self::new()
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
