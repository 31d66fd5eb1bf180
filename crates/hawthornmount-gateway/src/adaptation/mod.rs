//! Whether an instance adapts to servers that differ and to callers that compete for room.
//!
//! Adaptation covers the exchange of loads between the instances of a data centre, the learned speeds
//! of servers, the model with which urgent requests begin, the time after which a silent server is
//! left, and admission. It is on if the settings demand it, or from the moment at which a server states
//! how long work takes on its machine: such servers share their machines with others.

use {
    hawthornmount_core::metrics::Metrics,
    serde::{Deserialize, Serialize},
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    tokio::sync::Notify,
};

/// Name of the gauge that is 1 while the instance adapts, else 0.
const GAUGE: &str = "adaptation";

/// When an instance adapts.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Never.
    Off,
    /// From the first statement of a server on how long work takes on its machine.
    #[default]
    Stated,
    /// Always.
    On,
}

/// Shares whether the instance adapts.
#[derive(Clone)]
pub struct Adaptation {
    mode: Mode,
    is_on: Arc<AtomicBool>,
    /// Wakes what waits until the instance adapts.
    turned_on: Arc<Notify>,
    metrics: Metrics,
}

impl Adaptation {
    /// Creates the state for a mode.
    pub fn new(mode: Mode, metrics: Metrics) -> Self {
        let is_on = mode == Mode::On;
        metrics.gauges.with_label_values(&[GAUGE]).set(i64::from(is_on));
        Self { mode, is_on: Arc::new(AtomicBool::new(is_on)), turned_on: Arc::default(), metrics }
    }

    /// Returns whether the instance adapts.
    pub fn is_on(&self) -> bool {
        self.is_on.load(Ordering::Relaxed)
    }

    /// Waits until the instance adapts.
    pub async fn wait(&self) {
        let turned_on = self.turned_on.notified();
        if !self.is_on() {
            turned_on.await;
        }
    }

    /// Returns whether requests wait for their turn while the engines are full: only where the settings
    /// demand it.
    pub fn admits(&self) -> bool {
        self.mode == Mode::On
    }

    /// Records that a server states how long work takes on its machine.
    pub fn record_statement(&self, server: &str) {
        if self.mode == Mode::Stated && !self.is_on.swap(true, Ordering::Relaxed) {
            self.turned_on.notify_waiters();
            self.metrics.gauges.with_label_values(&[GAUGE]).set(1);
            log::info!("servers state how long work takes, adapts to it; server={server}");
        }
    }
}
