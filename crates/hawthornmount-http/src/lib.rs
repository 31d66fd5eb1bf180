//! HTTP server and client that the other crates share, built on volo-http.
//!
//! The server passes every request to one [`server::Handler`]. The client sends to socket addresses
//! and reports whether a failed request may have reached the server. [`connection`] provides single
//! connections over hyper, for code that has to control which connection carries a request.
//! [`capacity`] bounds what clients may take, and [`listener`] accepts their connections.

pub mod body;
pub mod capacity;
pub mod client;
pub mod connection;
pub mod listener;
pub mod server;
pub mod status;

pub use {
    http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri, header},
    volo_http::body::Body,
};

/// HTTP request with a volo body.
pub type Request = http::Request<Body>;
/// HTTP response with a volo body.
pub type Response = http::Response<Body>;
