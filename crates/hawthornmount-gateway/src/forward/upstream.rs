//! Answers of servers whose bodies may still be arriving.

use {
    super::{Forwarder, guard::InFlightGuard},
    crate::{message::ResponseHead, quarantine::start::Start, registry::Server},
    bytes::Bytes,
    hawthornmount_http::{
        body::MAX_EVENT_BYTES,
        connection::{Closing, Connection},
    },
    http::{HeaderMap, StatusCode},
    http_body::Frame,
    hyper::body::Incoming,
    std::{sync::Arc, time::Instant},
};

/// A successful response; the body may still be arriving.
pub struct Success {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers as the server sent them.
    pub headers: HeaderMap,
    /// Parsed head of the response.
    pub head: ResponseHead,
    /// Body of the response.
    pub body: Body,
}

/// Body of a successful response.
pub enum Body {
    /// The complete body.
    Complete(Bytes),
    /// A body that is still arriving.
    Streaming(Box<Upstream>),
}

/// A body that is still arriving, with its connection; dropping it closes the connection.
pub struct Upstream {
    pub body: Incoming,
    /// Server that sends the body.
    pub server: Arc<Server>,
    /// Progress of the answer.
    pub start: Start,
    /// Whether the end of the body is marked, so that it can be told from a connection that broke.
    pub is_delimited: bool,
    pub connection: Connection,
    pub head: ResponseHead,
    /// Closes the connection at the deadline of the request.
    pub closing: Option<Closing>,
    pub _in_flight: InFlightGuard,
}

impl Upstream {
    /// Returns whether a stream that ends now broke off before its first event.
    pub const fn is_without_events(&self) -> bool {
        !self.is_delimited && !self.start.has_pieces()
    }

    /// Reads the next piece of the body.
    pub async fn frame(&mut self) -> Option<hyper::Result<Frame<Bytes>>> {
        self.connection.read_frame(&mut self.body).await
    }

    /// Allows the server to send another event.
    pub fn allow_event(&self) {
        self.connection.allow(MAX_EVENT_BYTES);
    }

    /// Closes the connection at a time unless the body has ended by then, also while no one reads it.
    pub fn close_at(&mut self, time: Instant) {
        self.closing = Some(self.connection.close_at(time));
    }

    /// Returns the connection to the pool after the body was read to its end.
    pub fn finish(self, forwarder: &Forwarder) {
        drop(self.closing);
        forwarder.return_connection(&self.server, self.connection, &self.head);
    }
}
