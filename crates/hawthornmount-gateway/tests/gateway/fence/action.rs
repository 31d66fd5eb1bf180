//! Events of a world, and how often they may happen.

use std::time::Duration;

/// One event.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// The operator writes the next configuration, which accepts another key.
    Configure,
    /// The server writes that it drains.
    Drain,
    /// Another instance writes the record of a roll-out.
    Record,
    /// The store comes back from a copy that lacks the last write.
    Restore,
    /// An instance starts again.
    Restart(usize),
    /// The answer of the store to an instance arrives. It lacks so many of the last changes, which
    /// came after the call.
    Deliver(usize, usize),
    /// The call of an instance is lost.
    Lose(usize),
    /// The request of an instance arrives at its reader.
    Arrive(usize),
    /// The answer of the reader arrives.
    Reply(usize),
    /// The request of an instance to another is lost.
    Cut(usize),
    /// An event of the watch arrives.
    Event(usize),
    /// The history is dropped, which ends the watch.
    Interrupt(usize),
    /// Time passes until an instance does something.
    Wait,
}

/// What may happen, and how often.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub instances: usize,
    pub configurations: usize,
    pub drains: usize,
    pub records: usize,
    pub restores: usize,
    pub restarts: usize,
    /// Calls and requests that are lost.
    pub losses: usize,
    /// Time before the next list of the reader at which the events begin.
    pub lead: Duration,
    /// Longest page of a list.
    pub page_entries: usize,
    /// Events before those that are explored.
    pub before: &'static [Action],
    pub fault: Fault,
}

/// Fault of the surroundings that breaks what the product relies on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    /// The store answers with the content that it had before its last change before the call.
    StaleAnswers,
    /// Relayed confirmations are made younger by this time.
    YoungerRelay(Duration),
    /// The operator writes again what a restore lost only after this time.
    LateRestatement(Duration),
    /// The store does not state that it was restored.
    HiddenEra,
}

impl Action {
    /// Returns whether the event itself can change what an instance has in force or confirms.
    pub const fn is_felt(&self) -> bool {
        matches!(self, Self::Deliver(..) | Self::Reply(_) | Self::Event(_) | Self::Wait)
    }

    /// Returns whether a call, a request or a watch is lost.
    pub const fn is_loss(&self) -> bool {
        matches!(self, Self::Lose(_) | Self::Cut(_) | Self::Interrupt(_))
    }
}

impl Fault {
    /// Returns by how many microseconds relayed confirmations are made younger.
    pub const fn younger_us(self) -> i64 {
        match self {
            Self::YoungerRelay(time) => time.as_micros() as i64,
            _ => 0,
        }
    }

    /// Returns the time after a restore by which lost writes are written again.
    pub const fn restatement_time(self, usual: Duration) -> Duration {
        match self {
            Self::LateRestatement(time) => time,
            _ => usual,
        }
    }
}
