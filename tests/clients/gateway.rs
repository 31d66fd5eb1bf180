//! Crowds at the listeners of a gateway.

use {
    crate::{
        caller::{
            CROWD_SERVICE, head, head_without_key, limited_configuration, publish, register,
            settings,
        },
        crowd::{Crowd, End, Script, ask, ask_once, chunks},
        exclusive,
        fake::{
            flood::{Flood, Pace, Part},
            server::{Action, Server},
            store::Store,
        },
        process::{LogStream, Process, free_addresses},
    },
    rstest::rstest,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Limit on bodies in the configuration of the tests, as the users' sites have it.
const BODY_BYTES: usize = 4 << 20;
/// Limit on heads in the configuration of the tests, as the users' sites have it.
const HEAD_BYTES: usize = 32 << 10;
/// Time limit of the routes: longer than a case takes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(60);

/// Listener to which a crowd connects.
#[derive(Clone, Copy, Debug)]
enum Listener {
    Callers,
    Readiness,
    Peers,
    Neighbours,
}

/// A crowd, and what the servers of the route do.
struct Case {
    count: usize,
    listener: Listener,
    script: fn() -> Script,
    action: Action,
}

/// A gateway process with a store and a server.
struct World {
    process: Process,
    addresses: [SocketAddr; 4],
    _store: Store,
}

impl World {
    async fn start(action: Action) -> Self {
        Self::start_with_limits(action, BODY_BYTES, None).await
    }

    /// Starts a gateway whose configuration limits bodies to `body_bytes`, with the setting of its memory.
    async fn start_with_limits(action: Action, body_bytes: usize, memory_mb: Option<u32>) -> Self {
        let store = Store::start().await;
        let config = limited_configuration(body_bytes, HEAD_BYTES, ROUTE_TIMEOUT);
        publish(&store, &config);
        let servers = [("plain", Action::Respond("good")), (CROWD_SERVICE, action)];
        for (service, action) in servers {
            let server = Server::start(&[action]).await;
            register(&store, service, server.address);
        }
        let addresses = free_addresses();
        let mut settings = settings(store.address, addresses);
        if let Some(memory_mb) = memory_mb {
            settings["memory_mb"] = memory_mb.into();
        }
        let settings = settings.to_string();
        let process = Process::start("gateway", &settings, &addresses, LogStream::Output);
        let world = Self { process, addresses, _store: store };
        world.ask("the first request").await;
        world
    }

    fn address(&self, listener: Listener) -> SocketAddr {
        self.addresses[match listener {
            Listener::Callers => 0,
            Listener::Readiness => 1,
            Listener::Peers => 2,
            Listener::Neighbours => 3,
        }]
    }

    /// Sends an ordinary request until it is answered.
    async fn ask(&self, when: &str) {
        let request = || head("/safe/", "connection: close\r\ncontent-length: 2") + "{}";
        let answered = ask(self.process.callers, request).await;
        assert_eq!(answered, Ok(()), "{when}: an ordinary request is not answered");
    }
}

/// Returns a script that announces a body by a length and sends so many bytes of it.
fn announced(length: u64, sent: usize, end: End) -> Script {
    let head = head("/unsafe/", &format!("content-length: {length}")).into_bytes();
    Script { head, rest: vec![b'x'; sent].into(), end }
}

/// Returns a script whose body is sent in chunks and not ended.
fn chunked(length: usize, chunk: usize, end: End) -> Script {
    let head = head("/unsafe/", "transfer-encoding: chunked").into_bytes();
    Script { head, rest: chunks(length, chunk).into(), end }
}

/// Returns a script with the head of a request without a key.
fn without_key(script: Script) -> Script {
    let head = head_without_key("/unsafe/", "transfer-encoding: chunked").into_bytes();
    Script { head, ..script }
}

/// Returns a script that sends `begin` behind the head of a chunked body, and `rest` again and again.
fn endless(begin: &str, rest: &str) -> Script {
    let head = head("/unsafe/", "transfer-encoding: chunked") + begin;
    Script {
        head: head.into_bytes(),
        rest: rest.repeat(4_096).into_bytes().into(),
        end: End::Repeat,
    }
}

/// Returns a script that sends a head without its end.
fn unfinished_head(length: usize) -> Script {
    let head = head("/unsafe/", "x-filler: ").replace("\r\n\r\n", "");
    Script { head: head.into_bytes(), rest: vec![b'x'; length].into(), end: End::Stay }
}

/// Returns a script that sends many small requests, or one, and reads no answer.
fn unread(path: &str, requests: usize) -> Script {
    let head = head(path, "content-length: 2") + "{}";
    Script { head: Vec::new(), rest: head.repeat(requests).into_bytes().into(), end: End::Stay }
}

fn silent() -> Script {
    Script { head: Vec::new(), rest: Arc::from([]), end: End::Stay }
}

/// Guards against callers and servers that fill the memory of the process or take its descriptors: it
/// lives within a small machine beside each crowd, and answers an ordinary request.
#[rstest]
#[case::large_chunks(Case { count: 40, script: || chunked(BODY_BYTES - 1, 64 << 10, End::Stay), ..CALLERS })]
#[case::one_byte_chunks(Case { count: 40, script: || chunked(192 << 10, 1, End::Stay), ..CALLERS })]
#[case::small_chunks(Case { count: 40, script: || chunked(1 << 20, 37, End::Stay), ..CALLERS })]
#[case::without_key(Case { count: 60, script: || without_key(chunked(BODY_BYTES - 1, 64 << 10, End::Stay)), ..CALLERS })]
#[case::one_byte_short(Case { count: 40, script: || announced(BODY_BYTES as u64, BODY_BYTES - 1, End::Stay), ..CALLERS })]
#[case::dripped(Case { count: 40, script: || announced(BODY_BYTES as u64, BODY_BYTES - 4_096, End::Drip(b'x')), ..CALLERS })]
#[case::dripped_chunks(Case { count: 40, script: || chunked(BODY_BYTES - 4_096, 64 << 10, End::Drip(b'1')), ..CALLERS })]
#[case::whole_bodies(Case { count: 60, script: || announced(BODY_BYTES as u64, BODY_BYTES, End::Stay), action: SLOW, ..CALLERS })]
#[case::over_the_limit(Case { count: 60, script: || announced(BODY_BYTES as u64 + 1, BODY_BYTES + 1, End::Stay), ..CALLERS })]
#[case::absurd_length(Case { count: 60, script: || announced(u64::MAX / 4, BODY_BYTES, End::Repeat), ..CALLERS })]
#[case::endless_body(Case { count: 60, script: || endless("", "400\r\n"), ..CALLERS })]
#[case::endless_chunks(Case { count: 60, script: || Script { end: End::Repeat, ..chunked(1 << 20, 1_024, End::Stay) }, ..CALLERS })]
#[case::endless_extension(Case { count: 60, script: || endless("1;", "xxxxxxxx"), ..CALLERS })]
#[case::endless_trailers(Case { count: 60, script: || endless("0\r\n", "x-trailer: x\r\n"), ..CALLERS })]
#[case::endless_heads(Case { count: 1_500, script: || unfinished_head(HEAD_BYTES - 1_024), ..CALLERS })]
#[case::silent(Case { count: 1_500, script: silent, ..CALLERS })]
#[case::kept_open(Case { count: 1_500, script: || Script { end: End::Read, ..unread("/safe/", 1) }, ..CALLERS })]
#[case::pipelined(Case { count: 60, script: || unread("/safe/", 8_192), ..CALLERS })]
#[case::unread_answers(Case { count: 100, script: || unread("/unsafe/", 1), action: LARGE, ..CALLERS })]
#[case::unread_streams(Case { count: 100, script: || unread("/stream/", 1), action: STREAM, ..CALLERS })]
#[case::events_without_line_end(Case { script: read_stream, action: endless_event(LINE), ..STREAMS })]
#[case::events_of_many_lines(Case { script: read_stream, action: endless_event(DATA_LINES), ..STREAMS })]
#[case::events_of_comments(Case { script: read_stream, action: endless_event(COMMENT_LINES), ..STREAMS })]
#[case::events_without_end_and_reader(Case { script: || unread("/stream/", 1), action: endless_event(LINE), ..STREAMS })]
#[case::answers_without_end(Case { count: 60, script: read_answer, action: flood(Part::Body), ..CALLERS })]
#[case::failures_without_end(Case { count: 60, script: read_answer, action: flood(Part::FailureBody), ..CALLERS })]
#[case::silent_readiness(Case { count: 1_500, listener: Listener::Readiness, script: silent, ..CALLERS })]
#[case::silent_peers(Case { count: 1_500, listener: Listener::Peers, script: silent, ..CALLERS })]
#[case::frames_of_peers(Case { count: 60, listener: Listener::Peers, script: || peer_frame(), ..CALLERS })]
#[case::silent_neighbours(Case { count: 1_500, listener: Listener::Neighbours, script: silent, ..CALLERS })]
#[case::passed_bodies(Case { count: 40, listener: Listener::Neighbours, script: || chunked(BODY_BYTES - 1, 64 << 10, End::Stay), ..CALLERS })]
#[tokio::test(flavor = "multi_thread")]
async fn process_lives_within_its_machine(#[case] case: Case) {
    let _exclusive = exclusive().await;
    let mut world = World::start(case.action).await;
    let crowd = Crowd::start(world.address(case.listener), case.count, case.script);
    crowd.settle(|| world.process.observe()).await;
    world.ask("beside the crowd").await;
    let readiness = "GET /readiness HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let ready = ask(world.address(Listener::Readiness), || readiness.to_owned()).await;
    assert_eq!(ready, Ok(()), "the readiness check is not answered");
    world.process.check();
    drop(crowd);
    world.ask("after the crowd").await;
}

/// Guards against limits that refuse what the configuration allows: single requests just inside each
/// limit are served in calm.
#[rstest]
#[case::length(BODY_BYTES, None, announced(BODY_BYTES as u64, BODY_BYTES, End::Stay))]
#[case::large_chunks(BODY_BYTES, None, ended(chunked(BODY_BYTES, 64 << 10, End::Stay)))]
#[case::one_byte_chunks(256 << 10, None, ended(chunked(256 << 10, 1, End::Stay)))]
#[case::head(BODY_BYTES, None, Script {
    head: head("/unsafe/", &format!("x-filler: {}", "x".repeat(HEAD_BYTES - 1_024))).into_bytes(),
    ..silent()
})]
#[case::over_the_memory(20_000_000, Some(48), announced(20_000_000, 20_000_000, End::Stay))]
#[tokio::test(flavor = "multi_thread")]
async fn request_inside_the_limits_is_served(
    #[case] body_bytes: usize,
    #[case] memory_mb: Option<u32>,
    #[case] script: Script,
) {
    let _exclusive = exclusive().await;
    let world = World::start_with_limits(Action::Respond("good"), body_bytes, memory_mb).await;
    let request = [&*script.head, &*script.rest].concat();
    assert_eq!(ask_once(world.process.callers, &request).await, 200);
}

/// A crowd of callers whose requests are never answered.
const CALLERS: Case =
    Case { count: 0, listener: Listener::Callers, script: silent, action: Action::Hang };
/// Answers after the crowd is gone.
const SLOW: Action = Action::RespondAfter(ROUTE_TIMEOUT, "slow");
const LARGE: Action = Action::Large(1 << 20);
const STREAM: Action = Action::Events { last: 40_000, confidence: None };

/// A crowd of streams at a server whose events have no end.
const STREAMS: Case = Case { count: 300, ..CALLERS };
/// Parts of an event: a line without an end, lines with data, and comments.
const LINE: &str = "data: xxx";
const DATA_LINES: &str = "data: xx\n";
const COMMENT_LINES: &str = ": comment\n";
/// Bytes of such an event that a server sends at once.
const PIECE_BYTES: usize = 8_192;

/// Returns the action of a server whose first event repeats a part without end.
fn endless_event(part: &str) -> Action {
    let text = part.repeat(PIECE_BYTES / part.len());
    Action::Trickle { after: 0, text: Box::leak(text.into_boxed_str()) }
}

const fn flood(part: Part) -> Action {
    Action::Flood(Flood { part, pace: Pace::Fast })
}

/// Returns a script that reads a stream.
fn read_stream() -> Script {
    Script { end: End::Read, ..unread("/stream/", 1) }
}

/// Returns a script that reads an answer of the servers of the crowd.
fn read_answer() -> Script {
    Script { end: End::Read, ..unread("/unsafe/", 1) }
}

/// Ends the body of a script that is sent in chunks.
fn ended(script: Script) -> Script {
    let rest = [&*script.rest, b"0\r\n\r\n"].concat().into();
    Script { rest, ..script }
}

/// Returns a script that sends most of a frame to the listener for other instances.
fn peer_frame() -> Script {
    let head = "POST /relay HTTP/1.1\r\nhost: x\r\ncontent-length: 4194304\r\n\r\n";
    Script { head: head.into(), rest: vec![b'x'; BODY_BYTES - 1].into(), end: End::Stay }
}
