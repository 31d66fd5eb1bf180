//! Panics of handlers.

use {
    async_trait::async_trait,
    hawthornmount_http::{
        Request, Response, StatusCode,
        server::{self, Handler, Server},
    },
    std::sync::Arc,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

struct Faulty;

#[async_trait]
impl Handler for Faulty {
    async fn handle(&self, request: Request) -> Response {
        tokio::task::yield_now().await;
        assert_ne!(request.uri().path(), "/faulty", "the handler fails on this path");
        server::text(StatusCode::OK, "sound".to_owned())
    }
}

#[tokio::test]
async fn panic_of_a_handler_does_not_end_its_connection_unanswered() {
    let server = Server::start("127.0.0.1:0".parse().expect("an address"), Arc::new(Faulty))
        .await
        .expect("the server starts");
    for (path, status) in [("/faulty", "500"), ("/sound", "200")] {
        let mut stream = TcpStream::connect(server.address()).await.expect("the server listens");
        let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("the request is sent");
        let mut response = String::new();
        stream.read_to_string(&mut response).await.expect("the response is read");
        assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{path}: {response}");
    }
}
