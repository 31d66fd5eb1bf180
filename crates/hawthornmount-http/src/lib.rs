//! HTTP server and client that the other crates share, over volo-http. The server hands every
//! request to one [`server::Handler`]; the client sends to socket addresses and tells whether a
//! failed request can have reached the server. Where a caller has to know which connection a
//! request used and what became of it, [`connection`] gives single connections over hyper.

pub mod body;
pub mod client;
pub mod connection;
pub mod server;

pub use {
    http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri, header},
    volo_http::body::Body,
};

/// Request with a volo body.
pub type Request = http::Request<Body>;
/// Response with a volo body.
pub type Response = http::Response<Body>;
