//! A gateway serves requests while nobody reads its log.

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    path::PathBuf,
    process::{Child, ChildStdout, Command, Stdio},
    time::Duration,
};

/// Time-out of a read of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of requests; their log lines exceed the capacity of a pipe many times.
const REQUESTS: usize = 3_000;

struct Gateway {
    child: Child,
    callers: String,
    /// Read end of the log's pipe: held open, so that writes don't fail, and never read.
    _log: BufReader<ChildStdout>,
}

impl Gateway {
    fn start() -> Self {
        let any_port = "127.0.0.1:0";
        let example = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("examples/gateway.jsonc");
        let settings = fs::read_to_string(example)
            .expect("the example exists")
            .replace("127.0.0.1:8080", any_port)
            .replace("127.0.0.1:8081", any_port)
            .replace("127.0.0.1:9100", any_port)
            // Nothing listens on this port, so the instance never gets a configuration.
            .replace("127.0.0.1:2379", "127.0.0.1:1");
        let file = std::env::temp_dir().join(format!("gateway-{}.jsonc", std::process::id()));
        fs::write(&file, settings).expect("the settings are written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_hawthornmount"))
            .args(["gateway", "--settings"])
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program runs");
        // Reads the log up to the line with the address, and nothing after it.
        let mut log = BufReader::new(child.stdout.take().expect("the output is piped"));
        let callers = loop {
            let mut line = String::new();
            let length = log.read_line(&mut line).expect("the log can be read");
            assert!(length > 0, "the log ended before the gateway started");
            if let Some((_, address)) = line.split_once("callers=") {
                break address.trim().to_owned();
            }
        };
        Self { child, callers, _log: log }
    }

    fn connect(&self) -> TcpStream {
        TcpStream::connect(&self.callers).expect("the gateway listens")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads one response and returns its status line.
fn read_response(reader: &mut BufReader<TcpStream>) -> String {
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a response arrives although the log is full");
        if line.trim().is_empty() {
            break;
        }
        head.push(line.to_ascii_lowercase());
    }
    let length = head.iter().find_map(|line| line.strip_prefix("content-length: "));
    let length =
        length.and_then(|text| text.trim().parse().ok()).expect("the response has a length");
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the body is complete");
    head.swap_remove(0)
}

/// Guards against a gateway that blocks on its log: once the pipe to a stalled log reader is full,
/// a write to standard output blocks, and with it the thread that serves requests.
#[test]
fn requests_are_answered_while_nobody_reads_the_log() {
    let gateway = Gateway::start();
    let mut stream = gateway.connect();
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("the time-out is set");
    let mut reader = BufReader::new(stream.try_clone().expect("the stream is cloned"));
    for _ in 0..REQUESTS {
        stream
            .write_all(b"GET /x HTTP/1.1\r\nhost: a.example\r\n\r\n")
            .expect("the request is sent");
        let status_line = read_response(&mut reader);
        assert!(status_line.starts_with("http/1.1 503"), "not refused as unready: {status_line}");
    }
}
