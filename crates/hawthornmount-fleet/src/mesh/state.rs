//! State of a mesh, guarded by its lock.

use {
    super::Traffic,
    crate::{
        Topic,
        roster::Roster,
        wire::{Payload, Record, Update},
    },
    hawthornmount_core::id::{Incarnation, InstanceId},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{cmp::Reverse, collections::VecDeque},
    tokio::{sync::oneshot, time::Instant},
};

/// Capacity of the queue of updates.
const MAX_QUEUED: usize = 1_024;
/// Payload ids that are kept to deliver and forward each payload only once.
const MAX_SEEN: usize = 4_096;

/// An update with the number of rounds in which it is still to be sent.
pub struct Queued {
    pub update: Update,
    pub rounds: u32,
}

/// A ping that is not acknowledged yet.
pub struct PendingPing {
    pub number: u64,
    pub peer: InstanceId,
    pub done: oneshot::Sender<()>,
    pub sent_at: Instant,
}

#[derive(Clone, Eq, Ord, PartialEq, PartialOrd)]
struct PayloadId {
    origin: InstanceId,
    incarnation: Incarnation,
    number: u64,
}

/// Mutable state of a mesh.
pub struct State {
    pub roster: Roster,
    pub queue: Vec<Queued>,
    pub pending_pings: Vec<PendingPing>,
    pub probe_order: Vec<Record>,
    pub last_sync: Option<Instant>,
    pub digest_mismatches: u32,
    pub traffic: Traffic,
    seen: Vec<PayloadId>,
    seen_order: VecDeque<PayloadId>,
    last_sequence_number: u64,
    rng: StdRng,
}

impl State {
    pub fn new(local: Record, seed: u64) -> Self {
        Self {
            roster: Roster::new(local),
            queue: Vec::new(),
            pending_pings: Vec::new(),
            probe_order: Vec::new(),
            last_sync: None,
            digest_mismatches: 0,
            traffic: Traffic::default(),
            seen: Vec::new(),
            seen_order: VecDeque::new(),
            last_sequence_number: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub const fn next_sequence_number(&mut self) -> u64 {
        self.last_sequence_number += 1;
        self.last_sequence_number
    }

    /// Queues an update; a record replaces the queued records of the same member. Returns whether
    /// there was room; if not, the update that sorts last is dropped.
    pub fn enqueue(&mut self, update: Update) -> bool {
        if let Update::Member(record) = &update {
            self.queue.retain(|queued| !is_about(&queued.update, &record.id));
        }
        if let Update::Payload(payload) = &update {
            self.mark_seen(payload);
        }
        let rounds = super::gossip::rounds_per_update(self.roster.others().count());
        self.queue.push(Queued { update, rounds });
        let overflow = self.queue.len() > MAX_QUEUED;
        if overflow {
            self.sort_queue();
            self.queue.pop();
        }
        !overflow
    }

    /// Sorts updates by descending priority; at equal priority the least sent come first.
    pub fn sort_queue(&mut self) {
        self.queue.sort_by_key(|queued| Reverse((priority(&queued.update), queued.rounds)));
    }

    /// Marks a payload as seen and returns whether it was new.
    pub fn mark_seen(&mut self, payload: &Payload) -> bool {
        let id = PayloadId {
            origin: payload.origin.clone(),
            incarnation: payload.incarnation,
            number: payload.number,
        };
        let Err(at) = self.seen.binary_search(&id) else { return false };
        self.seen.insert(at, id.clone());
        self.seen_order.push_back(id);
        if self.seen_order.len() > MAX_SEEN
            && let Some(oldest) = self.seen_order.pop_front()
            && let Ok(at) = self.seen.binary_search(&oldest)
        {
            self.seen.remove(at);
        }
        true
    }

    /// Returns up to `count` random records out of `records`.
    pub fn sample(&mut self, mut records: Vec<Record>, count: usize) -> Vec<Record> {
        let count = count.min(records.len());
        for at in 0..count {
            let other = self.rng.random_range(at..records.len());
            records.swap(at, other);
        }
        records.truncate(count);
        records
    }

    /// Returns a random number between 0 and 1.
    pub fn random(&mut self) -> f64 {
        self.rng.random()
    }

    /// Returns a random nonce, which does not depend on the seed.
    pub fn nonce(&mut self) -> u64 {
        rand::rng().random()
    }
}

/// Returns the priority of an update; payloads of topics that are broadcast periodically have the
/// lowest.
const fn priority(update: &Update) -> u8 {
    match update {
        Update::Member(_) => 2,
        Update::Payload(payload) => match payload.topic {
            Topic::Demand | Topic::Evidence | Topic::Load => 0,
            Topic::Suspension
            | Topic::Rollout
            | Topic::Session
            | Topic::Usage
            | Topic::Claim
            | Topic::Explain
            | Topic::Status
            | Topic::Config => 1,
        },
    }
}

fn is_about(update: &Update, id: &InstanceId) -> bool {
    matches!(update, Update::Member(record) if record.id == *id)
}
