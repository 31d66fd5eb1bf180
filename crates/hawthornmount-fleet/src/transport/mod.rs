//! Datagrams and connections between instances, behind one trait so that tests can replace the
//! network and inject faults.

pub mod fault;
pub mod memory;
pub mod net;

use {
    async_trait::async_trait,
    std::{io, net::SocketAddr},
    tokio::io::{AsyncRead, AsyncWrite},
};

/// Bidirectional byte stream.
pub trait Duplex: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Duplex for T {}

/// A connection to a peer.
pub type Connection = Box<dyn Duplex>;

/// Network interface of one instance.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Returns the address under which others reach this instance.
    fn address(&self) -> SocketAddr;

    /// Sends a datagram; it may be lost without an error.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system refuses the datagram.
    async fn send(&self, to: SocketAddr, datagram: &[u8]) -> io::Result<()>;

    /// Waits for the next datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket has failed.
    async fn receive(&self) -> io::Result<Vec<u8>>;

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection can't be established.
    async fn connect(&self, to: SocketAddr) -> io::Result<Connection>;

    /// Waits for the next connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket has failed.
    async fn accept(&self) -> io::Result<Connection>;
}
