//! Whether a server that closed a connection has ended.
//!
//! Load: a server ends under a request. Its address may refuse connections at once or only later, leave
//! them unanswered, or accept and close them, and the server may be back before it is checked. Sound
//! servers close single connections too, and turn away those beyond their limit; links are cut with
//! a reset, and servers leave. So one check decides only if it is clear; others follow for a while.

use {hawthornmount_http::connection::Reach, std::time::Duration};

/// A time after the close of a connection at which its server is checked.
#[derive(Clone, Copy, Debug)]
pub struct Check {
    /// Time after the close.
    pub time: Duration,
    /// Whether a new connection is tried; else only what the store shows counts.
    pub is_probe: bool,
}

/// The checks of a server. One that ends may take a moment to close its listener, and its next start is
/// known with a list of the store.
pub const CHECKS: [Check; 8] = [
    Check::new(50, true),
    Check::new(300, true),
    Check::new(700, true),
    Check::new(1_200, false),
    Check::new(2_000, false),
    Check::new(3_000, false),
    Check::new(4_500, false),
    Check::new(6_000, false),
];
/// Time up to which a refusal shows that the server ended when it closed the connection.
const REFUSAL_TIME: Duration = Duration::from_millis(1_500);
/// Time up to which silence shows it. An address that falls silent later may be behind a link that was cut
/// since.
const SILENCE_TIME: Duration = Duration::from_millis(700);
/// Number of probes in a row that are closed, from which this is not the limit on the connections of a
/// busy server.
const MIN_CLOSED_PROBES: usize = 3;

/// What one check shows of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Finding {
    /// What its address does with a new connection, if one was tried.
    pub reach: Option<Reach>,
    /// Whether a later start is registered, of the server or at its address.
    pub has_restarted: bool,
    /// Whether requests of this instance are in flight at the server.
    pub is_at_work: bool,
}

/// What the checks have shown so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Detector {
    /// Number of the last probes in a row that were closed.
    closed: usize,
}

impl Check {
    const fn new(ms: u64, is_probe: bool) -> Self {
        Self { time: Duration::from_millis(ms), is_probe }
    }
}

impl Detector {
    /// Returns whether a check tries a new connection. An address that closed the last one is tried again.
    pub const fn probes(&self, check: Check) -> bool {
        check.is_probe || self.closed > 0
    }

    /// Records what a check shows, and returns whether the server has ended.
    pub fn record(&mut self, check: Check, finding: Finding) -> bool {
        match finding.reach {
            Some(Reach::Closed) => self.closed += 1,
            Some(_) => self.closed = 0,
            None => {}
        }
        if finding.has_restarted {
            return true;
        }
        match finding.reach {
            Some(Reach::Refused) => check.time <= REFUSAL_TIME,
            Some(Reach::Silent) => check.time <= SILENCE_TIME,
            Some(Reach::Closed) => self.closed >= MIN_CLOSED_PROBES && !finding.is_at_work,
            Some(Reach::Accepted) | None => false,
        }
    }
}
