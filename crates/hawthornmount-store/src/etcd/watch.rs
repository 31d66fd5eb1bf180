//! Watches over the etcd gateway, whose response is a stream with one JSON object per line.

use {
    super::{from_client_error, to_entry, wire},
    crate::{Error, Event, Result, Watch},
    bytes::{Buf, BytesMut},
    futures::{StreamExt, stream},
    hawthornmount_core::id::Revision,
    hawthornmount_http::{Body, Method, client::Client, header},
    http_body_util::BodyExt,
    std::{collections::VecDeque, net::SocketAddr, time::Duration},
    wire::{Blob, Kind},
};

/// Number of buffered bytes without a line end at which a watch fails.
const MAX_LINE_BYTES: usize = 32 << 20;

/// Opens a watch. The response head and the first line, which confirms the watch, each have to
/// arrive within `timeout`.
pub async fn open(
    client: &Client,
    address: SocketAddr,
    prefix: &str,
    from: Revision,
    timeout: Duration,
) -> Result<Watch> {
    let create = wire::WatchCreate {
        key: Blob::text(prefix),
        range_end: Some(wire::prefix_end(prefix)),
        start_revision: from,
        progress_notify: true,
    };
    let message = serde_json::to_vec(&wire::WatchRequest { create_request: create });
    let message = message.map_err(|error| protocol(&error.to_string()))?;
    let request = http::Request::builder()
        .method(Method::POST)
        .uri("/v3/watch")
        .header(header::CONTENT_TYPE, "application/json")
        .body(Body::from(message))
        .map_err(|error| protocol(&error.to_string()))?;
    let sent = tokio::time::timeout(timeout, client.send(address, request));
    let response = match sent.await {
        Ok(result) => result.map_err(|error| from_client_error(&error))?,
        Err(_) => {
            return Err(Error::ResponseLost { cause: "the watch request timed out".into() });
        }
    };
    let mut lines = Lines { body: response.into_body(), buffer: BytesMut::new() };
    let first = match tokio::time::timeout(timeout, lines.next()).await {
        Ok(first) => first?,
        Err(_) => {
            return Err(Error::ResponseLost {
                cause: "the store did not confirm the watch in time".into(),
            });
        }
    };
    let pending = first.map(decode_events).transpose()?.unwrap_or_default();
    Ok(stream::unfold(Some((lines, pending)), next_event).boxed())
}

/// State of an open watch: its lines and the decoded events that are still to be returned; `None`
/// after an error.
type State = Option<(Lines, VecDeque<Event>)>;

async fn next_event(state: State) -> Option<(Result<Event>, State)> {
    let (mut lines, mut pending) = state?;
    loop {
        if let Some(event) = pending.pop_front() {
            return Some((Ok(event), Some((lines, pending))));
        }
        match lines.next().await {
            Ok(Some(response)) => match decode_events(response) {
                Ok(events) => pending = events,
                Err(error) => return Some((Err(error), None)),
            },
            Ok(None) => return None,
            Err(error) => return Some((Err(error), None)),
        }
    }
}

/// Decodes the events of one response and appends the progress that it implies: changes up to the
/// revision in its header have been reported.
fn decode_events(response: wire::WatchResponse) -> Result<VecDeque<Event>> {
    if response.compact_revision > 0 {
        return Err(Error::Compacted { oldest: response.compact_revision });
    }
    if response.canceled {
        return Err(Error::ResponseLost { cause: "the store cancelled the watch".into() });
    }
    if response.created {
        return Ok(VecDeque::new());
    }
    let progress = Event::Progress(response.header.revision);
    Ok(response.events.into_iter().map(decode_event).chain([progress]).collect())
}

fn decode_event(message: wire::EventMessage) -> Event {
    match message.kind {
        Kind::Put => Event::Put(to_entry(message.kv)),
        Kind::Delete => Event::Delete {
            key: message.kv.key.to_text().into(),
            revision: message.kv.mod_revision,
        },
    }
}

/// Reader of the lines of a response body.
struct Lines {
    body: Body,
    buffer: BytesMut,
}

impl Lines {
    async fn next(&mut self) -> Result<Option<wire::WatchResponse>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end);
                self.buffer.advance(1);
                return parse(&line).map(Some);
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(protocol("a line of the watch response is too long"));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                Some(Err(error)) => {
                    return Err(Error::ResponseLost { cause: error.to_string().into() });
                }
                None => return Ok(None),
            }
        }
    }
}

fn parse(line: &[u8]) -> Result<wire::WatchResponse> {
    let streamed: wire::Streamed<wire::WatchResponse> =
        serde_json::from_slice(line).map_err(|error| protocol(&error.to_string()))?;
    Ok(streamed.result)
}

fn protocol(cause: &str) -> Error {
    Error::Protocol { cause: cause.into() }
}
