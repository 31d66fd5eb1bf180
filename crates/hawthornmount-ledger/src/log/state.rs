//! State of a shard, which results from applying the records of its log in order.

use {
    super::record::{Operation, Record, Reply, Segment, Settle, claim_id, pin_id, void_id},
    crate::{Claim, Claimed, Error, Outcome, Pin, Ticket},
    hawthornmount_core::table::Table,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Assumed maximum difference between the clocks of two instances, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 600_000;

/// Value that the state holds under one id.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Slot {
    /// The claim that holds a key.
    Held {
        /// The claim.
        claim: Claim,
        /// Outcome of its call, if the call has ended.
        outcome: Option<Outcome>,
        /// When it was last changed, in milliseconds since the epoch.
        at_ms: u64,
    },
    /// Marks a voided attempt, which must never hold a claim.
    Void {
        /// When it was voided, in milliseconds since the epoch.
        at_ms: u64,
    },
    /// A session pin.
    Pinned {
        /// The pin.
        pin: Pin,
        /// When it was written, in milliseconds since the epoch.
        at_ms: u64,
    },
}

/// Slot with its id, as the parts of a compacted log store it.
pub type Row = (Arc<str>, Slot);

/// How to carry out an operation in the current state.
#[derive(Debug)]
pub enum Decision {
    /// The answer does not change any more, so it may be given without reading the log again.
    Final(Reply),
    /// The answer is valid only if the state includes all that has been written.
    Provisional(Reply),
    /// The record has to be written first.
    Write(Record),
    /// The operation is refused.
    Refused(Error),
}

/// Claims, voided attempts and session pins of a shard.
#[derive(Debug)]
pub struct State {
    slots: Table<Slot>,
    /// Ids of the slots that changed since [`State::take_changed`] was last called.
    changed: Vec<Arc<str>>,
    retention_ms: u64,
}

impl Slot {
    /// Returns when the slot was last changed, in milliseconds since the epoch.
    pub const fn at_ms(&self) -> u64 {
        match self {
            Self::Held { at_ms, .. } | Self::Void { at_ms } | Self::Pinned { at_ms, .. } => *at_ms,
        }
    }
}

impl State {
    /// Creates an empty state that keeps a slot for `retention` after its last change.
    pub fn new(retention: Duration) -> Self {
        let retention_ms = u64::try_from(retention.as_millis()).unwrap_or(u64::MAX);
        Self { slots: Table::new(), changed: Vec::new(), retention_ms }
    }

    /// Inserts the slots of a part. Parts must be inserted in order, as later ones replace slots of
    /// earlier ones. The slots don't count as changed, because a part holds them already.
    pub fn insert_part(&mut self, rows: Vec<Row>) {
        for (id, slot) in rows {
            self.slots.insert(id, slot);
        }
    }

    /// Applies the records of a segment.
    pub fn apply(&mut self, segment: Segment) {
        let at_ms = segment.at_ms;
        for record in segment.records {
            match record {
                Record::Claim(claim) => self.apply_claim(claim, at_ms),
                Record::Settle(settle) => self.apply_settle(settle, at_ms),
                Record::Pin(pin) => self.apply_pin(pin, at_ms),
            }
        }
    }

    /// Returns how to carry out an operation at `now_ms`, in milliseconds since the epoch.
    pub fn decide(&self, operation: &Operation, now_ms: u64) -> Decision {
        match operation {
            Operation::Claim(claim) => self.decide_claim(claim, now_ms),
            Operation::Settle(settle) => self.decide_settle(settle),
            Operation::Pin(pin) => match self.find_pin(&pin.account, &pin.session, now_ms) {
                Some(held) if held.generation >= pin.generation => {
                    Decision::Provisional(Reply::Pin(Some(held.clone())))
                }
                _ => Decision::Write(Record::Pin(pin.clone())),
            },
            Operation::Pinned { account, session } => {
                Decision::Final(Reply::Pin(self.find_pin(account, session, now_ms).cloned()))
            }
        }
    }

    /// Returns the slots that changed since the last call and clears the list of changes.
    pub fn take_changed(&mut self) -> Vec<Row> {
        let mut changed = std::mem::take(&mut self.changed);
        changed.sort_unstable();
        changed.dedup();
        changed
            .into_iter()
            .filter_map(|id| self.slots.get(&id).cloned().map(|slot| (id, slot)))
            .collect()
    }

    /// Frees the memory of slots that have expired for every segment created at `now_ms` or later,
    /// with [`MAX_CLOCK_SKEW_MS`] allowed for clocks that differ.
    pub fn expire(&mut self, now_ms: u64) {
        let margin_ms = self.retention_ms.saturating_add(MAX_CLOCK_SKEW_MS);
        let kept =
            self.slots.iter().filter(|row| row.value.at_ms().saturating_add(margin_ms) >= now_ms);
        self.slots = kept.map(|row| (row.id.clone(), row.value.clone())).collect();
    }

    fn decide_claim(&self, claim: &Claim, now_ms: u64) -> Decision {
        if self.slots.contains(&void_id(&claim.attempt)) {
            return Decision::Refused(Error::unavailable("the attempt was given up"));
        }
        let id = claim_id(&claim.account, &claim.key);
        let Some(Slot::Held { claim: held, outcome, .. }) = self.unexpired(&id, now_ms) else {
            return Decision::Write(Record::Claim(claim.clone()));
        };
        if held.digest != claim.digest {
            return Decision::Final(Reply::Claimed(Claimed::Conflict));
        }
        let attempt = held.attempt.clone();
        if attempt == claim.attempt {
            let ticket = Ticket { claim: claim.clone() };
            return Decision::Final(Reply::Claimed(Claimed::First(ticket)));
        }
        match outcome {
            Some(Outcome::NotRun) => Decision::Write(Record::Claim(claim.clone())),
            Some(outcome) => {
                let outcome = outcome.clone();
                Decision::Final(Reply::Claimed(Claimed::Ended { attempt, outcome }))
            }
            None if now_ms > held.until_ms => {
                let outcome = Outcome::Unknown;
                Decision::Provisional(Reply::Claimed(Claimed::Ended { attempt, outcome }))
            }
            None => Decision::Provisional(Reply::Claimed(Claimed::Running { attempt })),
        }
    }

    fn decide_settle(&self, settle: &Settle) -> Decision {
        let held = self.slots.get(&claim_id(&settle.account, &settle.key));
        let is_settled = match held {
            Some(Slot::Held { claim, outcome: Some(_), .. }) => claim.attempt == settle.attempt,
            _ => false,
        };
        if is_settled || self.slots.contains(&void_id(&settle.attempt)) {
            return Decision::Final(Reply::Settled);
        }
        match held {
            Some(Slot::Held { claim, .. }) if claim.attempt == settle.attempt => {
                Decision::Write(Record::Settle(settle.clone()))
            }
            // The attempt holds no claim, but a delayed write of its claim may still apply, so it
            // is voided.
            _ if settle.outcome == Outcome::NotRun => {
                Decision::Write(Record::Settle(settle.clone()))
            }
            _ => Decision::Provisional(Reply::Settled),
        }
    }

    fn apply_claim(&mut self, claim: Claim, at_ms: u64) {
        if self.slots.contains(&void_id(&claim.attempt)) {
            return;
        }
        let id = claim_id(&claim.account, &claim.key);
        let is_free = match self.unexpired(&id, at_ms) {
            Some(Slot::Held { claim: held, outcome, .. }) => {
                *outcome == Some(Outcome::NotRun) && held.digest == claim.digest
            }
            _ => true,
        };
        if is_free {
            self.put(id.into(), Slot::Held { claim, outcome: None, at_ms });
        }
    }

    /// Records the outcome if the attempt holds the key. An attempt that did not run is voided, so
    /// that a later record of its claim has no effect.
    fn apply_settle(&mut self, settle: Settle, at_ms: u64) {
        if settle.outcome == Outcome::NotRun {
            self.put(void_id(&settle.attempt).into(), Slot::Void { at_ms });
        }
        let id: Arc<str> = claim_id(&settle.account, &settle.key).into();
        if let Some(Slot::Held { claim, outcome: None, .. }) = self.slots.get(&id)
            && claim.attempt == settle.attempt
        {
            let claim = claim.clone();
            self.put(id, Slot::Held { claim, outcome: Some(settle.outcome), at_ms });
        }
    }

    fn apply_pin(&mut self, pin: Pin, at_ms: u64) {
        let held = self.find_pin(&pin.account, &pin.session, at_ms);
        if held.is_none_or(|held| held.generation < pin.generation) {
            let id = pin_id(&pin.account, &pin.session);
            self.put(id.into(), Slot::Pinned { pin, at_ms });
        }
    }

    fn find_pin(&self, account: &str, session: &str, now_ms: u64) -> Option<&Pin> {
        match self.unexpired(&pin_id(account, session), now_ms) {
            Some(Slot::Pinned { pin, .. }) => Some(pin),
            _ => None,
        }
    }

    /// Returns a slot whose retention has not passed at `now_ms`. Applying a segment passes the
    /// segment's time, so all readers of a log reach the same state.
    fn unexpired(&self, id: &str, now_ms: u64) -> Option<&Slot> {
        let slot = self.slots.get(id)?;
        (slot.at_ms().saturating_add(self.retention_ms) >= now_ms).then_some(slot)
    }

    /// Sets a slot and marks it as changed.
    fn put(&mut self, id: Arc<str>, slot: Slot) {
        self.changed.push(id.clone());
        self.slots.insert(id, slot);
    }
}
