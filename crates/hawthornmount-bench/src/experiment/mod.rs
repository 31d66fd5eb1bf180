//! Registry of the experiments, and the types that they share.

mod added_cost;
pub mod at_most_once;
mod bad_version;
mod cascade_cost;
mod config_propagation;
mod control_cost;
mod decision;
mod faults;
mod fleet;
mod latency;
mod membership_cost;
mod overload;
mod soak;

use {
    crate::{figure::Outcome, plot::Plot},
    derive_more::{Display, Error},
    std::{error::Error as StdError, sync::Arc, time::Duration},
};

/// Options of one run of an experiment.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seed of every random choice of the experiment.
    pub seed: u64,
    /// Duration of the measurement, for experiments whose duration can be chosen.
    pub duration: Option<Duration>,
}

/// Reason that an experiment could not be completed.
#[derive(Debug, Display, Error)]
#[display("the experiment can't run: {cause}")]
pub struct Failure {
    cause: Arc<str>,
}

impl Failure {
    /// Creates a failure from an error.
    pub fn new(cause: &dyn StdError) -> Self {
        Self::text(&cause.to_string())
    }

    /// Creates a failure from a message.
    pub fn text(cause: &str) -> Self {
        Self { cause: cause.into() }
    }
}

/// Outcome of a run, with a plot if the experiment draws one.
pub struct Report {
    /// Figures and targets.
    pub outcome: Outcome,
    /// Plot of the figures.
    pub plot: Option<Plot>,
}

/// Experiment that can be run from the command line.
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// Summary of what the experiment measures, printed by `list`.
    pub summary: &'static str,
    /// Function that runs the experiment.
    pub run: fn(Options) -> Result<Report, Failure>,
}

/// All experiments, sorted by name.
pub const ALL: &[Experiment] = &[
    Experiment {
        name: "added-cost",
        summary: "what the router adds to a completion against a bare pass-through",
        run: added_cost::run,
    },
    Experiment {
        name: at_most_once::NAME,
        summary: "submissions run once, requests are billed once, answers are whole",
        run: at_most_once::run,
    },
    Experiment {
        name: at_most_once::ABLATION_NAME,
        summary: "the same with checks switched off, which has to show",
        run: at_most_once::run_ablation,
    },
    bad_version::EXPERIMENT,
    Experiment {
        name: "cascade-cost",
        summary: "cost at the quality target against fixed choices and an oracle",
        run: cascade_cost::run,
    },
    Experiment {
        name: "config-propagation",
        summary: "time until a change is in force at all instances",
        run: config_propagation::run,
    },
    Experiment {
        name: "control-cost",
        summary: "control thread, bytes and store calls of an instance over the number of servers",
        run: control_cost::run,
    },
    Experiment {
        name: "decision",
        summary: "time of a routing decision over the size of the fleet",
        run: decision::run,
    },
    Experiment {
        name: "faults",
        summary: "goodput and latency before, during and after faults",
        run: faults::run,
    },
    Experiment {
        name: "latency",
        summary: "server choice against simple rules with late reports and a slow server",
        run: latency::run,
    },
    Experiment {
        name: at_most_once::WRITE_STRATEGIES_NAME,
        summary: "writes and latency of the ways to keep claims and usage",
        run: at_most_once::run_write_strategies,
    },
    Experiment {
        name: "membership-cost",
        summary: "what members and configuration cost an instance over the fleet's size",
        run: membership_cost::run,
    },
    Experiment {
        name: "overload",
        summary: "goodput under overload, after a spike, and by account",
        run: overload::run,
    },
    Experiment {
        name: "soak",
        summary: "every promise under a mixed load and random faults, nine instances",
        run: soak::run,
    },
];

/// Returns the experiment with this name.
pub fn find(name: &str) -> Option<&'static Experiment> {
    ALL.iter().find(|experiment| experiment.name == name)
}

/// Runs a future to completion on a multi-threaded runtime with one worker per core.
///
/// # Errors
///
/// Returns a failure if no runtime can be started, or the failure that the future returns.
pub fn block_on<T>(future: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| Failure::new(&error))?
        .block_on(future)
}

/// Runs a future like [`block_on`], but cancels it after `limit`.
///
/// # Errors
///
/// Returns a failure if the limit is exceeded or no runtime can be started, or the failure that
/// the future returns.
pub fn block_on_within<T>(
    limit: Duration,
    future: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    block_on(async {
        let timed_out = |_| Failure::text("its time is over: run it on an idle machine");
        tokio::time::timeout(limit, future).await.map_err(timed_out)?
    })
}
