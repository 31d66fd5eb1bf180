//! In-process network, for tests on paused time.

use {
    super::{Connection, Transport},
    async_trait::async_trait,
    parking_lot::Mutex,
    std::{io, net::SocketAddr, sync::Arc},
    tokio::sync::mpsc,
};

/// Capacity of the queues of datagrams and connections at an address.
const BACKLOG: usize = 1_024;
/// Bytes that are buffered in each direction of a connection.
const CONNECTION_BUFFER_BYTES: usize = 64 << 10;

struct Binding {
    address: SocketAddr,
    datagrams: mpsc::Sender<Vec<u8>>,
    connections: mpsc::Sender<Connection>,
}

/// In-process network.
#[derive(Clone, Default)]
pub struct Network(Arc<Mutex<Vec<Binding>>>);

impl Network {
    /// Creates a network without instances.
    pub fn new() -> Self {
        Self::default()
    }

    /// Binds an address; an endpoint that was bound to it before receives nothing any more.
    pub fn bind(&self, address: SocketAddr) -> Endpoint {
        let (datagrams, datagram_receiver) = mpsc::channel(BACKLOG);
        let (connections, connection_receiver) = mpsc::channel(BACKLOG);
        let mut bindings = self.0.lock();
        bindings.retain(|binding| binding.address != address);
        bindings.push(Binding { address, datagrams, connections });
        Endpoint {
            network: self.clone(),
            address,
            datagrams: tokio::sync::Mutex::new(datagram_receiver),
            connections: tokio::sync::Mutex::new(connection_receiver),
        }
    }

    fn with_binding<T>(
        &self,
        address: SocketAddr,
        action: impl FnOnce(&Binding) -> T,
    ) -> Option<T> {
        let bindings = self.0.lock();
        bindings.iter().find(|binding| binding.address == address).map(action)
    }
}

/// Transport of one instance.
pub struct Endpoint {
    network: Network,
    address: SocketAddr,
    datagrams: tokio::sync::Mutex<mpsc::Receiver<Vec<u8>>>,
    connections: tokio::sync::Mutex<mpsc::Receiver<Connection>>,
}

#[async_trait]
impl Transport for Endpoint {
    fn address(&self) -> SocketAddr {
        self.address
    }

    async fn send(&self, to: SocketAddr, datagram: &[u8]) -> io::Result<()> {
        self.network.with_binding(to, |binding| {
            let _ = binding.datagrams.try_send(datagram.to_vec());
        });
        Ok(())
    }

    async fn receive(&self) -> io::Result<Vec<u8>> {
        self.datagrams.lock().await.recv().await.ok_or_else(replaced)
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<Connection> {
        let (local, remote) = tokio::io::duplex(CONNECTION_BUFFER_BYTES);
        let remote: Connection = Box::new(remote);
        let sent =
            self.network.with_binding(to, |binding| binding.connections.try_send(remote).is_ok());
        if sent == Some(true) {
            Ok(Box::new(local))
        } else {
            Err(io::ErrorKind::ConnectionRefused.into())
        }
    }

    async fn accept(&self) -> io::Result<Connection> {
        self.connections.lock().await.recv().await.ok_or_else(replaced)
    }
}

fn replaced() -> io::Error {
    io::Error::other("another instance has bound the address")
}
