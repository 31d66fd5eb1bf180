//! Reads and parses a caller's request, with limits on its size and on the time that it may take.

use {
    crate::exchange::{Completion, Kind, ServiceCall},
    bytes::Bytes,
    hawthornmount_core::{problem::Problem, reason::Refusal},
    hawthornmount_http::{
        Body, HeaderMap, Method, Request,
        capacity::{
            Capacity,
            body::{self, Failure},
        },
    },
    std::time::Duration,
};

/// Maximum time from the head of a request to the end of its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after which a caller can retry a body for which there was no room.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum size of the path with its query.
const MAX_PATH_BYTES: usize = 4_096;

/// A request that has been read and parsed.
pub struct Parsed {
    pub kind: Kind,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Reads a request whose body has at most `limit` bytes, which are kept within the capacity.
pub async fn read(request: Request, limit: usize, capacity: &Capacity) -> Result<Parsed, Problem> {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    if path.len() > MAX_PATH_BYTES {
        return Err(Problem::new(Refusal::Malformed, "the path is too long: shorten it"));
    }
    let body = read_body(body, limit, capacity).await?;
    let kind = parse_kind(&parts.method, path, &body)?;
    Ok(Parsed { kind, headers: parts.headers, body })
}

/// Returns the kind of a request.
fn parse_kind(method: &Method, path: &str, body: &[u8]) -> Result<Kind, Problem> {
    if let Some(rest) = path.strip_prefix("/services/") {
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (service, tail) = rest.split_at(end);
        let path = if tail.starts_with('/') { tail.into() } else { format!("/{tail}").into() };
        return Ok(Kind::Service(ServiceCall {
            service: service.into(),
            method: method.as_str().into(),
            path,
            idempotent: false,
        }));
    }
    let path = path.split('?').next().unwrap_or(path);
    match (method, path) {
        (&Method::POST, "/v1/chat/completions") => Completion::parse(body).map(Kind::Completion),
        (&Method::GET, "/v1/models") => Ok(Kind::Models),
        _ => Err(Problem::new(
            Refusal::NotFound,
            "no such path or method: use /v1/chat/completions, /v1/models or /services/NAME/...",
        )),
    }
}

async fn read_body(body: Body, limit: usize, capacity: &Capacity) -> Result<Bytes, Problem> {
    match tokio::time::timeout(BODY_TIMEOUT, body::read(body, limit, capacity)).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(Failure::TooLong)) => Err(Problem::new(
            Refusal::BodyTooLarge,
            format!("the body has more than {limit} bytes: send a smaller one"),
        )),
        Ok(Err(Failure::NoRoom(_))) => {
            let detail = "the instance has no memory left for the body: send it again later";
            Err(Problem::new(Refusal::NoRoom, detail).retry_after(RETRY_AFTER))
        }
        Ok(Err(Failure::Broken(_))) => {
            Err(Problem::new(Refusal::Malformed, "the body was cut: send it again"))
        }
        Err(_) => Err(Problem::new(Refusal::CallerTimeout, "the body came too slowly")),
    }
}
