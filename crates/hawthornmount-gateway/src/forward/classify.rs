//! Classification of a response by its head: whether it belongs to the request, and whether the
//! server ran the request.
//!
//! | Head | Class | Ran |
//! |---|---|---|
//! | states that the server did not run the request, or 421 | refused | no |
//! | 2xx with the server's seal | success | yes |
//! | any other status | failure | yes |
//! | id of another request, or no id unless refused on a new connection | invalid | unknown |
//! | 2xx without a seal or with a content encoding | invalid | unknown |

use {
    crate::message::ResponseHead,
    hawthornmount_core::{id::RequestId, reason::Retry},
    http::StatusCode,
};

/// Class of a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Class {
    /// The server did not run the request and never will.
    Refused,
    /// The server ran the request successfully.
    Success,
    /// The server ran the request and responded with a failure.
    Failure,
    /// The bytes are not a valid response to this request; the connection can't be reused.
    Invalid(Retry),
}

/// Returns the class of a response to the request `id`; `is_reused` states whether the connection
/// has carried a response before.
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
