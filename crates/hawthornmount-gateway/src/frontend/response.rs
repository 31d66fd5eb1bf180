//! Responses that the gateway itself creates.

use {
    crate::{filter::Response, forward::full_body},
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

/// Value of the `Connection` header that closes the connection after the response.
pub const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Returns the response that reports a problem of the request `id`.
pub fn problem(problem: &Problem, id: &str) -> Response {
    let document = serde_json::to_vec(&problem.document(id)).unwrap_or_else(|error| {
        log::error!("problem document can't be serialised, report it; id={id} cause={error}");
        Vec::new()
    });
    let mut response = http::Response::new(full_body(document.into()));
    *response.status_mut() =
        StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    if let Some(after) = problem.retry_after {
        // Callers accept fractions of a second.
        let seconds = HeaderValue::from_str(&format!("{:.2}", after.as_secs_f64()));
        if let Ok(seconds) = seconds {
            headers.insert(header::RETRY_AFTER, seconds);
        }
    }
    response
}

/// Returns the response to a request for which no filter gave a response, which is a bug in the
/// filter chain.
pub fn no_response() -> Response {
    let fault = Problem::new(Refusal::Internal, "no filter answered the request: report it");
    problem(&fault.execution_unknown(), "")
}

/// Keeps a guard of the request until the body of its response is sent or dropped.
pub fn with_guard<G: Send + Unpin + 'static>(response: Response, guard: G) -> Response {
    response.map(|body| Guarded { body, _guard: guard }.boxed_unsync())
}

/// Body that holds a guard of its request.
struct Guarded<B, G> {
    body: B,
    _guard: G,
}

impl<B: Body<Data = Bytes> + Unpin, G: Unpin> Body for Guarded<B, G> {
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
