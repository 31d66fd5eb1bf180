//! Connections whose request head is slow, silent or too large are closed without calling the
//! handler; slow and too large heads get an error response.

use {
    async_trait::async_trait,
    hawthornmount_http::{
        Request, Response, StatusCode,
        server::{self, Handler, Limits, Rejection, Server},
    },
    rstest::rstest,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const LIMITS: Limits = Limits { head_timeout: Duration::from_millis(300), max_head_bytes: 4_096 };

#[derive(Default)]
struct CountingHandler {
    handled: AtomicUsize,
    rejected: Mutex<Vec<Rejection>>,
}

#[async_trait]
impl Handler for CountingHandler {
    async fn handle(&self, _request: Request) -> Response {
        self.handled.fetch_add(1, Ordering::SeqCst);
        server::text(StatusCode::OK, "ok".to_owned())
    }

    fn rejected(&self, rejection: Rejection) {
        self.rejected.lock().expect("no test panics with the lock").push(rejection);
    }
}

struct Case {
    /// Parts of the request, sent 30 ms apart.
    parts: &'static [&'static str],
    /// Bytes sent after the parts.
    filler: usize,
    /// Expected start of the response; empty for a connection closed without one.
    response: &'static str,
    handled: usize,
    rejected: Option<Rejection>,
}

#[rstest]
#[case::complete(Case {
    parts: &["GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"],
    filler: 0,
    response: "HTTP/1.1 200",
    handled: 1,
    rejected: None,
})]
#[case::in_two_parts(Case {
    parts: &["GET / HTTP/1.1\r\nhost: a\r\n", "connection: close\r\n\r\n"],
    filler: 0,
    response: "HTTP/1.1 200",
    handled: 1,
    rejected: None,
})]
#[case::never_ends(Case {
    parts: &["GET / HTTP/1.1\r\nhost: a\r\n"],
    filler: 0,
    response: "HTTP/1.1 408",
    handled: 0,
    rejected: Some(Rejection::SlowHead),
})]
#[case::too_large(Case {
    parts: &["GET / HTTP/1.1\r\nlarge: "],
    filler: 8_192,
    response: "HTTP/1.1 431",
    handled: 0,
    rejected: Some(Rejection::LargeHead),
})]
#[case::silent(Case { parts: &[], filler: 0, response: "", handled: 0, rejected: None })]
#[tokio::test]
async fn only_complete_heads_reach_the_handler(#[case] case: Case) {
    let handler = Arc::new(CountingHandler::default());
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = Server::start_with(any_port, handler.clone(), LIMITS).await.expect("it listens");
    let mut stream = TcpStream::connect(server.address()).await.expect("it accepts");
    for part in case.parts {
        stream.write_all(part.as_bytes()).await.expect("the server reads");
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    let _ = stream.write_all(&vec![b'x'; case.filler]).await;
    let mut response = Vec::new();
    let read =
        tokio::time::timeout(Duration::from_secs(5), stream.read_to_end(&mut response)).await;
    let closed = read.expect("the server closes the connection in time");
    let text = String::from_utf8_lossy(&response);
    assert!(text.starts_with(case.response), "{text} {closed:?}");
    assert_eq!(text.is_empty(), case.response.is_empty(), "{text}");
    assert_eq!(handler.handled.load(Ordering::SeqCst), case.handled);
    let rejected = handler.rejected.lock().expect("no test panics with the lock").clone();
    assert_eq!(rejected, Vec::from_iter(case.rejected));
}

#[tokio::test]
async fn closing_connections_ends_idle_ones_only() {
    let handler = Arc::new(CountingHandler::default());
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = Server::start_with(any_port, handler, LIMITS).await.expect("it listens");
    let mut stream = TcpStream::connect(server.address()).await.expect("it accepts");
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request).await.expect("the server reads");
    let mut response = Vec::new();
    while !response.ends_with(b"ok") {
        stream.read_buf(&mut response).await.expect("a response arrives");
    }
    assert_eq!(server.connections(), 1);
    server.close_connections();
    let end = tokio::time::timeout(Duration::from_secs(1), stream.read_to_end(&mut response)).await;
    assert!(matches!(end, Ok(Ok(0))), "{end:?}");
    let mut late = TcpStream::connect(server.address()).await.expect("it accepts");
    late.write_all(request).await.expect("the server reads");
    let mut response = Vec::new();
    late.read_to_end(&mut response).await.expect("the connection ends after its response");
    assert!(response.ends_with(b"ok"), "{}", String::from_utf8_lossy(&response));
}

/// Sends a request of 1 MB in pieces while it is refused, and reads the refusal to its end.
#[rstest]
#[case::body("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n\r\n", "HTTP/1.1 200")]
#[case::head("GET / HTTP/1.1\r\nlarge: ", "HTTP/1.1 431")]
#[tokio::test]
async fn caller_that_is_still_sending_is_not_reset(#[case] start: &str, #[case] response: &str) {
    let handler = Arc::new(CountingHandler::default());
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = Server::start_with(any_port, handler, LIMITS).await.expect("it listens");
    let stream = TcpStream::connect(server.address()).await.expect("it accepts");
    let (mut reader, mut writer) = stream.into_split();
    let write = async {
        writer.write_all(start.as_bytes()).await?;
        for _ in 0..20 {
            tokio::time::sleep(Duration::from_millis(5)).await;
            writer.write_all(&[b'x'; 50_000]).await?;
        }
        Ok::<_, std::io::Error>(())
    };
    let mut bytes = Vec::new();
    let (written, read) = tokio::join!(write, reader.read_to_end(&mut bytes));
    let text = String::from_utf8_lossy(&bytes);
    assert!(text.starts_with(response), "{text} {read:?}");
    assert!(read.is_ok() && written.is_ok(), "{read:?} {written:?}");
}
