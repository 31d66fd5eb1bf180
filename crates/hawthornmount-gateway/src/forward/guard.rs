//! Guards that count a request in the load statistics of a server until they are dropped.

use {
    crate::{
        load::Tracker,
        path::monitor::{Monitor, Waiting},
        rollout::{
            evidence::Collector,
            waits::{Wait, WaitId},
        },
        time,
    },
    hawthornmount_core::id::{ServerId, ServiceId},
    parking_lot::Mutex,
    std::sync::Arc,
};

/// Counts a request as in flight at a server until it is dropped.
pub struct InFlightGuard {
    loads: Arc<Mutex<Tracker>>,
    server: ServerId,
    is_trial_sized: bool,
    _waiting: Waiting,
}

impl InFlightGuard {
    pub fn new(
        loads: &Arc<Mutex<Tracker>>,
        (server, service): (&ServerId, &ServiceId),
        is_trial_sized: bool,
        path: &Arc<Monitor>,
    ) -> Self {
        {
            let mut loads = loads.lock();
            let stats = loads.stats(server);
            stats.in_flight += 1;
            stats.trial_in_flight += u32::from(is_trial_sized);
        }
        let (loads, server) = (loads.clone(), server.clone());
        Self { loads, server, is_trial_sized, _waiting: path.wait(service) }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut loads = self.loads.lock();
        let stats = loads.stats(&self.server);
        stats.in_flight = stats.in_flight.saturating_sub(1);
        stats.trial_in_flight =
            stats.trial_in_flight.saturating_sub(u32::from(self.is_trial_sized));
    }
}

/// Counts the prefill of a prompt in the backlog of a server until it is dropped, which happens
/// when the response starts.
pub struct PrefillGuard {
    loads: Arc<Mutex<Tracker>>,
    server: ServerId,
    prefill_ms: f64,
}

impl PrefillGuard {
    pub fn new(loads: &Arc<Mutex<Tracker>>, server: &ServerId, prefill_ms: f64) -> Self {
        let has_prefill = prefill_ms > 0.0;
        {
            let mut loads = loads.lock();
            let stats = loads.stats(server);
            stats.prefill_backlog_ms += prefill_ms;
            stats.pending_prompts += u32::from(has_prefill);
        }
        Self { loads: loads.clone(), server: server.clone(), prefill_ms }
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        let mut loads = self.loads.lock();
        let stats = loads.stats(&self.server);
        stats.prefill_backlog_ms = (stats.prefill_backlog_ms - self.prefill_ms).max(0.0);
        stats.pending_prompts =
            stats.pending_prompts.saturating_sub(u32::from(self.prefill_ms > 0.0));
    }
}

/// Counts a request as waiting for the start of its response until it is dropped.
pub struct WaitGuard {
    evidence: Arc<Mutex<Collector>>,
    id: WaitId,
    is_answered: bool,
}

impl WaitGuard {
    pub fn new(evidence: &Arc<Mutex<Collector>>, wait: Wait) -> Self {
        let id = evidence.lock().waits.begin(wait);
        Self { evidence: evidence.clone(), id, is_answered: false }
    }

    /// Ends the wait; `is_answered` is whether a response has started that is no failure.
    pub fn end(mut self, is_answered: bool) {
        self.is_answered = is_answered;
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.evidence.lock().waits.end(self.id, self.is_answered, time::now());
    }
}
