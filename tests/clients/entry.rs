//! Crowds at the product's own interface.

use {
    crate::{
        crowd::{Crowd, End, Script, ask, ask_once, chunks},
        exclusive,
        process::{LogStream, Process, free_addresses},
    },
    hawthornmount_demo::deployment::Deployment,
    rstest::rstest,
    std::{net::SocketAddr, sync::Arc},
};

/// Limit on bodies in the example configuration.
const BODY_BYTES: usize = 1 << 20;
/// Limit on heads.
const HEAD_BYTES: usize = 32 << 10;
/// Key of an account of the example configuration.
const KEY: &str = "authorization: Bearer demo-municipal\r\n";

struct Case {
    count: usize,
    script: fn() -> Script,
    listener: Listener,
}

/// Listener to which a crowd connects.
#[derive(Clone, Copy, Debug)]
enum Listener {
    Callers,
    Operators,
    Instances,
}

/// A process beside the instances of a deployment.
struct World {
    process: Process,
    listeners: [SocketAddr; 3],
    _deployment: Deployment,
}

impl World {
    async fn start() -> Self {
        let deployment = Deployment::start().await.expect("the demo starts");
        let mut settings = deployment.settings("attica-a", 9);
        [settings.listen, settings.admin, settings.fleet] = free_addresses();
        settings.log = "info".into();
        let listeners = [settings.listen, settings.admin, settings.fleet];
        let text = serde_json::to_string(&settings).expect("settings are JSON");
        let process = Process::start("serve", &text, &listeners, LogStream::Error);
        let world = Self { process, listeners, _deployment: deployment };
        world.ask("the first request").await;
        world
    }

    /// Sends an ordinary request until it is answered.
    async fn ask(&self, when: &str) {
        let body = r#"{"messages":[{"role":"user","content":"hello"}],"max_tokens":4}"#;
        let request = || completion(KEY, &format!("content-length: {}", body.len())) + body;
        let answered = ask(self.process.callers, request).await;
        assert_eq!(answered, Ok(()), "{when}: an ordinary request is not answered");
    }
}

/// Returns the head of a completion.
fn completion(key: &str, framing: &str) -> String {
    format!("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n{key}{framing}\r\n\r\n")
}

fn chunked(key: &str, length: usize, chunk: usize) -> Script {
    let head = completion(key, "transfer-encoding: chunked").into_bytes();
    Script { head, rest: chunks(length, chunk).into(), end: End::Stay }
}

fn announced(length: u64, sent: usize, end: End) -> Script {
    let head = completion(KEY, &format!("content-length: {length}")).into_bytes();
    Script { head, rest: vec![b'x'; sent].into(), end }
}

fn silent() -> Script {
    Script { head: Vec::new(), rest: Arc::from([]), end: End::Stay }
}

fn unfinished_head() -> Script {
    let head = completion(KEY, "x-filler: ").replace("\r\n\r\n", "");
    Script { head: head.into_bytes(), rest: vec![b'x'; HEAD_BYTES - 1_024].into(), end: End::Stay }
}

/// Returns a script that sends many small requests and reads no answer.
fn pipelined() -> Script {
    let request = format!("GET /v1/models HTTP/1.1\r\nhost: x\r\n{KEY}\r\n");
    Script { head: Vec::new(), rest: request.repeat(8_192).into_bytes().into(), end: End::Stay }
}

const CROWD: Case = Case { count: 0, script: silent, listener: Listener::Callers };

/// Guards against callers that fill the memory of the process or take its descriptors: it lives
/// within a small machine beside each crowd, and answers an ordinary request.
#[rstest]
#[case::one_byte_chunks_without_key(Case { count: 60, script: || chunked("", 128 << 10, 1), ..CROWD })]
#[case::small_chunks_without_key(Case { count: 120, script: || chunked("", BODY_BYTES - 1, 128), ..CROWD })]
#[case::small_chunks(Case { count: 120, script: || chunked(KEY, BODY_BYTES - 1, 128), ..CROWD })]
#[case::large_chunks(Case { count: 120, script: || chunked(KEY, BODY_BYTES - 1, 64 << 10), ..CROWD })]
#[case::one_byte_short(Case { count: 120, script: || announced(BODY_BYTES as u64, BODY_BYTES - 1, End::Stay), ..CROWD })]
#[case::dripped(Case { count: 120, script: || announced(BODY_BYTES as u64, BODY_BYTES - 4_096, End::Drip(b'x')), ..CROWD })]
#[case::absurd_length(Case { count: 120, script: || announced(u64::MAX / 4, BODY_BYTES, End::Repeat), ..CROWD })]
#[case::unfinished_heads(Case { count: 1_500, script: unfinished_head, ..CROWD })]
#[case::silent(Case { count: 1_500, script: silent, ..CROWD })]
#[case::pipelined(Case { count: 60, script: pipelined, ..CROWD })]
#[case::silent_operators(Case { count: 1_500, script: silent, listener: Listener::Operators })]
#[case::silent_instances(Case { count: 1_500, script: silent, listener: Listener::Instances })]
#[tokio::test(flavor = "multi_thread")]
async fn process_lives_within_its_machine(#[case] case: Case) {
    let _exclusive = exclusive().await;
    let mut world = World::start().await;
    let address = world.listeners[case.listener as usize];
    let crowd = Crowd::start(address, case.count, case.script);
    crowd.settle(|| world.process.observe()).await;
    world.ask("beside the crowd").await;
    let status = "GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let healthy = ask(world.listeners[1], || status.to_owned()).await;
    assert_eq!(healthy, Ok(()), "the operators' interface is not answered");
    world.process.check();
    drop(crowd);
    world.ask("after the crowd").await;
}

/// Guards against limits that refuse what the configuration allows.
#[rstest]
#[case::large_chunks(64 << 10)]
#[case::small_chunks(16)]
#[tokio::test(flavor = "multi_thread")]
async fn request_inside_the_limits_is_served(#[case] chunk: usize) {
    let _exclusive = exclusive().await;
    let world = World::start().await;
    let filler = "x".repeat(BODY_BYTES - 1_024);
    let body = format!(r#"{{"messages":[{{"role":"user","content":"{filler}"}}],"max_tokens":4}}"#);
    let mut request = completion(KEY, "transfer-encoding: chunked").into_bytes();
    for piece in body.as_bytes().chunks(chunk) {
        request.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        request.extend_from_slice(piece);
        request.extend_from_slice(b"\r\n");
    }
    request.extend_from_slice(b"0\r\n\r\n");
    assert_eq!(ask_once(world.process.callers, &request).await, 200);
}
