//! Transport over UDP and TCP sockets on the same port.

use {
    super::{Connection, Transport},
    crate::wire::MAX_DATAGRAM_BYTES,
    async_trait::async_trait,
    std::{io, net::SocketAddr},
    tokio::net::{TcpListener, TcpStream, UdpSocket},
};

/// Maximum number of attempts to find a port that is free for both protocols.
const MAX_BIND_ATTEMPTS: usize = 16;

/// Sockets of one instance.
pub struct Net {
    address: SocketAddr,
    datagrams: UdpSocket,
    connections: TcpListener,
}

impl Net {
    /// Binds both sockets; port 0 selects any port that is free for both.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    ///
    /// # Panics
    ///
    /// Panics outside of a tokio runtime.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let mut attempts = if address.port() == 0 { MAX_BIND_ATTEMPTS } else { 1 };
        loop {
            attempts -= 1;
            match Self::bind_both(address) {
                Err(_) if attempts > 0 => {}
                result => return result,
            }
        }
    }

    fn bind_both(address: SocketAddr) -> io::Result<Self> {
        let connections = std::net::TcpListener::bind(address)?;
        let address = connections.local_addr()?;
        let datagrams = std::net::UdpSocket::bind(address)?;
        connections.set_nonblocking(true)?;
        datagrams.set_nonblocking(true)?;
        let connections = TcpListener::from_std(connections)?;
        let datagrams = UdpSocket::from_std(datagrams)?;
        Ok(Self { address, datagrams, connections })
    }
}

#[async_trait]
impl Transport for Net {
    fn address(&self) -> SocketAddr {
        self.address
    }

    async fn send(&self, to: SocketAddr, datagram: &[u8]) -> io::Result<()> {
        self.datagrams.send_to(datagram, to).await.map(|_| ())
    }

    async fn receive(&self) -> io::Result<Vec<u8>> {
        // One byte more than the limit, so that a larger datagram is detected.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let (length, _) = self.datagrams.recv_from(&mut buffer).await?;
        Ok(buffer[..length].to_vec())
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(Box::new(stream))
    }

    async fn accept(&self) -> io::Result<Connection> {
        let (stream, _) = self.connections.accept().await?;
        stream.set_nodelay(true)?;
        Ok(Box::new(stream))
    }
}
