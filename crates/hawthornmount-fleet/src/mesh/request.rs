//! Requests to peers over connections.

use {
    super::Mesh,
    crate::{
        Error, Topic,
        transport::Connection,
        wire::{MAX_STREAM_BYTES, Outcome, Query, Record, Request, Response},
    },
    bytes::Bytes,
    std::{io, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        time::Instant,
    },
};

/// Timeout of a request.
pub const TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a request that checks whether the peer, or another instance, is reachable.
const CHECK_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Largest payload of a request, which leaves room in the frame for the other fields.
const MAX_REQUEST_PAYLOAD_BYTES: usize = MAX_STREAM_BYTES / 2;

impl Mesh {
    pub(super) async fn request_topic(
        &self,
        peer: &Record,
        topic: Topic,
        payload: Bytes,
    ) -> Result<Bytes, Error> {
        if payload.len() > MAX_REQUEST_PAYLOAD_BYTES {
            return Err(Error::TooLarge { bytes: payload.len() });
        }
        match self.query(peer, Query::Topic(topic, payload.to_vec())).await? {
            Outcome::Topic(bytes) => Ok(bytes.into()),
            other => Err(no_response(peer, &format!("{other:?}"))),
        }
    }

    pub(super) async fn query(&self, peer: &Record, query: Query) -> Result<Outcome, Error> {
        let timeout = match query {
            Query::Check | Query::Relay(_) => CHECK_TIMEOUT,
            Query::Sync(_) | Query::Topic(..) => TIMEOUT,
        };
        match tokio::time::timeout(timeout, self.exchange(peer, query)).await {
            Ok(Ok(outcome)) => Ok(outcome),
            Ok(Err(error)) => Err(no_response(peer, &error.to_string())),
            Err(_) => Err(no_response(peer, "timed out")),
        }
    }

    async fn exchange(&self, peer: &Record, query: Query) -> io::Result<Outcome> {
        let Some(transport) = self.transport.get() else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let mut connection = transport.connect(peer.address).await?;
        let nonce = connection.read_u64().await?;
        let sent_at = Instant::now();
        let from = self.state.lock().roster.local().clone();
        let request = Request { nonce, from, to: peer.id.clone(), query };
        let written = write(&mut connection, &self.keyring.seal(&request)).await?;
        let bytes = read(&mut connection).await?;
        self.state.lock().traffic.outbound += written + bytes.len() as u64;
        let response: Response = self.keyring.open(&bytes, MAX_STREAM_BYTES).map_err(|reject| {
            self.count_drop(&reject.to_string());
            io::Error::other(reject)
        })?;
        if response.nonce != nonce {
            self.count_drop("crossed");
            return Err(io::Error::other("the response is to another request"));
        }
        if response.outcome != Outcome::Misaddressed {
            self.record_digest(&response.from, &response.digest);
            self.confirm(sent_at, &response.digest);
        }
        Ok(response.outcome)
    }
}

/// Writes a length-prefixed frame and returns the number of bytes written.
pub async fn write(connection: &mut Connection, frame: &[u8]) -> io::Result<u64> {
    let length = u32::try_from(frame.len()).map_err(io::Error::other)?;
    connection.write_u32(length).await?;
    connection.write_all(frame).await?;
    connection.flush().await?;
    Ok(u64::from(length) + size_of::<u32>() as u64)
}

/// Reads a length-prefixed frame of at most [`MAX_STREAM_BYTES`].
pub async fn read(connection: &mut Connection) -> io::Result<Vec<u8>> {
    let length = connection.read_u32().await? as usize;
    if length > MAX_STREAM_BYTES {
        return Err(io::Error::other("the frame is larger than the limit"));
    }
    let mut frame = Vec::new();
    connection.take(length as u64).read_to_end(&mut frame).await?;
    if frame.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(frame)
}

fn no_response(peer: &Record, cause: &str) -> Error {
    Error::NoResponse { peer: peer.id.clone(), cause: cause.into() }
}
