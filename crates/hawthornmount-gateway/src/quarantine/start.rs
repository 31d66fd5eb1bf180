//! How far an answer got after its head.

use std::time::{Duration, Instant};

/// Time from the head of an answer within which it breaks off if its prompt ended the server.
const EARLY_TIME: Duration = Duration::from_millis(300);
/// Time of progress from which an answer shows that its prompt does not end servers.
const PROVEN_TIME: Duration = Duration::from_millis(500);
/// Longest part of a gap between two pieces that counts as progress. A process that was suspended
/// reads at once what arrived before.
const MAX_COUNTED_GAP: Duration = Duration::from_millis(100);

/// Progress of an answer since its head arrived.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    head_at: Instant,
    last_piece: Instant,
    progress: Duration,
    has_pieces: bool,
    is_proven: bool,
}

impl Start {
    /// Creates the progress of an answer whose head arrived at `head_at`.
    pub const fn new(head_at: Instant) -> Self {
        Self {
            head_at,
            last_piece: head_at,
            progress: Duration::ZERO,
            has_pieces: false,
            is_proven: false,
        }
    }

    /// Records a piece of the answer, and returns whether it is the first one that shows that the
    /// prompt does not end servers.
    pub fn record_piece(&mut self, now: Instant) -> bool {
        let gap = now.saturating_duration_since(self.last_piece);
        self.last_piece = now;
        self.has_pieces = true;
        self.progress += gap.min(MAX_COUNTED_GAP);
        let is_first = !self.is_proven && self.progress >= PROVEN_TIME;
        self.is_proven |= is_first;
        is_first
    }

    /// Returns whether a piece has arrived.
    pub const fn has_pieces(&self) -> bool {
        self.has_pieces
    }

    /// Returns whether an answer that breaks off at `now` does so right after its head.
    pub fn is_early(&self, now: Instant) -> bool {
        !self.is_proven && self.age(now) <= EARLY_TIME
    }

    /// Returns the time since the head.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.head_at)
    }
}
