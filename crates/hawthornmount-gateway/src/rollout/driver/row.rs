//! State of one service's roll-out: its order, its record and the reports on it, and what of them
//! still holds after the store was restored from a copy.

use {
    super::Part,
    crate::{
        relay::PeerReport,
        rollout::{Phase, Record, evidence::Report},
        schema::Order,
    },
    hawthornmount_core::id::{Revision, ServiceId, VersionId},
    std::{sync::Arc, time::Instant},
};

/// Number of rolled-back versions of a service that are remembered. Their servers leave soon.
const MAX_ROLLED_BACK: usize = 8;

/// Order of a roll-out as received from the store.
#[derive(Clone, Debug)]
pub struct Ordered {
    pub revision: Revision,
    pub order: Order,
    pub received_at: Instant,
    /// When the store was restored from a copy, unless it has shown the order again since then.
    pub unconfirmed_since: Option<Instant>,
}

/// Record of a roll-out that this instance acts on.
#[derive(Clone, Debug)]
pub struct Recorded {
    pub record: Record,
    pub received_at: Instant,
}

/// Record of a roll-out in the store. After the store was restored from a copy, it can be older than
/// the record that the instance acts on.
#[derive(Clone, Debug)]
pub struct Stored {
    pub revision: Revision,
    pub record: Record,
}

/// Report of an instance as received from the store.
#[derive(Clone, Debug)]
pub struct Reported {
    pub key: Arc<str>,
    pub report: Report,
    pub received_at: Instant,
}

/// Report that an instance which follows this one delivered.
#[derive(Clone, Debug)]
pub struct Delivered {
    pub report: PeerReport,
    pub received_at: Instant,
}

/// Report that was written or delivered last.
#[derive(Clone, Debug)]
pub struct LastReport {
    pub report: Report,
    /// Part of this instance at that time; the reports of the parts can't be compared.
    pub part: Part,
    pub at: Instant,
}

/// State of one service's roll-out.
#[derive(Clone, Debug)]
pub struct Row {
    pub service: ServiceId,
    pub ordered: Option<Ordered>,
    /// Earlier orders, the last one last.
    pub earlier_orders: Vec<(Revision, Order)>,
    pub recorded: Option<Recorded>,
    pub stored: Option<Stored>,
    /// Reports in the store, in order of their keys.
    pub reports: Vec<Reported>,
    /// Reports of instances that follow this one, in order of their reporters.
    pub delivered: Vec<Delivered>,
    /// Mean number of requests in flight at the old version, and since when it is measured.
    pub mean_in_flight: f64,
    pub in_flight_since: Option<Instant>,
    /// Whether the evidence has shown the version to be bad. Later responses don't revoke this.
    pub is_bad: bool,
    /// Phase that is to be written, and when.
    pub due: Option<(Phase, Instant)>,
    pub last_report: Option<LastReport>,
}

impl Row {
    /// Returns the versions that were rolled back by other orders than the current one, the last one last.
    pub fn rolled_back(&self) -> Vec<VersionId> {
        let Some(Recorded { record, .. }) = &self.recorded else { return Vec::new() };
        let mut versions = record.rolled_back.clone();
        if record.phase == Phase::RolledBack && self.phase().is_none() {
            versions.push(record.version.clone());
        }
        let ordered = self.ordered.as_ref().map(|ordered| &ordered.order.version);
        versions.retain(|version| Some(version) != ordered);
        let excess = versions.len().saturating_sub(MAX_ROLLED_BACK);
        versions.split_off(excess)
    }

    /// Returns whether an order, or its removal, is one that this instance knows, so that nothing
    /// changes. A known order that a restored store shows again takes its new revision, and so does
    /// its record.
    pub fn accept_known_order(&mut self, revision: Revision, order: Option<&Order>) -> bool {
        let Some(known) = &mut self.ordered else { return false };
        if known.unconfirmed_since.is_none() {
            return revision <= known.revision;
        }
        let Some(order) = order else { return false };
        if *order != known.order {
            // The copy may hold an earlier order, which the operator's newer one will replace.
            let is_same =
                |earlier: &(Revision, Order)| earlier.0 == revision && earlier.1 == *order;
            return self.earlier_orders.iter().any(is_same);
        }
        let before = std::mem::replace(&mut known.revision, revision);
        known.unconfirmed_since = None;
        if let Some(recorded) = &mut self.recorded
            && recorded.record.order == before
        {
            recorded.record.order = revision;
        }
        true
    }

    /// Records that the store's answer about the order is final although it was restored.
    pub fn confirm_order(&mut self) {
        if let Some(ordered) = &mut self.ordered {
            ordered.unconfirmed_since = None;
            ordered.revision = 0;
        }
    }

    /// Returns whether the known phase is later than that of a record in the store, which was then
    /// restored from a copy.
    pub fn is_ahead_of(&self, stored: &Record) -> bool {
        let (Some(recorded), Some(ordered)) = (&self.recorded, &self.ordered) else { return false };
        let known = &recorded.record;
        known.order == ordered.revision
            && known.version == stored.version
            && (known.phase > stored.phase || known.order != stored.order)
            && known.phase >= stored.phase
    }

    /// Returns the phase that this instance knows and the store lost.
    pub fn lost_phase(&self) -> Option<Phase> {
        let ordered =
            self.ordered.as_ref().filter(|ordered| ordered.unconfirmed_since.is_none())?;
        let known = &self.recorded.as_ref()?.record;
        let is_lost = self.stored.as_ref().is_none_or(|stored| stored.record != *known);
        (known.order == ordered.revision && is_lost).then_some(known.phase)
    }

    /// Returns whether requests run on the old version at an instance that follows this one,
    /// according to its last report, if that one is recent.
    pub fn followers_run_old(&self, is_recent: impl Fn(Instant) -> bool) -> bool {
        self.delivered
            .iter()
            .any(|delivered| delivered.report.report.runs_old && is_recent(delivered.received_at))
    }

    /// Returns the phase that this instance acts on. Once its evidence shows the version to be bad,
    /// it sends no requests to that version, even while the roll-back can't be written to the
    /// store.
    pub fn effective_phase(&self) -> Option<Phase> {
        let phase = self.phase()?;
        Some(if self.is_bad && !phase.is_over() { Phase::RolledBack } else { phase })
    }

    /// Returns the phase of the current order, if its roll-out has started.
    pub fn phase(&self) -> Option<Phase> {
        let recorded = self.recorded.as_ref()?;
        let ordered = self.ordered.as_ref()?;
        (recorded.record.order == ordered.revision).then_some(recorded.record.phase)
    }
}
