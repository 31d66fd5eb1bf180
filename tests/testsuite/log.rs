//! The log of a gateway never holds it up.

use std::{
    fs,
    io::{BufRead, BufReader, Read, Write},
    net::TcpStream,
    path::PathBuf,
    process::{Child, ChildStdout, Command, Stdio},
    time::Duration,
};

/// Longest wait for one answer.
const PATIENCE: Duration = Duration::from_secs(2);
/// Requests whose log lines are far more than a pipe holds.
const REQUESTS: usize = 3_000;

struct Gateway {
    child: Child,
    callers: String,
    /// Kept open, so that lines go into the pipe, and not read.
    _log: BufReader<ChildStdout>,
}

impl Gateway {
    fn start() -> Self {
        let any = "127.0.0.1:0";
        let example = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("examples/gateway.jsonc");
        let settings = fs::read_to_string(example)
            .expect("it exists")
            .replace("127.0.0.1:8080", any)
            .replace("127.0.0.1:8081", any)
            .replace("127.0.0.1:9100", any)
            // Nothing listens on this port: the instance never gets a configuration.
            .replace("127.0.0.1:2379", "127.0.0.1:1");
        let file = std::env::temp_dir().join(format!("gateway-{}.jsonc", std::process::id()));
        fs::write(&file, settings).expect("the settings are written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_hawthornmount"))
            .args(["gateway", "--settings"])
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program runs");
        // The log is read up to the line that names the address, and then no more.
        let mut log = BufReader::new(child.stdout.take().expect("it is piped"));
        let callers = loop {
            let mut line = String::new();
            let length = log.read_line(&mut line).expect("the log can be read");
            assert!(length > 0, "the log ended before the start");
            if let Some((_, address)) = line.split_once("callers=") {
                break address.trim().to_owned();
            }
        };
        Self { child, callers, _log: log }
    }

    fn connect(&self) -> TcpStream {
        TcpStream::connect(&self.callers).expect("it listens")
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
