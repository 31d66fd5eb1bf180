//! Figures measured by an experiment and the targets that they are checked against.

use {
    hawthornmount_core::table::Table,
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

/// Side of a limit on which a figure must be, the limit included.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Side {
    /// The figure may not exceed the limit.
    AtMost,
    /// The figure may not fall below the limit.
    AtLeast,
}

/// Limit that a figure has to meet.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Target {
    /// Largest or smallest value allowed, depending on `side`.
    pub limit: f64,
    /// Whether the limit is an upper or a lower bound.
    pub side: Side,
}

/// Outcome of one run of an experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Outcome {
    /// Name of the experiment.
    pub name: Arc<str>,
    /// Seed of the run.
    pub seed: u64,
    /// Whether every target was met.
    pub pass: bool,
    /// Figures by name.
    pub figures: Table<f64>,
    /// Targets by the name of the figure that they apply to.
    pub targets: Table<Target>,
}

impl Outcome {
    /// Creates an outcome without figures or targets; it counts as passed.
    pub fn new(name: &str, seed: u64) -> Self {
        Self { name: name.into(), seed, pass: true, figures: Table::new(), targets: Table::new() }
    }

    /// Adds a figure without a target.
    #[must_use]
    pub fn figure(mut self, name: &str, value: f64) -> Self {
        self.figures.insert(name.into(), value);
        self
    }

    /// Adds a figure with the target that it is at most `limit`.
    #[must_use]
    pub fn at_most(self, name: &str, value: f64, limit: f64) -> Self {
        self.with_target(name, value, Target { limit, side: Side::AtMost })
    }

    /// Adds a figure with the target that it is at least `limit`.
    #[must_use]
    pub fn at_least(self, name: &str, value: f64, limit: f64) -> Self {
        self.with_target(name, value, Target { limit, side: Side::AtLeast })
    }

    fn with_target(mut self, name: &str, value: f64, target: Target) -> Self {
        self.pass &= target.is_met(value);
        self.targets.insert(name.into(), target);
        self.figure(name, value)
    }
}

impl Target {
    /// Returns whether a figure meets the target; NaN never does.
    pub fn is_met(self, value: f64) -> bool {
        match self.side {
            Side::AtMost => value <= self.limit,
            Side::AtLeast => value >= self.limit,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} with seed {}", self.name, self.seed)?;
        for row in &self.figures {
            write!(f, "  {:<44} {:>14.4}", row.id, row.value)?;
            if let Some(target) = self.targets.get(&row.id) {
                let sign = if target.side == Side::AtMost { "<=" } else { ">=" };
                let mark = if target.is_met(row.value) { "ok" } else { "MISSED" };
                write!(f, "  {sign} {} {mark}", target.limit)?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
