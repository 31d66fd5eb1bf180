//! Answers that the gateway itself gives.

use {
    crate::{filter::Answer, forward::whole, instance::InFlightGuard},
    bytes::Bytes,
    hawthornmount_core::{problem::Problem, reason::Refusal},
    http::{HeaderValue, StatusCode, header},
    http_body::{Body, Frame, SizeHint},
    http_body_util::BodyExt,
    std::{
        pin::Pin,
        task::{Context, Poll},
    },
};

/// Value of the header that closes the connection.
pub const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Returns the answer for a problem.
pub fn problem(problem: &Problem, id: &str) -> Answer {
    let document = serde_json::to_vec(&problem.document(id)).unwrap_or_else(|error| {
        log::error!("a problem can't be written, report it; id={id} cause={error}");
        Vec::new()
    });
    let mut answer = http::Response::new(whole(document.into()));
    *answer.status_mut() =
        StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    if let Some(after) = problem.retry_after {
        // Callers take fractions of a second.
        let seconds = HeaderValue::from_str(&format!("{:.2}", after.as_secs_f64()));
        if let Ok(seconds) = seconds {
            headers.insert(header::RETRY_AFTER, seconds);
        }
    }
    answer
}

/// Returns the answer for a request that no filter answered, which is a fault of the path.
pub fn missing() -> Answer {
    let fault = Problem::new(Refusal::Internal, "no filter answered the request: report it");
    problem(&fault.ran_unknown(), "")
}

/// Keeps a request's place until its answer is out.
pub fn hold(answer: Answer, place: InFlightGuard) -> Answer {
    answer.map(|body| Held { body, _place: place }.boxed_unsync())
}

/// Body that holds a place.
struct Held<B> {
    body: B,
    _place: InFlightGuard,
}

impl<B: Body<Data = Bytes> + Unpin> Body for Held<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
