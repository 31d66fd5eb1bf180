//! Outcomes of the requests of a load.

use {hdrhistogram::Histogram, std::time::Duration, tokio::time::Instant};

/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;
/// Largest latency that the histograms distinguish; larger ones are recorded as this one.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Outcome of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The complete answer was received.
    Answered {
        /// When the first part of the body was received, if the caller measured it.
        first_byte: Option<Instant>,
    },
    /// The request was refused.
    Refused,
    /// Neither a complete answer nor a refusal was received in time.
    Failed,
}

/// Counts and latencies of the requests of a load. The histograms are in microseconds from the
/// intended start of each request.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Latency of complete answers.
    pub latency: Histogram<u64>,
    /// Time to the first byte of the complete answers for which it was measured.
    pub first_byte: Histogram<u64>,
    /// Number of refused requests.
    pub refused: u64,
    /// Number of requests with neither a complete answer nor a refusal.
    pub failed: u64,
    /// Time from the start of the load to the end of its last request.
    pub elapsed: Duration,
}

impl Tally {
    /// Creates an empty tally.
    ///
    /// # Panics
    ///
    /// Panics if the histogram library rejects the constant bounds.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, HISTOGRAM_DIGITS)
            .expect("the bounds are valid");
        Self {
            latency: histogram.clone(),
            first_byte: histogram,
            refused: 0,
            failed: 0,
            elapsed: Duration::ZERO,
        }
    }

    /// Adds a request with its intended start and its end.
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

    /// Adds the requests of another tally; leaves `elapsed` as it is.
    pub fn merge(&mut self, other: &Self) {
        self.latency += &other.latency;
        self.first_byte += &other.first_byte;
        self.refused += other.refused;
        self.failed += other.failed;
    }

    /// Returns the number of complete answers.
    pub fn answered(&self) -> u64 {
        self.latency.len()
    }

    /// Returns the number of all requests.
    pub fn total(&self) -> u64 {
        self.answered() + self.refused + self.failed
    }

    /// Returns the number of complete answers per second.
    pub fn throughput(&self) -> f64 {
        self.answered() as f64 / self.elapsed.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Returns the latency at a quantile from 0 to 1, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.latency, quantile)
    }

    /// Returns the time to the first byte at a quantile from 0 to 1, in milliseconds.
    pub fn first_byte_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.first_byte, quantile)
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

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
