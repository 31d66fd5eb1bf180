//! Constructors of responses.

use {
    crate::{Body, Response, StatusCode},
    http::{HeaderValue, header},
    serde::Serialize,
};

/// Returns a response with a JSON body, which is empty if `value` can't be serialised.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    with_content_type(status, "application/json", Body::from(body))
}

/// Returns a response with a plain text body.
pub fn text(status: StatusCode, text: String) -> Response {
    with_content_type(status, "text/plain; charset=utf-8", Body::from(text))
}

fn with_content_type(status: StatusCode, content_type: &'static str, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
