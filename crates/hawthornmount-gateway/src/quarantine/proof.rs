//! Numbers of recent answers that went on, by suspect.

use {
    super::evidence::Suspect,
    std::time::{Duration, Instant},
};

/// Time after which an answer stops counting, at the earliest; it counts for at most twice as long.
const LIFETIME: Duration = Duration::from_secs(60);
/// Number of suspects that are counted. Those beyond it are not counted until others stop counting.
const MAX_SUSPECTS: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct Row {
    suspect: Suspect,
    current: u32,
    previous: u32,
}

/// Counts answers by suspect, in two periods.
#[derive(Clone, Debug)]
pub struct Counter {
    /// Counted suspects in their order.
    rows: Vec<Row>,
    /// When the current period began.
    began: Instant,
}

impl Counter {
    /// Creates a counter without answers.
    pub const fn new(now: Instant) -> Self {
        Self { rows: Vec::new(), began: now }
    }

    /// Counts answers with a suspect.
    pub fn add(&mut self, suspect: Suspect, count: u32, now: Instant) {
        self.begin_period(now);
        match self.rows.binary_search_by_key(&suspect, |row| row.suspect) {
            Ok(at) => self.rows[at].current = self.rows[at].current.saturating_add(count),
            Err(at) if self.rows.len() < MAX_SUSPECTS => {
                self.rows.insert(at, Row { suspect, current: count, previous: 0 });
            }
            Err(_) => {}
        }
    }

    /// Returns the number of recent answers with a part.
    pub fn count(&self, suspect: Suspect, now: Instant) -> u32 {
        let periods = now.saturating_duration_since(self.began).as_secs() / LIFETIME.as_secs();
        let Ok(at) = self.rows.binary_search_by_key(&suspect, |row| row.suspect) else { return 0 };
        match periods {
            0 => self.rows[at].current.saturating_add(self.rows[at].previous),
            1 => self.rows[at].current,
            _ => 0,
        }
    }

    /// Returns the number of recent answers with the suspect that has the most.
    pub fn largest(&self, now: Instant) -> u32 {
        self.rows.iter().map(|row| self.count(row.suspect, now)).max().unwrap_or(0)
    }

    /// Begins new periods for the time that has passed.
    fn begin_period(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.began);
        if passed < LIFETIME {
            return;
        }
        let is_adjacent = passed < LIFETIME * 2;
        for row in &mut self.rows {
            row.previous = if is_adjacent { row.current } else { 0 };
            row.current = 0;
        }
        self.rows.retain(|row| row.previous > 0);
        self.began = now;
    }
}
