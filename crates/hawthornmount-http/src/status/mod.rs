//! Statuses that answer a request.

use {
    derive_more::{Display, Error},
    http::StatusCode,
};

/// Error of a response whose status answers no request.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("status {status} is no final status of HTTP")]
pub struct NotFinal {
    /// Status of the response.
    #[error(not(source))]
    pub status: u16,
}

/// Checks that a status is a final one: from 200 to 599. Interim responses, a change of the protocol,
/// which no request asks for, and statuses that HTTP doesn't define answer nothing.
///
/// # Errors
///
/// Returns the status if it is not final.
pub const fn check_final(status: StatusCode) -> Result<(), NotFinal> {
    match status.as_u16() {
        200..=599 => Ok(()),
        status => Err(NotFinal { status }),
    }
}
