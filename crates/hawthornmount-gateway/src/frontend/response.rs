//! Responses that the gateway itself creates.

use {
    crate::{filter::Response, forward::full_body},
    hawthornmount_core::{problem::Problem, reason::Refusal},
    hawthornmount_http::body::Guarded,
    http::{HeaderValue, StatusCode, header},
    http_body_util::BodyExt,
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
    response.map(|body| Guarded::new(body, guard).boxed_unsync())
}
