//! `serve` as a process of its own, and its graceful stop.

use {
    hawthornmount_demo::deployment::Deployment,
    hawthornmount_http::{Body, Method, Request, Response, client::Client},
    http_body_util::BodyExt,
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    std::{
        fs,
        io::{BufRead, BufReader},
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
};

/// Time in which the process has to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that an answer may take.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Tokens of the stream that is open while the process stops.
const TOKENS: u64 = 600;

/// A running process, killed when the test ends.
struct Process {
    child: Child,
    callers: SocketAddr,
    settings: PathBuf,
}

impl Process {
    fn start(world: &Deployment, name: &str) -> Self {
        let settings = std::env::temp_dir().join(format!("{name}-{}.json", std::process::id()));
        let mut value = world.settings("attica-a", 9);
        value.log = "info".into();
        let text = serde_json::to_string(&value).expect("settings are JSON");
        fs::write(&settings, text).expect("the settings can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_hawthornmount"))
            .args(["serve", "--settings"])
            .arg(&settings)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program runs");
        let mut lines = BufReader::new(child.stderr.take().expect("it is piped")).lines();
        let started = lines
            .find_map(|line| Some(line.ok()?.split_once("callers=")?.1.to_owned()))
            .expect("the process says that it started");
        std::thread::spawn(move || lines.for_each(drop));
        let callers = started.split(' ').next().unwrap_or_default().parse();
        Self { child, callers: callers.expect("it is an address"), settings }
    }

    async fn wait_ready(&self, client: &Client) {
        let bound = Instant::now() + READY_TIMEOUT;
        while complete(client, self.callers, 4, false).await.is_none() {
            assert!(Instant::now() < bound, "the process is not ready in time");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn terminate(&self) {
        let pid = i32::try_from(self.child.id()).expect("a process id fits");
        kill(Pid::from_raw(pid), Signal::SIGTERM).expect("the process lives");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

async fn complete(
    client: &Client,
    address: SocketAddr,
    max_tokens: u64,
    stream: bool,
) -> Option<Response> {
    let body = serde_json::json!({
        "messages": [{ "role": "user", "content": "hello" }],
        "max_tokens": max_tokens,
        "stream": stream,
    });
    let request = http::Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header("authorization", "Bearer demo-municipal")
        .body(Body::from(body.to_string()))
        .expect("the request is valid");
    let response = client.send(address, request).await.ok()?;
    response.status().is_success().then_some(response)
}

async fn status(client: &Client, address: SocketAddr, path: &str) -> u16 {
    let mut request = Request::new(Body::empty());
    *request.uri_mut() = path.parse().expect("the path is valid");
    let answer = client.call(address, request, TIMEOUT).await.expect("the process answers");
    answer.status.as_u16()
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_cuts_no_request() {
    let world = Deployment::start().await.expect("the demo starts");
    let mut process = Process::start(&world, "graceful");
    let client = Client::new();
    process.wait_ready(&client).await;
    assert_eq!(status(&client, process.callers, "/readyz").await, 200);
    let response = complete(&client, process.callers, TOKENS, true).await.expect("it answers");

    process.terminate();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(status(&client, process.callers, "/readyz").await, 503);
    let late = complete(&client, process.callers, 4, false).await;
    assert!(late.is_some(), "a request before the balancer knows is refused");

    let whole = response.into_body().collect().await.expect("the stream is not cut").to_bytes();
    assert!(whole.ends_with(b"data: [DONE]\n\n"), "the stream has its terminal event");
    let exit = tokio::task::spawn_blocking(move || process.child.wait()).await;
    let exit = exit.expect("the wait ends").expect("the process ends");
    assert_eq!(exit.code(), Some(0));
}
