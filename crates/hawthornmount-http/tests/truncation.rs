//! Responses whose connection ends within the head.

use {
    hawthornmount_http::{
        Body, Method, Request,
        client::{Client, Error},
        connection::{Connection, Failure},
    },
    http_body_util::Full,
    rstest::rstest,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a server that answers the n-th connection with the first n bytes of a head and closes it.
async fn start(head: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        for sent in 0..head.len() {
            let Ok((mut stream, _)) = listener.accept().await else { return };
            let mut request = [0; 1_024];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(&head.as_bytes()[..sent]).await;
        }
    });
    address
}

#[rstest]
#[case::with_a_length("HTTP/1.1 200 OK\r\nx-a: 1\r\ncontent-length: 12\r\n\r\n")]
#[case::in_chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")]
#[case::without_a_length("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")]
#[tokio::test]
async fn answer_that_ends_within_its_head_is_no_answer(#[case] head: &'static str) {
    let address = start(head).await;
    for sent in 0..head.len() {
        let mut connection = Connection::open(address, TIMEOUT).await.expect("it is accepted");
        let result = connection.send(http::Request::new(Full::default())).await;
        assert!(matches!(result, Err(Failure::Broken { .. })), "{sent} bytes: {result:?}");
    }
    let address = start(head).await;
    for sent in 0..head.len() {
        let mut request = Request::new(Body::default());
        *request.method_mut() = Method::GET;
        let result = Client::new().call(address, request, TIMEOUT).await;
        assert!(matches!(result, Err(Error::Broken { .. })), "{sent} bytes: {result:?}");
    }
}
