//! Why a request is not sent to another server.

use {
    super::Progress,
    derive_more::Display,
    hawthornmount_core::reason::Retry,
    std::fmt::{self, Formatter},
};

/// Why a request is not sent to another server.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Obstacle {
    /// It was sent as often as its route allows.
    #[display("attempts")]
    Attempts,
    /// As many servers refused it as its route allows attempts.
    #[display("refusals")]
    Refusals,
    /// The retry budget of the service is used up.
    #[display("retry_budget")]
    Budget,
    /// No server of the service is left to try.
    #[display("no_server")]
    NoServer,
    /// All servers have turned requests away for a time that still lasts.
    #[display("servers_closed")]
    ServersClosed,
    /// Servers ended under parts of the request.
    #[display("quarantine")]
    Quarantine,
    /// Servers ended under the request, or while it waited there.
    #[display("suspicion")]
    Suspicion,
}

impl Obstacle {
    /// Returns whether the request may be sent later.
    pub const fn is_temporary(self) -> bool {
        match self {
            Self::Refusals | Self::Budget | Self::NoServer | Self::ServersClosed => true,
            Self::Attempts | Self::Quarantine | Self::Suspicion => false,
        }
    }
}

/// Fields of a log line about a request that no other server has taken: how the last attempt to
/// replace a server ended, and why there was no further one.
pub struct Fields<'a>(pub &'a Progress);

impl fmt::Display for Fields<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self(progress) = self;
        let replacement = progress.replacement.map_or("none", Retry::as_str);
        write!(formatter, "attempts={} replacement={replacement} obstacle=", progress.attempts)?;
        match progress.obstacle {
            Some(obstacle) => obstacle.fmt(formatter),
            None => formatter.write_str("none"),
        }
    }
}
