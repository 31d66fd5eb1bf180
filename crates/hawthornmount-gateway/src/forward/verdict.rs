//! What the head of an answer says of the request that it came for.
//!
//! | Head | Verdict | Ran |
//! |---|---|---|
//! | says that the server did not run the request, or 421 | refused | no |
//! | 2xx with the server's seal | success | yes |
//! | any other status | failure | yes |
//! | of another request, without an id on a used connection, encoded, 2xx without a seal | alien | unknown |

use {
    crate::message::Reply,
    hawthornmount_core::{id::RequestId, reason::Retry},
    http::StatusCode,
};

/// What a head says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The server did not run the request and never will.
    Refused,
    /// The answer is a success.
    Success,
    /// The answer is a failure of the server.
    Failure,
    /// The bytes are no answer to this request; the connection can't be used any more.
    Alien(Retry),
}

/// Returns the verdict on the head of an answer; `is_kept` tells whether the connection had carried
/// an answer before.
pub fn verdict(id: &RequestId, status: StatusCode, reply: &Reply, is_kept: bool) -> Verdict {
    let is_refusal = reply.refused || status == StatusCode::MISDIRECTED_REQUEST;
    match &reply.id {
        Some(other) if other != id => return Verdict::Alien(Retry::CrossedAnswer),
        None if is_kept || !is_refusal => return Verdict::Alien(Retry::CrossedAnswer),
        _ => {}
    }
    if is_refusal {
        Verdict::Refused
    } else if !status.is_success() {
        Verdict::Failure
    } else if reply.sealed && !reply.encoded {
        Verdict::Success
    } else {
        Verdict::Alien(Retry::CutAnswer)
    }
}
