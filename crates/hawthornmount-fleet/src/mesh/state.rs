//! State of a mesh behind its lock.

use {
    super::Traffic,
    crate::{
        Topic,
        roster::Roster,
        wire::{Payload, Record, Rumour},
    },
    hawthornmount_core::id::{Incarnation, InstanceId},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{cmp::Reverse, collections::VecDeque},
    tokio::{sync::oneshot, time::Instant},
};

/// Most news that wait to be sent on.
const MAX_QUEUED: usize = 1_024;
/// Payloads that are remembered, so that each is handed on once.
const MAX_SEEN: usize = 4_096;

/// News with the rounds in which it is still sent.
pub struct Queued {
    pub rumour: Rumour,
    pub rounds: u32,
}

/// A ping that waits for its acknowledgement.
pub struct Waiting {
    pub number: u64,
    pub peer: InstanceId,
    pub done: oneshot::Sender<()>,
    pub sent: Instant,
}

#[derive(Clone, Eq, Ord, PartialEq, PartialOrd)]
struct PayloadId {
    origin: InstanceId,
    incarnation: Incarnation,
    number: u64,
}

/// State of a mesh.
pub struct State {
    pub roster: Roster,
    pub queue: Vec<Queued>,
    pub waiting: Vec<Waiting>,
    pub turns: Vec<Record>,
    pub last_sync: Option<Instant>,
    pub traffic: Traffic,
    seen: Vec<PayloadId>,
    seen_order: VecDeque<PayloadId>,
    last_number: u64,
    rng: StdRng,
}

impl State {
    pub fn new(local: Record, seed: u64) -> Self {
        Self {
            roster: Roster::new(local),
            queue: Vec::new(),
            waiting: Vec::new(),
            turns: Vec::new(),
            last_sync: None,
            traffic: Traffic::default(),
            seen: Vec::new(),
            seen_order: VecDeque::new(),
            last_number: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    pub const fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Queues news and tells whether there was room; newer claims replace older ones.
    pub fn enqueue(&mut self, rumour: Rumour) -> bool {
        if let Rumour::Member(record) = &rumour {
            self.queue.retain(|queued| !is_about(&queued.rumour, &record.id));
        }
        if let Rumour::Payload(payload) = &rumour {
            self.remember(payload);
        }
        let rounds = super::gossip::rounds(self.roster.others().count());
        self.queue.push(Queued { rumour, rounds });
        let overflow = self.queue.len() > MAX_QUEUED;
        if overflow {
            self.sort_queue();
            self.queue.pop();
        }
        !overflow
    }

    /// Puts urgent news first, and the least sent among news of the same urgency.
    pub fn sort_queue(&mut self) {
        self.queue.sort_by_key(|queued| Reverse((urgency(&queued.rumour), queued.rounds)));
    }

    /// Notes a payload and tells whether it is new.
    pub fn remember(&mut self, payload: &Payload) -> bool {
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

    /// Takes up to `count` random records out of `records`.
    pub fn choose(&mut self, mut records: Vec<Record>, count: usize) -> Vec<Record> {
        let count = count.min(records.len());
        for at in 0..count {
            let other = self.rng.random_range(at..records.len());
            records.swap(at, other);
        }
        records.truncate(count);
        records
    }

    /// Returns a random number from 0 to 1.
    pub fn random(&mut self) -> f64 {
        self.rng.random()
    }

    /// Returns a random number.
    pub fn nonce(&mut self) -> u64 {
        rand::rng().random()
    }
}

/// Returns how urgent news is; what is told again and again is least so.
const fn urgency(rumour: &Rumour) -> u8 {
    match rumour {
        Rumour::Member(_) => 2,
        Rumour::Payload(payload) => match payload.topic {
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

fn is_about(rumour: &Rumour, id: &InstanceId) -> bool {
    matches!(rumour, Rumour::Member(record) if record.id == *id)
}
