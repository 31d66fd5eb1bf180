//! Stand-ins for the platform's store, for servers and for clients, over std only.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::File,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

// ---------------------------------------------------------------- record

/// Writes what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &str) -> Self {
        Self(Arc::new((Instant::now(), Mutex::new(File::create(path).expect("record.txt")))))
    }

    pub fn now(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.0.1.lock().unwrap(), "{:9.3} {text}", self.now());
    }
}

// ---------------------------------------------------------------- JSON and base64

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Json {
        let mut at = 0;
        parse_value(text, &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(rows) => {
                rows.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(all) = self { all } else { &[] }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }
}

fn skip(text: &[u8], at: &mut usize) {
    while *at < text.len() && b" \t\r\n,:".contains(&text[*at]) {
        *at += 1;
    }
}

fn parse_value(text: &[u8], at: &mut usize) -> Json {
    skip(text, at);
    match text.get(*at) {
        Some(b'{') => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip(text, at);
                match text.get(*at) {
                    Some(b'"') => {
                        let key = parse_text(text, at);
                        rows.push((key, parse_value(text, at)));
                    }
                    _ => {
                        *at += 1;
                        return Json::Table(rows);
                    }
                }
            }
        }
        Some(b'[') => {
            *at += 1;
            let mut all = Vec::new();
            loop {
                skip(text, at);
                match text.get(*at) {
                    None | Some(b']') => {
                        *at += 1;
                        return Json::List(all);
                    }
                    Some(_) => all.push(parse_value(text, at)),
                }
            }
        }
        Some(b'"') => Json::Text(parse_text(text, at)),
        Some(byte) if byte.is_ascii_digit() || *byte == b'-' => {
            let from = *at;
            while *at < text.len() && b"+-.eE0123456789".contains(&text[*at]) {
                *at += 1;
            }
            Json::Number(String::from_utf8_lossy(&text[from..*at]).parse().unwrap_or(0.0))
        }
        Some(byte) if byte.is_ascii_alphabetic() => {
            while *at < text.len() && text[*at].is_ascii_alphabetic() {
                *at += 1;
            }
            Json::Null
        }
        _ => {
            *at += 1;
            Json::Null
        }
    }
}

fn parse_text(text: &[u8], at: &mut usize) -> String {
    *at += 1;
    let mut bytes = Vec::new();
    while *at < text.len() && text[*at] != b'"' {
        if text[*at] == b'\\' {
            *at += 1;
        }
        bytes.push(text[*at]);
        *at += 1;
    }
    *at += 1;
    String::from_utf8_lossy(&bytes).into_owned()
}

const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = u32::from(group[0]) << 16
            | u32::from(*group.get(1).unwrap_or(&0)) << 8
            | u32::from(*group.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place <= group.len() {
                text.push(char::from(DIGITS[(number >> (18 - 6 * place) & 63) as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn decode64(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte))
        .map(|at| at as u32)
        .collect();
    let mut bytes = Vec::new();
    for group in digits.chunks(4) {
        let mut number = 0;
        for place in 0..4 {
            number = number << 6 | group.get(place).copied().unwrap_or(0);
        }
        for place in 0..group.len().saturating_sub(1) {
            bytes.push((number >> (16 - 8 * place) & 255) as u8);
        }
    }
    bytes
}

// ---------------------------------------------------------------- HTTP

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("/")
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Buffered end of a connection.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> bool {
        let mut piece = [0; 16_384];
        match self.stream.read(&mut piece) {
            Ok(0) | Err(_) => false,
            Ok(length) => {
                self.buffer.extend_from_slice(&piece[..length]);
                true
            }
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Some(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if !self.fill() {
                return None;
            }
        }
    }

    fn take(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill() {
                return None;
            }
        }
        Some(self.buffer.drain(..length).collect())
    }

    /// Reads the head of a message.
    pub fn head(&mut self) -> Option<Message> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(Message { first, headers, body: Vec::new() });
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body of a message to its end; `None` if it breaks off.
    pub fn body(&mut self, head: &Message, to_end: bool) -> Option<Vec<u8>> {
        if head.header("transfer-encoding").is_some_and(|text| text.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let size = usize::from_str_radix(self.line()?.split(';').next()?.trim(), 16).ok()?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Some(body);
                }
                body.extend(self.take(size)?);
                self.line()?;
            }
        }
        if let Some(length) = head.header("content-length").and_then(|text| text.parse().ok()) {
            return self.take(length);
        }
        if to_end {
            while self.fill() {}
            return Some(std::mem::take(&mut self.buffer));
        }
        Some(Vec::new())
    }

    pub fn send(&mut self, text: &str, body: &[u8]) -> bool {
        let mut bytes = text.as_bytes().to_vec();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).is_ok()
    }
}

/// Result of a client's request.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status; 0 if the connection failed or ended before the head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer came to its end.
    pub is_whole: bool,
}

/// Sends one request over a new connection and reads its answer.
pub fn call(address: SocketAddr, request: &str, body: &[u8], limit: Duration) -> Answer {
    let failed = Answer { status: 0, headers: Vec::new(), body: Vec::new(), is_whole: false };
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return failed;
    };
    let _ = stream.set_read_timeout(Some(limit));
    let _ = stream.set_write_timeout(Some(limit));
    let mut wire = Wire::new(stream);
    if !wire.send(request, body) {
        return failed;
    }
    let Some(head) = wire.head() else { return failed };
    let (status, body) = (head.status(), wire.body(&head, true));
    Answer { status, is_whole: body.is_some(), body: body.unwrap_or_default(), headers: head.headers }
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

/// Copy of the store's content.
#[derive(Clone)]
pub struct Copy {
    items: BTreeMap<String, Item>,
    revision: u64,
}

struct Content {
    items: BTreeMap<String, Item>,
    /// Changes: revision, key, and the item unless it was removed.
    changes: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    compacted: u64,
    era: u64,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    content: Arc<Mutex<Content>>,
    is_away: Arc<AtomicBool>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let content = Content {
            items: BTreeMap::new(),
            changes: Vec::new(),
            revision: 1,
            compacted: 0,
            era: 1,
        };
        let store = Self {
            address: listener.local_addr().unwrap(),
            content: Arc::new(Mutex::new(content)),
            is_away: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Wire::new(stream)));
            }
        });
        store
    }

    /// While the store is away, it closes each connection on which a call arrives.
    pub fn set_away(&self, is_away: bool) {
        self.is_away.store(is_away, Ordering::SeqCst);
    }

    pub fn copy(&self) -> Copy {
        let content = self.content.lock().unwrap();
        Copy { items: content.items.clone(), revision: content.revision }
    }

    /// Comes back from a copy: later changes are lost, revisions are given out again.
    pub fn restore(&self, copy: Copy) {
        let mut content = self.content.lock().unwrap();
        content.items = copy.items;
        content.revision = copy.revision;
        content.compacted = copy.revision;
        content.changes.clear();
        content.era += 1;
    }

    /// Writes in place of the operator or a server; returns false while the store is away.
    pub fn put(&self, key: &str, value: &str) -> bool {
        if self.is_away.load(Ordering::SeqCst) {
            return false;
        }
        self.content.lock().unwrap().put(key, value.as_bytes());
        true
    }

    pub fn remove(&self, key: &str) {
        self.content.lock().unwrap().remove(key);
    }

    pub fn value(&self, key: &str) -> Option<String> {
        let content = self.content.lock().unwrap();
        content.items.get(key).map(|item| String::from_utf8_lossy(&item.value).into_owned())
    }

    fn serve(&self, mut wire: Wire) {
        while let Some(mut call) = wire.head() {
            let Some(body) = wire.body(&call, false) else { return };
            call.body = body;
            if self.is_away.load(Ordering::SeqCst) {
                return;
            }
            let (status, body) = self.answer(&call);
            if self.is_away.load(Ordering::SeqCst) {
                return;
            }
            let era = self.content.lock().unwrap().era;
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            if !wire.send(&head, body.as_bytes()) {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let (path, query) = call.path().split_once('?').unwrap_or((call.path(), ""));
        let parameter = |name: &str| {
            let found = query.split('&').filter_map(|one| one.split_once('='));
            let found = found.filter(|(key, _)| *key == name).map(|(_, value)| decode_percent(value));
            found.last().unwrap_or_default()
        };
        match path {
            "/kv-key" => {
                let content = self.content.lock().unwrap();
                let key = parameter("key");
                match content.items.get(&key) {
                    Some(item) => (200, item.text(&key)),
                    None => (404, format!("{{\"current_rev\":{}}}", content.revision)),
                }
            }
            "/kv-range" => {
                let (prefix, after) = (parameter("path_prefix"), parameter("after_revision"));
                let content = self.content.lock().unwrap();
                let rows = content.items.iter().filter(|(key, _)| {
                    key.starts_with(&prefix) && (after.is_empty() || **key > after)
                });
                let rows: Vec<String> = rows.map(|(key, item)| item.text(key)).collect();
                let (rows, revision) = (rows.join(","), content.revision);
                let tail = format!("\"has_more\":false,\"current_rev\":{revision}");
                (200, format!("{{\"items\":[{rows}],{tail}}}"))
            }
            "/kv-watch" => {
                let prefix = parameter("path_prefix");
                let after: u64 = parameter("after_revision").parse().unwrap_or(0);
                let wait: u64 = parameter("wait_ms").parse().unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                let era = self.content.lock().unwrap().era;
                loop {
                    {
                        let content = self.content.lock().unwrap();
                        if content.era != era || after < content.compacted || after > content.revision
                        {
                            return (410, "{}".into());
                        }
                        let changes = content.changes.iter();
                        let rows: Vec<String> = changes
                            .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                            .map(|(revision, key, item)| match item {
                                Some(item) => item.text(key),
                                None => format!(
                                    "{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"
                                ),
                            })
                            .collect();
                        if !rows.is_empty() || Instant::now() >= end {
                            let (rows, revision) = (rows.join(","), content.revision);
                            return (200, format!("{{\"events\":[{rows}],\"current_rev\":{revision}}}"));
                        }
                    }
                    if self.is_away.load(Ordering::SeqCst) {
                        return (503, "{}".into());
                    }
                    thread::sleep(Duration::from_millis(10));
                }
            }
            "/kv-txn" => self.content.lock().unwrap().commit(&Json::parse(&call.body)),
            _ => (404, "{}".into()),
        }
    }
}

impl Content {
    fn put(&mut self, key: &str, value: &[u8]) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value: value.to_vec(), revision: self.revision, created };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.changes.push((self.revision, key.to_owned(), None));
        }
    }

    fn commit(&mut self, txn: &Json) -> (u16, String) {
        for row in txn.get("expected_revision").list() {
            let known = self.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            if known != row.get("revision").number() {
                return (412, format!("{{\"items\":[],\"current_rev\":{}}}", self.revision));
            }
        }
        for row in txn.get("puts").list() {
            let key = row.get("key").text().to_owned();
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".into());
            }
            self.put(&key, &decode64(row.get("value").text()));
        }
        for key in txn.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

impl Item {
    fn text(&self, key: &str) -> String {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0}}",
            encode64(&self.value),
            self.revision,
            self.created
        )
    }
}

fn decode_percent(text: &str) -> String {
    let (bytes, mut decoded, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|code| u8::from_str_radix(code, 16).ok());
        match code {
            Some(byte) if bytes[at] == b'%' => {
                decoded.push(byte);
                at += 3;
            }
            _ => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

// ---------------------------------------------------------------- servers

/// What a server does with a request that it runs: it writes the whole answer to the connection,
/// and returns whether the connection stays open.
pub type Work = Arc<dyn Fn(&Message, &mut Wire) -> bool + Send + Sync>;

/// A server, which registers itself and writes its entry every 1.2 s.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
}

pub struct ServerSettings<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub slots: u32,
}

impl Server {
    pub fn start(store: &Store, settings: &ServerSettings<'_>, work: Work) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (id, service, zone) =
            (settings.id.to_owned(), settings.service.to_owned(), settings.zone.to_owned());
        let slots = settings.slots;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let (own, beats) = (id.clone(), store.clone());
        thread::spawn(move || {
            for sequence in 1.. {
                let entry = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                     \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\
                     \"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
                );
                beats.put(&format!("servers/{own}"), &entry);
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        let own = id.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (work, own) = (work.clone(), own.clone());
                thread::spawn(move || serve(&own, Wire::new(stream), &work));
            }
        });
        Self { id, address }
    }
}

fn serve(id: &str, mut wire: Wire, work: &Work) {
    while let Some(mut request) = wire.head() {
        let Some(body) = wire.body(&request, false) else { return };
        request.body = body;
        if request.header("x-expected-instance").is_some_and(|expected| expected != id) {
            let head = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
            if !wire.send(head, b"") {
                return;
            }
            continue;
        }
        if !work(&request, &mut wire) {
            return;
        }
    }
}

/// Returns the head of a successful answer to a request.
pub fn success(request: &Message, server: &str) -> String {
    let id = request.header("x-attempt-id").unwrap_or("");
    format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: {server}.{id}\r\n")
}

// ---------------------------------------------------------------- the system

/// A process of the system, started with the command of the deploy file.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Site<'a> {
    /// Folder for settings and logs.
    pub folder: &'a str,
    pub store: SocketAddr,
    pub memory_mb: u32,
}

static NEXT: AtomicU64 = AtomicU64::new(0);

fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

impl Gateway {
    /// Writes the settings that the template of the deploy file gives, and starts the process.
    pub fn start(site: &Site<'_>, zone: &str) -> Self {
        let number = NEXT.fetch_add(1, Ordering::SeqCst) + 1;
        let name = format!("frontend-{zone}-{number}");
        let (callers, readiness, peers, neighbours) =
            (free_port(), free_port(), free_port(), free_port());
        let settings = PathBuf::from(site.folder).join(format!("{name}.jsonc"));
        let text = format!(
            r#"{{
  "instance": "{name}",
  "data_centre": "{zone}",
  "regions": {{"poa-a":"rs-gaucha","bnu-a":"sc-litoral","lda-a":"pr-norte"}},
  "callers": "{callers}",
  "readiness": "{readiness}",
  "peers": "{peers}",
  "neighbours": "{neighbours}",
  "store": "{store}",
  "revocation_ms": 5000,
  "propagation_ms": 2500,
  "requirements": ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","rollout"],
  "registration_interval_ms": 1200,
  "allowed_exposure": 0.15,
  "exposure_slack": 30,
  "retries": {{ "ratio": 0.9, "slack": 52, "window_ms": 10000 }},
  "grace_ms": 8000,
  "memory_mb": {memory},
  "file_descriptors": 4200,
  "log": "info"
}}
"#,
            store = site.store,
            memory = site.memory_mb,
        );
        std::fs::write(&settings, text).unwrap();
        let log = PathBuf::from(site.folder).join(format!("{name}.log"));
        let mut gateway = Self { name, callers, readiness, settings, log, child: None };
        gateway.spawn();
        gateway
    }

    pub fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new("target/release/hawthornmount")
            .arg("gateway")
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("HAWTHORNMOUNT_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                // The script ends what is left if this program doesn't come to its end.
                let pids = self.settings.with_file_name("pids");
                let pids = File::options().create(true).append(true).open(pids);
                let _ = writeln!(pids.unwrap(), "{}", child.id());
                self.child = Some(child);
            }
            Err(error) => {
                eprintln!("the gateway can't be started: {error}");
                std::process::exit(2);
            }
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().ok().flatten().is_some())
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the process is ready for clients.
    pub fn is_ready(&self) -> bool {
        let request = "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        call(self.readiness, request, b"", Duration::from_secs(1)).status == 200
    }

    pub fn await_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Returns the resident memory of the process in bytes.
    pub fn resident(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0) * 1_024
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns whether the disruption is left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|text| text == "0")
}

pub fn sleep_ms(time: u64) {
    thread::sleep(Duration::from_millis(time));
}
