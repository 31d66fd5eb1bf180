//! Lag of the stand-in engine's load reports.

use {
    super::Report,
    parking_lot::Mutex,
    std::time::{Duration, Instant},
};

/// Reports that are made once in a while and handed out until the next.
#[derive(Default)]
pub struct Lag(Mutex<State>);

#[derive(Default)]
struct State {
    period: Duration,
    last: Option<Made>,
}

struct Made {
    at: Instant,
    load: u32,
}

impl Lag {
    /// Sets the time between two reports; zero makes a new one for each look.
    pub fn set_period(&self, period: Duration) {
        self.0.lock().period = period;
    }

    /// Puts the load of the last made report, with its age, in place of the present one.
    pub fn apply(&self, report: &mut Report) {
        let mut state = self.0.lock();
        let now = Instant::now();
        let period = state.period;
        let last = state.last.take().filter(|last| now < last.at + period);
        let last = last.unwrap_or(Made { at: now, load: report.load });
        report.load = last.load;
        report.age = now - last.at;
        state.last = Some(last);
    }
}
