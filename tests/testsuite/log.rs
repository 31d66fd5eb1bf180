//! The log of a gateway never holds it up.

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// Longest wait for one answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// Requests whose log lines are far more than a pipe holds.
const REQUESTS: usize = 3_000;

struct Gateway {
    child: Child,
    callers: String,
}

impl Gateway {
    fn start() -> Self {
        let free =
            || TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
        let (callers, readiness, store) = (free(), free(), free());
        let example = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("examples/gateway.jsonc");
        let settings = fs::read_to_string(example)
            .expect("it exists")
            .replace("127.0.0.1:8080", &callers.to_string())
            .replace("127.0.0.1:8081", &readiness.to_string())
            .replace("127.0.0.1:9100", &free().to_string())
            .replace("127.0.0.1:2379", &store.to_string());
        let file = std::env::temp_dir().join(format!("gateway-{}.jsonc", std::process::id()));
        fs::write(&file, settings).expect("the settings are written");
        let child = Command::new(env!("CARGO_BIN_EXE_hawthornmount"))
            .args(["gateway", "--settings"])
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program runs");
        Self { child, callers: callers.to_string() }
    }

    fn connect(&self) -> TcpStream {
        let bound = Instant::now() + Duration::from_secs(10);
        loop {
            match TcpStream::connect(&self.callers) {
                Ok(stream) => return stream,
                Err(error) => assert!(Instant::now() < bound, "it does not listen: {error}"),
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads one answer and returns its first line.
fn read_answer(reader: &mut BufReader<TcpStream>) -> String {
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("an answer comes though the log is full");
        if line.trim().is_empty() {
            break;
        }
        head.push(line.to_ascii_lowercase());
    }
    let length = head.iter().find_map(|line| line.strip_prefix("content-length: "));
    let length = length.and_then(|text| text.trim().parse().ok()).expect("a length");
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the whole body comes");
    head.swap_remove(0)
}

#[test]
fn requests_are_answered_while_nobody_reads_the_log() {
    let gateway = Gateway::start();
    let mut stream = gateway.connect();
    stream.set_read_timeout(Some(PATIENCE)).expect("it is set");
    let mut reader = BufReader::new(stream.try_clone().expect("it is shared"));
    for _ in 0..REQUESTS {
        stream.write_all(b"GET /x HTTP/1.1\r\nhost: a.example\r\n\r\n").expect("it goes out");
        let first = read_answer(&mut reader);
        assert!(first.starts_with("http/1.1 503"), "there is no configuration: {first}");
    }
}
