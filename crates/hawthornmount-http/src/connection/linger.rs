//! Lingering close of a connection whose caller is still sending.
//!
//! A connection that is closed with unread bytes, or gets more bytes after it was closed, is reset. A
//! reset discards the response that the caller has not read yet.

use {
    super::meter::Meter,
    std::time::Duration,
    tokio::io::{self, AsyncWriteExt},
};

/// Largest number of bytes that are discarded before the connection is closed.
const MAX_BYTES: usize = 4 << 20;
/// Longest time for which the caller may keep the connection open.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a last response, and discards what arrives after it.
pub async fn send(mut stream: Meter, response: &[u8]) {
    let write = async {
        stream.write_all(response).await?;
        stream.shutdown().await
    };
    match tokio::time::timeout(TIMEOUT, write).await {
        Ok(Ok(())) => discard(stream).await,
        Ok(Err(error)) => log::debug!("can't send the last response; cause={error}"),
        Err(elapsed) => log::debug!("can't send the last response; cause={elapsed}"),
    }
}

/// Reads and discards what arrives on a stream whose write side is shut down, until the caller closes
/// it or has sent too much.
pub async fn discard(mut stream: Meter) {
    stream.allowance().set_whole(MAX_BYTES);
    match tokio::time::timeout(TIMEOUT, io::copy(&mut stream, &mut io::sink())).await {
        Ok(Ok(bytes)) => log::debug!("discarded the rest of a refused request; bytes={bytes}"),
        Ok(Err(error)) => log::debug!("closed a refused caller that sends on; cause={error}"),
        Err(elapsed) => log::debug!("closed a refused caller that stays; cause={elapsed}"),
    }
}
