//! Answers of an instance to bad frames of others, and for content that no frame can hold.

use {
    super::{Raw, SECRET, keyring},
    hawthornmount_core::{clock::Manual, metrics::Metrics},
    hawthornmount_gateway::{
        follow::replica::MAX_INLINE_BYTES,
        freshness::Freshness,
        membership::{Contact, Peer},
        relay::{
            Link, Shared,
            client::{Client, Failed},
            message::{Follow, MAX_FRAME_BYTES, PATH, Query, Request},
            server,
        },
    },
    hawthornmount_http::capacity::Capacity,
    hawthornmount_store::{Entry, Stamp},
    log::{LevelFilter, Log, Metadata, Record},
    parking_lot::Mutex,
    rstest::rstest,
    std::{
        net::SocketAddr,
        sync::{Arc, Once},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

/// Logger that keeps the lines.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl Log for Lines {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        self.0.lock().push(record.args().to_string());
    }

    fn flush(&self) {}
}

impl Lines {
    fn start() {
        static ONCE: Once = Once::new();
        ONCE.call_once(|| {
            log::set_logger(&LINES).expect("no other logger");
            log::set_max_level(LevelFilter::Info);
        });
    }

    fn has(text: &str) -> bool {
        LINES.0.lock().iter().any(|line| line.contains(text))
    }
}

/// Starts an instance that answers frames.
async fn serve(entries: &[Entry]) -> (SocketAddr, Metrics) {
    Lines::start();
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let bound = Duration::from_secs(5);
    let freshness = Arc::new(Freshness::new(Arc::new(Manual::new()), bound, bound));
    let metrics = Metrics::new();
    let shared = Shared::new("one".into(), freshness).with_metrics(metrics.clone());
    shared.set_secret(Some(SECRET.into()));
    shared.replica.lock().replace(entries, Stamp { era: 1, revision: 9 });
    let group = Capacity::new(usize::MAX).group(usize::MAX);
    tokio::spawn(server::serve(listener, Arc::new(shared), group));
    (address, metrics)
}

async fn post(address: SocketAddr, frame: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the instance listens");
    let length = frame.len();
    let head = format!(
        "POST {PATH} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(&[head.as_bytes(), frame].concat()).await.expect("the frame is sent");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("an answer");
    String::from_utf8_lossy(&answer).lines().next().expect("a status").to_owned()
}

fn simple_request() -> Request {
    let wait = Duration::from_secs(5);
    let follow = Follow { cursor: None, confirmation: None, wait, in_flight: Vec::new() };
    Request { nonce: 7, from: "two".into(), to: "one".into(), query: Query::Follow(follow) }
}

struct Bad {
    change: fn(&mut Vec<u8>),
    cause: &'static str,
}

#[rstest]
#[case::other_version(Bad { change: |frame| frame[0] += 1, cause: "version" })]
#[case::flipped(Bad { change: |frame| frame[20] ^= 1, cause: "hash" })]
#[case::empty(Bad { change: Vec::clear, cause: "too_short" })]
#[case::malformed(Bad { change: |frame| *frame = keyring().seal(&Raw(&[7])), cause: "form" })]
#[tokio::test]
async fn bad_frame_is_counted_and_logged(#[case] bad: Bad) {
    let (address, metrics) = serve(&[]).await;
    let mut frame = keyring().seal(&simple_request());
    assert_eq!(post(address, &frame).await, "HTTP/1.1 200 OK");
    (bad.change)(&mut frame);
    assert_eq!(post(address, &frame).await, "HTTP/1.1 403 Forbidden");
    assert_eq!(metrics.dropped.with_label_values(&["relay", bad.cause]).get(), 1);
    let cause = bad.cause;
    let line = format!("rejected a frame of another instance; status=403 Forbidden cause={cause}");
    assert!(Lines::has(&line), "not logged");
}

/// Load: content that no frame can hold, asked for by every follower.
#[tokio::test]
async fn content_beyond_the_limit_is_not_sent() {
    let entry = |at: usize| Entry {
        key: format!("key-{at:03}").into(),
        value: vec![b'x'; MAX_INLINE_BYTES].into(),
        revision: 1,
        created: 1,
    };
    let entries: Vec<Entry> = (0..MAX_FRAME_BYTES / MAX_INLINE_BYTES).map(entry).collect();
    let (address, metrics) = serve(&entries).await;
    let contact =
        Contact { data_centre: "a".into(), address, passed_requests: None, secret: SECRET.into() };
    let peer = Peer { id: "one".into(), contact };
    let Query::Follow(follow) = simple_request().query else { unreachable!("it follows") };
    let result = Client::new("two".into()).follow(&peer, follow).await;
    assert!(matches!(result, Err(Failed::Rejected(_))), "{result:?}");
    assert_eq!(metrics.dropped.with_label_values(&["relay", "too_large"]).get(), 1);
}
