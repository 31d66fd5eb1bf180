//! State of a shard: its records folded in the order of the log.

use {
    super::record::{Operation, Record, Reply, Segment, Settle, claim_id, pin_id, void_id},
    crate::{Claim, Claimed, Error, Outcome, Pin, Ticket},
    hawthornmount_core::table::Table,
    serde::{Deserialize, Serialize},
    std::{sync::Arc, time::Duration},
};

/// Longest difference between the clocks of two instances, in milliseconds.
const CLOCK_MARGIN_MS: u64 = 600_000;

/// What stands under one id.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Slot {
    /// The claim that holds a key.
    Held {
        /// The claim.
        claim: Claim,
        /// How its call ended, if it did.
        outcome: Option<Outcome>,
        /// When it was last changed, in milliseconds since the epoch.
        at_ms: u64,
    },
    /// An attempt that must never hold a claim.
    Void {
        /// When it was given up, in milliseconds since the epoch.
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

/// A slot with its id, as parts of a compacted log hold it.
pub type Row = (Arc<str>, Slot);

/// What has to be done for an operation.
#[derive(Debug)]
pub enum Decision {
    /// The answer stands and can't change any more.
    Final(Reply),
    /// The answer stands as far as the state has been read.
    Present(Reply),
    /// The record has to be written first.
    Write(Record),
    /// The operation can't be granted.
    Refused(Error),
}

/// State of a shard.
#[derive(Debug)]
pub struct State {
    slots: Table<Slot>,
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

    /// Puts in the slots of a part, in order of the parts.
    pub fn load(&mut self, rows: Vec<Row>) {
        for (id, slot) in rows {
            self.slots.insert(id, slot);
        }
    }

    /// Folds the records of a segment.
    pub fn apply(&mut self, segment: Segment) {
        let at_ms = segment.at_ms;
        for record in segment.records {
            match record {
                Record::Claim(claim) => self.claim(claim, at_ms),
                Record::Settle(settle) => self.settle(settle, at_ms),
                Record::Pin(pin) => self.pin(pin, at_ms),
            }
        }
    }

    /// Decides on an operation at `now_ms`, in milliseconds since the epoch.
    pub fn decide(&self, operation: &Operation, now_ms: u64) -> Decision {
        match operation {
            Operation::Claim(claim) => self.decide_claim(claim, now_ms),
            Operation::Settle(settle) => self.decide_settle(settle),
            Operation::Pin(pin) => match self.pin_of(&pin.account, &pin.session, now_ms) {
                Some(held) if held.generation >= pin.generation => {
                    Decision::Present(Reply::Pin(Some(held.clone())))
                }
                _ => Decision::Write(Record::Pin(pin.clone())),
            },
            Operation::Pinned { account, session } => {
                Decision::Final(Reply::Pin(self.pin_of(account, session, now_ms).cloned()))
            }
        }
    }

    /// Returns the slots that changed since the last call, and forgets that they did.
    pub fn take_changed(&mut self) -> Vec<Row> {
        let mut changed = std::mem::take(&mut self.changed);
        changed.sort_unstable();
        changed.dedup();
        changed
            .into_iter()
            .filter_map(|id| self.slots.get(&id).cloned().map(|slot| (id, slot)))
            .collect()
    }

    /// Frees the memory of slots that no segment written from `now_ms` on can see, clocks that
    /// differ allowed for.
    pub fn expire(&mut self, now_ms: u64) {
        let margin_ms = self.retention_ms.saturating_add(CLOCK_MARGIN_MS);
        let kept =
            self.slots.iter().filter(|row| row.value.at_ms().saturating_add(margin_ms) >= now_ms);
        self.slots = kept.map(|row| (row.id.clone(), row.value.clone())).collect();
    }

    fn decide_claim(&self, claim: &Claim, now_ms: u64) -> Decision {
        if self.slots.contains(&void_id(&claim.attempt)) {
            return Decision::Refused(Error::unavailable("the attempt was given up"));
        }
        let id = claim_id(&claim.account, &claim.key);
        let Some(Slot::Held { claim: held, outcome, .. }) = self.live(&id, now_ms) else {
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
                Decision::Present(Reply::Claimed(Claimed::Ended { attempt, outcome }))
            }
            None => Decision::Present(Reply::Claimed(Claimed::Running { attempt })),
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
            _ if settle.outcome == Outcome::NotRun => {
                Decision::Write(Record::Settle(settle.clone()))
            }
            _ => Decision::Present(Reply::Settled),
        }
    }

    fn claim(&mut self, claim: Claim, at_ms: u64) {
        if self.slots.contains(&void_id(&claim.attempt)) {
            return;
        }
        let id = claim_id(&claim.account, &claim.key);
        let is_free = match self.live(&id, at_ms) {
            Some(Slot::Held { claim: held, outcome, .. }) => {
                *outcome == Some(Outcome::NotRun) && held.digest == claim.digest
            }
            _ => true,
        };
        if is_free {
            self.put(id.into(), Slot::Held { claim, outcome: None, at_ms });
        }
    }

    fn settle(&mut self, settle: Settle, at_ms: u64) {
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

    fn pin(&mut self, pin: Pin, at_ms: u64) {
        let held = self.pin_of(&pin.account, &pin.session, at_ms);
        if held.is_none_or(|held| held.generation < pin.generation) {
            let id = pin_id(&pin.account, &pin.session);
            self.put(id.into(), Slot::Pinned { pin, at_ms });
        }
    }

    fn pin_of(&self, account: &str, session: &str, now_ms: u64) -> Option<&Pin> {
        match self.live(&pin_id(account, session), now_ms) {
            Some(Slot::Pinned { pin, .. }) => Some(pin),
            _ => None,
        }
    }

    /// Returns a slot whose retention has not passed at `now_ms`. Readers of a log agree on it,
    /// because the time is that of the segment that asks.
    fn live(&self, id: &str, now_ms: u64) -> Option<&Slot> {
        let slot = self.slots.get(id)?;
        (slot.at_ms().saturating_add(self.retention_ms) >= now_ms).then_some(slot)
    }

    fn put(&mut self, id: Arc<str>, slot: Slot) {
        self.changed.push(id.clone());
        self.slots.insert(id, slot);
    }
}
