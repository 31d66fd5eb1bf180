//! Server whose answers are raw bytes.

use {
    std::net::SocketAddr,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

/// Starts a server that answers the n-th connection, counted from 0, with the bytes that `answer` returns
/// for n, and closes it.
pub async fn start(answer: impl Fn(usize) -> Vec<u8> + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        for number in 0.. {
            let Ok((mut stream, _)) = listener.accept().await else { return };
            let mut request = [0; 1_024];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(&answer(number)).await;
        }
    });
    address
}
