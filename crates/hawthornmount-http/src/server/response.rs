//! Short ways to build answers.

use {
    crate::{Body, Response, StatusCode},
    http::{HeaderValue, header},
    serde::Serialize,
};

/// Returns an answer with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    with_type(status, "application/json", Body::from(body))
}

/// Returns an answer with a plain text body.
pub fn text(status: StatusCode, text: String) -> Response {
    with_type(status, "text/plain; charset=utf-8", Body::from(text))
}

fn with_type(status: StatusCode, kind: &'static str, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}
