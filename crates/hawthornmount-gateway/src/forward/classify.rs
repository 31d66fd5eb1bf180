//! What the head of an answer says of the request that it came for.
//!
//! | Head | Verdict | Ran |
//! |---|---|---|
//! | says that the server did not run the request, or 421 | refused | no |
//! | 2xx with the server's seal | success | yes |
//! | any other status | failure | yes |
//! | of another request, without an id on a used connection, encoded, 2xx without a seal | alien | unknown |

use {
    crate::message::ResponseHead,
    hawthornmount_core::{id::RequestId, reason::Retry},
    http::StatusCode,
};

/// What a head says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Class {
    /// The server did not run the request and never will.
    Refused,
    /// The answer is a success.
    Success,
    /// The answer is a failure of the server.
    Failure,
    /// The bytes are no answer to this request; the connection can't be used any more.
    Invalid(Retry),
}

/// Returns the verdict on the head of an answer; `is_kept` tells whether the connection had carried
/// an answer before.
pub fn classify(id: &RequestId, status: StatusCode, head: &ResponseHead, is_reused: bool) -> Class {
    let is_refusal = head.not_executed || status == StatusCode::MISDIRECTED_REQUEST;
    match &head.id {
        Some(other) if other != id => return Class::Invalid(Retry::CrossedAnswer),
        None if is_reused || !is_refusal => return Class::Invalid(Retry::CrossedAnswer),
        _ => {}
    }
    if is_refusal {
        Class::Refused
    } else if !status.is_success() {
        Class::Failure
    } else if head.sealed && !head.encoded {
        Class::Success
    } else {
        Class::Invalid(Retry::CutAnswer)
    }
}
