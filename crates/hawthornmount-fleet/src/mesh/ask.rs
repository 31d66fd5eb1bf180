//! Questions to peers over connections.

use {
    super::Mesh,
    crate::{
        Error, Topic,
        transport::Connection,
        wire::{Answer, MAX_STREAM_BYTES, Outcome, Question, Record, Request},
    },
    bytes::Bytes,
    std::{io, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        time::Instant,
    },
};

/// Time in which a peer has to answer.
pub const TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which a peer has to say whether it, or another, is reachable.
const CHECK_TIMEOUT: Duration = Duration::from_millis(1_200);

impl Mesh {
    pub(super) async fn ask_topic(
        &self,
        peer: &Record,
        topic: Topic,
        payload: Bytes,
    ) -> Result<Bytes, Error> {
        if payload.len() > MAX_STREAM_BYTES / 2 {
            return Err(Error::TooLarge { bytes: payload.len() });
        }
        match self.question(peer, Question::Topic(topic, payload.to_vec())).await? {
            Outcome::Topic(bytes) => Ok(bytes.into()),
            other => Err(no_answer(peer, &format!("{other:?}"))),
        }
    }

    pub(super) async fn question(
        &self,
        peer: &Record,
        question: Question,
    ) -> Result<Outcome, Error> {
        let timeout = match question {
            Question::Check | Question::Relay(_) => CHECK_TIMEOUT,
            Question::Sync(_) | Question::Topic(..) => TIMEOUT,
        };
        match tokio::time::timeout(timeout, self.exchange(peer, question)).await {
            Ok(Ok(outcome)) => Ok(outcome),
            Ok(Err(error)) => Err(no_answer(peer, &error.to_string())),
            Err(_) => Err(no_answer(peer, "the time is over")),
        }
    }

    async fn exchange(&self, peer: &Record, question: Question) -> io::Result<Outcome> {
        let Some(transport) = self.transport.get() else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let mut connection = transport.connect(peer.address).await?;
        let nonce = connection.read_u64().await?;
        let asked = Instant::now();
        let from = self.state.lock().roster.local().clone();
        let request = Request { nonce, from, to: peer.id.clone(), question };
        let sent = write(&mut connection, &self.key.seal(&request)).await?;
        let bytes = read(&mut connection).await?;
        self.state.lock().traffic.outbound += sent + bytes.len() as u64;
        let answer: Answer = self.key.open(&bytes, MAX_STREAM_BYTES).map_err(|reject| {
            self.drop_one(&reject.to_string());
            io::Error::other(reject)
        })?;
        if answer.nonce != nonce {
            self.drop_one("crossed");
            return Err(io::Error::other("the answer is to another question"));
        }
        if answer.outcome != Outcome::Misaddressed {
            self.note_digest(&answer.from, &answer.digest);
            self.confirm(asked, &answer.digest);
        }
        Ok(answer.outcome)
    }
}

/// Writes a frame with its length and returns the bytes that went out.
pub async fn write(connection: &mut Connection, frame: &[u8]) -> io::Result<u64> {
    let length = u32::try_from(frame.len()).map_err(io::Error::other)?;
    connection.write_u32(length).await?;
    connection.write_all(frame).await?;
    connection.flush().await?;
    Ok(u64::from(length) + size_of::<u32>() as u64)
}

/// Reads a frame of bounded length.
pub async fn read(connection: &mut Connection) -> io::Result<Vec<u8>> {
    let length = connection.read_u32().await? as usize;
    if length > MAX_STREAM_BYTES {
        return Err(io::Error::other("the frame is larger than the bound"));
    }
    let mut frame = Vec::new();
    connection.take(length as u64).read_to_end(&mut frame).await?;
    if frame.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(frame)
}

fn no_answer(peer: &Record, cause: &str) -> Error {
    Error::NoAnswer { peer: peer.id.clone(), cause: cause.into() }
}
