//! Speeds of servers, learned from what they state and from the times of their answers.
//!
//! Load: servers of one service whose lasting speeds differ by a factor of two and more, and whose work
//! takes up to a few times as long for fractions of a second, seen by hundreds of instances of which each
//! sends a few requests a minute to a server. Two time scales are kept apart: a lasting slowness, and
//! the last statement, which fades within a second because it changes several times a second.
//!
//! The slowness of a server is relative to the others: 1 is usual, 2 takes twice as long. An old
//! measurement decays to 1, so that a server that has recovered is tried again.

use std::time::{Duration, Instant};

/// Samples up to which the mean of all counts; beyond it, older ones fade.
const MAX_SAMPLES: f64 = 8.0;
/// Weight of the newest statement in their mean.
const STATED_GAIN: f64 = 0.15;
/// Weight, in samples, of the assumption that a server is as fast as usual.
const PRIOR_SAMPLES: f64 = 1.0;
/// Half-life of samples, so that a server that has recovered is tried again.
const HALF_LIFE: Duration = Duration::from_secs(8);
/// Samples below which a measurement is forgotten.
const MIN_SAMPLES: f64 = 0.2;
/// Time constant with which a statement fades to the lasting slowness.
const STATEMENT_TIME: Duration = Duration::from_millis(600);
/// Bounds of samples and statements.
const BOUNDS: (f64, f64) = (0.2, 10.0);

/// A value and when it was learned.
#[derive(Clone, Copy, Debug)]
struct Learned {
    value: f64,
    at: Instant,
}

/// What is measured of a server to learn how long work takes there.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Measure {
    /// Time until a response starts, relative to the expected time at the usual speed.
    Start,
    /// Time between two events of a stream, in seconds.
    EventGap,
}

impl Measure {
    /// Returns the weight of a measurement in samples. The time until a response starts depends on
    /// requests of others in the queue, the time between events hardly does.
    const fn weight(self) -> f64 {
        match self {
            Self::Start => 0.2,
            Self::EventGap => 1.0,
        }
    }
}

/// Measured slowness.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measurement {
    /// Mean of the samples; 1 is usual.
    pub value: f64,
    /// Number of samples, less for old ones.
    pub samples: f64,
}

/// Slowness of one start of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowness {
    /// Measured ratios, without what the server stated at the same time, as of the last sample.
    measured: Option<(Measurement, Instant)>,
    /// What the server stated last.
    stated: Option<Learned>,
    /// Mean of what the server stated.
    stated_mean: Option<Learned>,
}

impl Slowness {
    /// Records that work took `ratio` times as long as usual; what the server states now explains a part
    /// of it.
    pub fn record_ratio(&mut self, ratio: f64, measure: Measure, now: Instant) {
        if !ratio.is_finite() {
            return;
        }
        let explained = self.stated(now).max(BOUNDS.0);
        let sample = (ratio / explained).clamp(BOUNDS.0, BOUNDS.1);
        let known = self.measured(now).unwrap_or(Measurement { value: sample, samples: 0.0 });
        let weight = measure.weight();
        let samples = (known.samples + weight).min(MAX_SAMPLES);
        let value = known.value + (sample - known.value) * (weight / samples).min(1.0);
        self.measured = Some((Measurement { value, samples }, now));
    }

    /// Records that the server states that work takes `factor` times as long as usual, at `at`. Of
    /// statements that overtake each other, the latest counts.
    pub fn record_statement(&mut self, factor: f64, at: Instant) {
        if !factor.is_finite() || self.stated.is_some_and(|known| known.at > at) {
            return;
        }
        let factor = factor.clamp(BOUNDS.0, BOUNDS.1);
        let mean = decayed(self.stated_mean, at);
        let value = mean + STATED_GAIN * (factor - mean);
        self.stated_mean = Some(Learned { value, at });
        self.stated = Some(Learned { value: factor, at });
    }

    /// Returns how many times as long as usual work at the server is expected to take now, given what
    /// other instances have measured.
    pub fn expected(&self, others: impl Iterator<Item = Measurement>, now: Instant) -> f64 {
        let all = self.measured(now).into_iter().chain(others);
        let (sum, samples) = all.fold((PRIOR_SAMPLES, PRIOR_SAMPLES), |(sum, samples), one| {
            (sum + one.value * one.samples, samples + one.samples)
        });
        (sum / samples * self.stated(now)).clamp(BOUNDS.0, BOUNDS.1)
    }

    /// Returns the lasting slowness, without the last statement, if it was measured recently.
    pub fn measured(&self, now: Instant) -> Option<Measurement> {
        let (Measurement { value, samples }, at) = self.measured?;
        let samples = samples * remaining(now.saturating_duration_since(at));
        (samples >= MIN_SAMPLES).then_some(Measurement { value, samples })
    }

    /// Returns the last statement, faded to the mean of the statements by its age.
    fn stated(&self, now: Instant) -> f64 {
        let mean = decayed(self.stated_mean, now);
        let Some(Learned { value, at }) = self.stated else { return mean };
        let age = now.saturating_duration_since(at).as_secs_f64();
        mean + (value - mean) * (-age / STATEMENT_TIME.as_secs_f64()).exp()
    }
}

/// Weight of the newest value in the usual one.
const USUAL_GAIN: f64 = 0.02;
/// Largest multiple of the usual value that changes it; larger values are clipped.
const MAX_RATIO: f64 = 3.0;

/// Usual value of a measurement over all servers, to which that of one server is compared.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usual {
    mean: Option<f64>,
}

impl Usual {
    /// Records a value, and returns its ratio to the usual one; `None` for the first one and for values
    /// that are not above 0.
    pub fn record(&mut self, value: f64) -> Option<f64> {
        if !(value.is_finite() && value > 0.0) {
            return None;
        }
        let Some(mean) = self.mean else {
            self.mean = Some(value);
            return None;
        };
        self.mean = Some(mean + USUAL_GAIN * (value.min(mean * MAX_RATIO) - mean));
        Some(value / mean)
    }
}

/// Returns a value that decays to 1 with its age.
fn decayed(learned: Option<Learned>, now: Instant) -> f64 {
    let Some(Learned { value, at }) = learned else { return 1.0 };
    let age = now.saturating_duration_since(at);
    1.0 + (value - 1.0) * remaining(age)
}

/// Returns the part that remains of a value after a time.
fn remaining(age: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
}
