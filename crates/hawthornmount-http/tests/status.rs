//! Responses whose status is no final one.

mod support;

use {
    hawthornmount_http::{
        Body, Method, Request,
        client::{Client, Error},
        connection::{Connection, Failure},
    },
    http_body_util::Full,
    rstest::rstest,
    std::time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// A status that is no final one was passed on as an answer.
#[rstest]
#[tokio::test]
async fn only_a_final_status_is_an_answer(
    #[values(
        "000", "001", "099", "100", "101", "102", "103", "199", "200", "204", "299", "304", "404",
        "503", "599", "600", "666", "700", "800", "999"
    )]
    status: &'static str,
    #[values(
        "content-length: 4\r\n\r\ngood",
        "connection: close\r\n\r\ngood",
        "transfer-encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
        "connection: upgrade\r\nupgrade: other\r\n\r\n"
    )]
    rest: &'static str,
) {
    let is_final = ("200".."600").contains(&status);
    let answer = format!("HTTP/1.1 {status} X\r\n{rest}").into_bytes();
    let address = support::start(move |_| answer.clone()).await;
    let mut connection = Connection::open(address, TIMEOUT).await.expect("it is accepted");
    let sent = connection.send(http::Request::new(Full::default())).await;
    assert_eq!(sent.is_ok(), is_final, "{sent:?}");
    assert!(is_final || matches!(sent, Err(Failure::Broken { .. })), "{sent:?}");
    let mut request = Request::new(Body::default());
    *request.method_mut() = Method::GET;
    let called = Client::new().call(address, request, TIMEOUT).await;
    assert_eq!(called.is_ok(), is_final, "{called:?}");
    assert!(is_final || matches!(called, Err(Error::Broken { .. })), "{called:?}");
}
