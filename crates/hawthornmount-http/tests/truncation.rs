//! Responses whose connection ends within the head.

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

#[rstest]
#[case::with_a_length("HTTP/1.1 200 OK\r\nx-a: 1\r\ncontent-length: 12\r\n\r\n")]
#[case::in_chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")]
#[case::without_a_length("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n")]
#[tokio::test]
async fn answer_that_ends_within_its_head_is_no_answer(#[case] head: &'static str) {
    let address = support::start(|sent| head.as_bytes()[..sent].to_vec()).await;
    for sent in 0..head.len() {
        let mut connection = Connection::open(address, TIMEOUT).await.expect("it is accepted");
        let result = connection.send(http::Request::new(Full::default())).await;
        assert!(matches!(result, Err(Failure::Broken { .. })), "{sent} bytes: {result:?}");
    }
    let address = support::start(|sent| head.as_bytes()[..sent].to_vec()).await;
    for sent in 0..head.len() {
        let mut request = Request::new(Body::default());
        *request.method_mut() = Method::GET;
        let result = Client::new().call(address, request, TIMEOUT).await;
        assert!(matches!(result, Err(Error::Broken { .. })), "{sent} bytes: {result:?}");
    }
}
