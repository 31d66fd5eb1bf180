//! Network inside the process, for tests on paused time.

use {
    super::{Connection, Transport},
    async_trait::async_trait,
    parking_lot::Mutex,
    std::{io, net::SocketAddr, sync::Arc},
    tokio::sync::mpsc,
};

/// Datagrams and connections that wait at an address.
const BACKLOG: usize = 1_024;
/// Bytes that a connection holds on their way.
const CONNECTION_BUFFER: usize = 64 << 10;

struct Port {
    address: SocketAddr,
    datagrams: mpsc::Sender<Vec<u8>>,
    connections: mpsc::Sender<Connection>,
}

/// Network inside the process.
#[derive(Clone, Default)]
pub struct Network(Arc<Mutex<Vec<Port>>>);

impl Network {
    /// Creates a network without instances.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes an address; the instance that held it before no longer gets anything.
    pub fn bind(&self, address: SocketAddr) -> Memory {
        let (datagrams, datagrams_out) = mpsc::channel(BACKLOG);
        let (connections, connections_out) = mpsc::channel(BACKLOG);
        let mut ports = self.0.lock();
        ports.retain(|port| port.address != address);
        ports.push(Port { address, datagrams, connections });
        Memory {
            network: self.clone(),
            address,
            datagrams: tokio::sync::Mutex::new(datagrams_out),
            connections: tokio::sync::Mutex::new(connections_out),
        }
    }

    fn with_port<T>(&self, address: SocketAddr, action: impl FnOnce(&Port) -> T) -> Option<T> {
        let ports = self.0.lock();
        ports.iter().find(|port| port.address == address).map(action)
    }
}

/// One instance's end of the network.
pub struct Memory {
    network: Network,
    address: SocketAddr,
    datagrams: tokio::sync::Mutex<mpsc::Receiver<Vec<u8>>>,
    connections: tokio::sync::Mutex<mpsc::Receiver<Connection>>,
}

#[async_trait]
impl Transport for Memory {
    fn address(&self) -> SocketAddr {
        self.address
    }

    async fn send(&self, to: SocketAddr, datagram: &[u8]) -> io::Result<()> {
        self.network.with_port(to, |port| {
            let _ = port.datagrams.try_send(datagram.to_vec());
        });
        Ok(())
    }

    async fn receive(&self) -> io::Result<Vec<u8>> {
        self.datagrams.lock().await.recv().await.ok_or_else(replaced)
    }

    async fn connect(&self, to: SocketAddr) -> io::Result<Connection> {
        let (near, far) = tokio::io::duplex(CONNECTION_BUFFER);
        let far: Connection = Box::new(far);
        let sent = self.network.with_port(to, |port| port.connections.try_send(far).is_ok());
        if sent == Some(true) {
            Ok(Box::new(near))
        } else {
            Err(io::ErrorKind::ConnectionRefused.into())
        }
    }

    async fn accept(&self) -> io::Result<Connection> {
        self.connections.lock().await.recv().await.ok_or_else(replaced)
    }
}

fn replaced() -> io::Error {
    io::Error::other("another instance took the address")
}
