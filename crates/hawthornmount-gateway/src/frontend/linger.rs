//! Lingering close of a connection whose caller is still sending.
//!
//! A connection that is closed with unread bytes, or gets more bytes after it was closed, is reset. A
//! reset discards the response that the caller has not read yet.

use {
    hawthornmount_http::connection::meter::Allowance,
    std::time::Duration,
    tokio::io::{self, AsyncRead, AsyncWrite, AsyncWriteExt},
};

/// Largest number of bytes that are discarded before the connection is closed.
const MAX_BYTES: usize = 4 << 20;
/// Longest time for which the caller may keep the connection open.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Response to a request whose head is larger than the configuration in force allows.
const HEAD_TOO_LARGE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Refuses a request whose head is too large, and discards the rest of it.
pub async fn refuse_head<S: AsyncRead + AsyncWrite + Unpin>(mut stream: S, allowance: &Allowance) {
    let write = async {
        stream.write_all(HEAD_TOO_LARGE).await?;
        stream.shutdown().await
    };
    match tokio::time::timeout(TIMEOUT, write).await {
        Ok(Ok(())) => discard(stream, allowance).await,
        Ok(Err(error)) => log::debug!("can't refuse a large head; cause={error}"),
        Err(elapsed) => log::debug!("can't refuse a large head; cause={elapsed}"),
    }
}

/// Reads and discards what arrives on a stream whose write side is shut down, until the caller closes
/// it or has sent too much. `allowance` bounds the reads of the stream.
pub async fn discard<S: AsyncRead + Unpin>(mut stream: S, allowance: &Allowance) {
    allowance.set_whole(MAX_BYTES);
    let mut sink = io::sink();
    match tokio::time::timeout(TIMEOUT, io::copy(&mut stream, &mut sink)).await {
        Ok(Ok(bytes)) => log::debug!("discarded the rest of a refused request; bytes={bytes}"),
        Ok(Err(error)) => log::debug!("closed a refused caller that sends on; cause={error}"),
        Err(elapsed) => log::debug!("closed a refused caller that stays; cause={elapsed}"),
    }
}
