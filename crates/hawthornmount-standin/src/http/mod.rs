//! HTTP helpers that the stand-ins share.

use {
    bytes::Bytes,
    hawthornmount_http::{HeaderMap, HeaderValue, Request, Response, StatusCode, server},
    http_body_util::BodyExt,
    serde::de::DeserializeOwned,
};

/// Returns the value of a header, if it is present and valid text.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Reads the whole body; a body that is cut off counts as empty.
pub async fn body(request: Request) -> Bytes {
    match request.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(_) => Bytes::new(),
    }
}

/// Parses the body as JSON, or returns a response with status 400.
pub async fn json<T: DeserializeOwned>(request: Request) -> Result<T, Response> {
    serde_json::from_slice(&body(request).await).map_err(|error| {
        server::text(StatusCode::BAD_REQUEST, format!("the body is not valid: {error}"))
    })
}

/// Returns a response with an empty body.
pub fn empty(status: StatusCode) -> Response {
    server::text(status, String::new())
}

/// Returns a response with an empty body which reports that the request was not run.
pub fn not_run(status: StatusCode) -> Response {
    let mut response = empty(status);
    response.headers_mut().insert("x-not-run", HeaderValue::from_static("1"));
    response
}
