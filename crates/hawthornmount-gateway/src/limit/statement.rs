//! Statement of a server on the rate that it takes.

use std::time::Instant;

/// Requests a second that a server takes from the whole fleet.
pub type Rate = f64;

/// What a server stated, as an answer or the store says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// The limit; `None` if it stated that there is none.
    pub rate: Option<Rate>,
    /// When the request was sent whose answer contained the statement, or when the store showed it.
    pub at: Instant,
}

/// Change of the limit of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The limit before, if there was one.
    pub before: Option<Rate>,
    /// The limit now, if there is one.
    pub after: Option<Rate>,
}
