//! Delay of the load in the stand-in engine's reports.

use {
    super::Report,
    parking_lot::Mutex,
    std::time::{Duration, Instant},
};

/// Samples the load once per period and reports the last sample until the next one.
#[derive(Default)]
pub struct Lag(Mutex<State>);

#[derive(Default)]
struct State {
    period: Duration,
    last: Option<Sample>,
}

/// Load at a point in time.
struct Sample {
    at: Instant,
    load: u32,
}

impl Lag {
    /// Sets the time between two samples; zero samples the load for each report.
    pub fn set_period(&self, period: Duration) {
        self.0.lock().period = period;
    }

    /// Replaces the current load in `report` by the last sample, with its age.
    pub fn apply(&self, report: &mut Report) {
        let mut state = self.0.lock();
        let now = Instant::now();
        let period = state.period;
        let last = state.last.take().filter(|last| now < last.at + period);
        let last = last.unwrap_or(Sample { at: now, load: report.load });
        report.load = last.load;
        report.age = now - last.at;
        state.last = Some(last);
    }
}
