//! Who yields when memory or connections are short.
//!
//! Load: a crowd of clients that connect and send little, stop short of the end of a body, or read no
//! answer, beside ordinary callers whose requests are small and arrive at once. What makes progress
//! does not yield, so that large bodies still get through while others stall. Small bodies keep a
//! share of the memory that large ones can't take.

use std::time::{Duration, Instant};

/// Largest body that counts as small, in bytes.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// Rate at which a body has to arrive, in bytes a second, not to yield when memory is short.
const MIN_BODY_RATE: f64 = 64.0 * 1_024.0;
/// Time without progress for which a body, a head or a reader does not yield. A round trip and a lost
/// packet take less.
const GRACE: Duration = Duration::from_secs(1);

/// What a holding is used for, in the order in which connections yield.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// A connection on which nothing has arrived yet.
    New,
    /// A connection between two requests.
    Idle,
    /// A connection on which a part of a head has arrived.
    Head,
    /// A connection whose client does not take what is written.
    Unread,
    /// The body of a request that is arriving.
    Body,
    /// Work for a complete request; it does not yield.
    Busy,
}

/// Memory and, for a connection, the place that a client takes.
#[derive(Debug)]
pub struct Entry {
    /// Number of the holding; later ones have larger numbers.
    pub id: u64,
    /// Group of a connection; `None` for a body.
    pub group: Option<usize>,
    /// Memory that it takes.
    pub bytes: usize,
    /// What it is used for.
    pub stage: Stage,
    /// Time from which it yields.
    pub yields_at: Instant,
}

/// Memory that entries yield.
#[derive(Clone, Copy, Debug, Default)]
pub struct Yielding {
    /// Memory of all of them.
    pub bytes: usize,
    /// That of large bodies among it.
    pub large: usize,
}

impl Stage {
    /// Returns the time from which something in this stage yields, if it makes no progress after `now`.
    pub fn yields_at(self, now: Instant) -> Instant {
        match self {
            Self::New | Self::Idle => now,
            Self::Head | Self::Unread | Self::Body | Self::Busy => now + GRACE,
        }
    }
}

impl Entry {
    /// Records that `bytes` of a body have arrived.
    pub fn record_progress(&mut self, bytes: usize, now: Instant) {
        let earned = Duration::from_secs_f64(bytes as f64 / MIN_BODY_RATE);
        self.yields_at = (self.yields_at + earned).min(self.stage.yields_at(now));
    }

    /// Returns whether it is a body that can't use the share of the small ones.
    pub const fn is_large(&self) -> bool {
        self.group.is_none() && self.bytes > SMALL_BODY_BYTES
    }

    /// Returns whether it yields at `now`.
    pub fn yields(&self, now: Instant) -> bool {
        self.stage != Stage::Busy && self.yields_at <= now
    }

    /// Returns the memory that it takes in vain multiplied by the time since it could have yielded.
    fn waste(&self, now: Instant) -> f64 {
        self.bytes as f64 * now.saturating_duration_since(self.yields_at).as_secs_f64()
    }
}

/// Returns the memory that others than the entry `asking` yield.
pub fn yielding_bytes(entries: &[Entry], asking: u64, now: Instant) -> Yielding {
    let mut yielding = Yielding::default();
    for entry in entries.iter().filter(|entry| entry.yields(now) && entry.id != asking) {
        yielding.bytes += entry.bytes;
        yielding.large += if entry.is_large() { entry.bytes } else { 0 };
    }
    yielding
}

/// Returns the position of the entry that yields its memory: the one that takes most of it for
/// longest. The entry `asking` needs the memory itself. Only large bodies are considered if they
/// exceed their share.
pub fn yielding_memory(
    entries: &[Entry],
    asking: u64,
    only_large: bool,
    now: Instant,
) -> Option<usize> {
    let may_yield = |entry: &Entry| {
        entry.yields(now) && entry.id != asking && (!only_large || entry.is_large())
    };
    let candidates = entries.iter().enumerate().filter(|(_, entry)| may_yield(entry));
    let waste = |(_, entry): &(usize, &Entry)| entry.waste(now);
    candidates.max_by(|a, b| waste(a).total_cmp(&waste(b))).map(|(at, _)| at)
}

/// Returns the position of the connection of a group that yields its place: by stage, and then the one
/// that has waited for longest.
pub fn yielding_connection(entries: &[Entry], group: usize, now: Instant) -> Option<usize> {
    let may_yield = |entry: &Entry| entry.group == Some(group) && entry.yields(now);
    let candidates = entries.iter().enumerate().filter(|(_, entry)| may_yield(entry));
    candidates.min_by_key(|(_, entry)| (entry.stage, entry.yields_at)).map(|(at, _)| at)
}
