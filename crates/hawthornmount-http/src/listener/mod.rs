//! Listeners whose connections have small buffers in the kernel, where unread bytes take memory too.

use {
    crate::capacity::SOCKET_BUFFER_BYTES,
    std::{io, net::SocketAddr, time::Duration},
    tokio::net::{TcpListener, TcpSocket, TcpStream},
};

/// Connections that the kernel accepts ahead of the process.
const BACKLOG: u32 = 1_024;
/// Delay before connections are accepted again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listens on an address; port 0 selects any free port. Connections inherit the sizes of the buffers.
///
/// # Errors
///
/// Returns an error if the address can't be listened on.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    for result in [
        socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES),
        socket.set_send_buffer_size(SOCKET_BUFFER_BYTES),
    ] {
        if let Err(error) = result {
            log::warn!("can't bound the buffers of connections; address={address} cause={error}");
        }
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts the next connection.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!(
                        "TCP_NODELAY can't be set, small writes may be delayed; cause={error}"
                    );
                }
                return stream;
            }
            Err(error) => {
                log::warn!(
                    "connection can't be accepted, raise the limit on open files; cause={error}"
                );
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}
