//! `serve` subcommand as a process, and its graceful stop on SIGTERM.

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

/// Time-out of the wait until the process is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time-out of a request.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Tokens of the stream that is open while the process stops.
const TOKENS: u64 = 600;

/// A running process, killed when the test ends.
struct Process {
    child: Child,
    callers: SocketAddr,
    settings_path: PathBuf,
}

impl Process {
    fn start(deployment: &Deployment, name: &str) -> Self {
        let settings_path =
            std::env::temp_dir().join(format!("{name}-{}.json", std::process::id()));
        let mut settings = deployment.settings("attica-a", 9);
        settings.log = "info".into();
        let text = serde_json::to_string(&settings).expect("settings are JSON");
        fs::write(&settings_path, text).expect("the settings can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_hawthornmount"))
            .args(["serve", "--settings"])
            .arg(&settings_path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program runs");
        let mut lines =
            BufReader::new(child.stderr.take().expect("the standard error is piped")).lines();
        let started = lines
            .find_map(|line| Some(line.ok()?.split_once("callers=")?.1.to_owned()))
            .expect("the process logs that it started");
        std::thread::spawn(move || lines.for_each(drop));
        let callers = started.split(' ').next().unwrap_or_default().parse();
        Self { child, callers: callers.expect("it is an address"), settings_path }
    }

    async fn wait_ready(&self, client: &Client) {
        let deadline = Instant::now() + READY_TIMEOUT;
        while send_completion(client, self.callers, 4, false).await.is_none() {
            assert!(Instant::now() < deadline, "the process is not ready in time");
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
        let _ = fs::remove_file(&self.settings_path);
    }
}

/// Sends a completion request and returns the response if it is a success.
async fn send_completion(
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
    let response = client.call(address, request, TIMEOUT).await.expect("the process answers");
    response.status.as_u16()
}

/// Guards against requests lost in a planned stop: after SIGTERM the process reports that it is not
/// ready, still accepts requests from a load balancer that has not noticed this yet, completes the
/// open stream and exits with success.
#[tokio::test(flavor = "multi_thread")]
async fn sigterm_interrupts_no_request() {
    let deployment = Deployment::start().await.expect("the demo starts");
    let mut process = Process::start(&deployment, "graceful");
    let client = Client::new();
    process.wait_ready(&client).await;
    assert_eq!(status(&client, process.callers, "/readyz").await, 200);
    let response =
        send_completion(&client, process.callers, TOKENS, true).await.expect("it answers");

    process.terminate();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(status(&client, process.callers, "/readyz").await, 503);
    let late = send_completion(&client, process.callers, 4, false).await;
    assert!(late.is_some(), "a request sent before the load balancer noticed the stop is refused");

    let stream = response.into_body().collect().await.expect("the stream is not cut").to_bytes();
    assert!(stream.ends_with(b"data: [DONE]\n\n"), "the stream has its terminal event");
    let exit = tokio::task::spawn_blocking(move || process.child.wait()).await;
    let exit = exit.expect("the wait ends").expect("the process ends");
    assert_eq!(exit.code(), Some(0));
}
