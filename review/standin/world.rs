//! Gateways as processes, servers, clients and the record of what they did.

use {
    crate::{http, store::Store},
    std::{
        fs::{self, File},
        io::{Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

pub const ZONES: [&str; 3] = ["poa-a", "bnu-a", "lda-a"];
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Writes a line for everything that was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} s  {text}");
    }
}

/// Returns a number that is new with each call.
pub fn next() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Returns a number that looks random.
pub fn noise() -> u64 {
    let mut number = next().wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ u64::from(std::process::id()) << 20;
    number = (number ^ number >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    number = (number ^ number >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ number >> 31
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// What a server does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// Runs it and answers.
    Answer,
    /// Crashes when it begins to run it.
    CrashAtRun,
    /// Crashes when it begins to write the answer: after the head and before the first event.
    CrashAtAnswer,
}

/// A request that arrived at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub attempt: String,
    pub server: String,
    pub act: Act,
}

/// Decides what servers do, given the head of a request.
pub type Plan = dyn Fn(&http::Message) -> Act + Send + Sync;

/// Service with its servers.
pub struct Service {
    pub name: &'static str,
    pub is_engine: bool,
    pub slots: u32,
    /// Time until a request begins to run.
    pub start: Duration,
    /// Events of an answer and the time between two.
    pub events: (u32, Duration),
    /// Time after which a server that has crashed is back.
    pub back_after: Duration,
    pub plan: Box<Plan>,
    pub store: Store,
    pub record: Record,
    pub arrivals: Mutex<Vec<Arrival>>,
    pub crashes: Mutex<Vec<(Instant, String)>>,
    pub runs: Mutex<Vec<Arc<Run>>>,
    pub is_over: AtomicBool,
}

/// One start of a server.
pub struct Run {
    pub id: String,
    pub zone: &'static str,
    pub address: SocketAddr,
    is_alive: AtomicBool,
    /// Whether its entry is written.
    is_listed: AtomicBool,
    running: AtomicU64,
    streams: Mutex<Vec<TcpStream>>,
}

impl Service {
    /// Starts a server in each of the zones, `each` times.
    pub fn start(self: &Arc<Self>, each: usize) {
        for zone in ZONES {
            for _ in 0..each {
                self.start_server(zone);
            }
        }
    }

    fn start_server(self: &Arc<Self>, zone: &'static str) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        listener.set_nonblocking(true).expect("a listener can be non-blocking");
        let address = listener.local_addr().expect("bound");
        let run = Arc::new(Run {
            id: format!("i-{:010x}", noise() >> 24),
            zone,
            address,
            is_alive: AtomicBool::new(true),
            is_listed: AtomicBool::new(true),
            running: AtomicU64::new(0),
            streams: Mutex::default(),
        });
        let (service, accepting) = (self.clone(), run.clone());
        thread::spawn(move || {
            while accepting.is_alive.load(Ordering::SeqCst) && !service.is_over() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            accepting.streams.lock().unwrap().push(copy);
                        }
                        let (service, run) = (service.clone(), accepting.clone());
                        thread::spawn(move || service.serve(&run, zone, stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        self.runs.lock().unwrap().push(run.clone());
        let service = self.clone();
        thread::spawn(move || service.beat(&run, zone, address));
    }

    /// Writes the entry of a server until it has crashed, and removes it after three intervals.
    fn beat(&self, run: &Run, zone: &str, address: SocketAddr) {
        let (key, born) = (format!("servers/{}", run.id), unix_ms());
        let mut sequence = 0;
        while run.is_alive.load(Ordering::SeqCst) && run.is_listed.load(Ordering::SeqCst) {
            sequence += 1;
            let (name, slots) = (self.name, self.slots);
            self.store.put(
                &key,
                &format!(
                    "{{\"service\":\"{name}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                     \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\
                     \"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
                ),
            );
            thread::sleep(HEARTBEAT);
        }
        if run.is_listed.load(Ordering::SeqCst) {
            thread::sleep(HEARTBEAT * 2);
            self.store.remove(&key);
        }
    }

    /// Lets a server leave without a word: its entry is removed, and it goes on serving.
    pub fn leave(&self, run: &Run) {
        run.is_listed.store(false, Ordering::SeqCst);
        // The heartbeat under way must not write the entry again.
        thread::sleep(HEARTBEAT + Duration::from_millis(100));
        self.store.remove(&format!("servers/{}", run.id));
    }

    /// Ends a server that has left: its connections close, and its port refuses new ones.
    pub fn exit(&self, run: &Run) {
        run.is_alive.store(false, Ordering::SeqCst);
        for stream in run.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    /// Ends a server: its connections close, and its port refuses new ones. Another start of it comes
    /// back later.
    fn crash(self: &Arc<Self>, run: &Run, zone: &'static str, attempt: &str) {
        if !run.is_alive.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record.line(&format!("server {} crashes, it ran {attempt}", run.id));
        self.crashes.lock().unwrap().push((Instant::now(), attempt.to_owned()));
        for stream in run.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let service = self.clone();
        thread::spawn(move || {
            thread::sleep(service.back_after);
            if !service.is_over() {
                service.start_server(zone);
            }
        });
    }

    fn serve(self: &Arc<Self>, run: &Run, zone: &'static str, mut stream: TcpStream) {
        let mut buffer = http::Buffer::default();
        while let Ok(Some(request)) = http::read(&mut stream, &mut buffer) {
            if !run.is_alive.load(Ordering::SeqCst) {
                return;
            }
            run.running.fetch_add(1, Ordering::SeqCst);
            let done = self.answer(run, zone, &mut stream, &request);
            run.running.fetch_sub(1, Ordering::SeqCst);
            if done.is_none() {
                return;
            }
        }
    }

    /// Answers a request; `None` ends the connection.
    fn answer(
        self: &Arc<Self>,
        run: &Run,
        zone: &'static str,
        stream: &mut TcpStream,
        request: &http::Message,
    ) -> Option<()> {
        let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
        if request.target() == "/health" {
            let head = format!("X-Instance: {}\r\nContent-Length: 0\r\n\r\n", run.id);
            return http::write(stream, &format!("HTTP/1.1 200 OK\r\n{head}")).ok();
        }
        let refusal = if attempt.is_empty() {
            Some(400)
        } else if request.header("x-expected-instance").is_some_and(|id| id != run.id) {
            Some(421)
        } else {
            None
        };
        if let Some(status) = refusal {
            let head = format!("X-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\n");
            let text = format!("HTTP/1.1 {status} X\r\n{head}Content-Length: 0\r\n\r\n");
            return http::write(stream, &text).ok();
        }
        let act = (self.plan)(request);
        let server = run.id.clone();
        let arrival = Arrival { at: Instant::now(), attempt: attempt.clone(), server, act };
        self.arrivals.lock().unwrap().push(arrival);
        if act != Act::Answer {
            self.record.line(&format!("{attempt} reaches server {}", run.id));
        }
        thread::sleep(self.start);
        if act == Act::CrashAtRun {
            self.crash(run, zone, &attempt);
            return None;
        }
        let (running, slots) = (run.running.load(Ordering::SeqCst), self.slots);
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: {:016x}\r\n\
             X-Server-Load: {running},0,{slots}\r\n",
            noise()
        );
        if !self.is_engine {
            return http::write(stream, &format!("{head}Content-Length: 5\r\n\r\nhello")).ok();
        }
        let head = format!(
            "{head}X-Confidence: 90\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        http::write(stream, &head).ok()?;
        if act == Act::CrashAtAnswer {
            thread::sleep(Duration::from_millis(5));
            self.crash(run, zone, &attempt);
            return None;
        }
        let first = request.header("last-event-id").and_then(|text| text.parse::<u32>().ok());
        let (count, pause) = self.events;
        for id in first.unwrap_or(0) + 1..=count {
            if id > 1 {
                thread::sleep(pause);
            }
            if !run.is_alive.load(Ordering::SeqCst) {
                return None;
            }
            let event = format!("id: {id}\ndata: event {id} of {attempt}\n\n");
            http::write(stream, &format!("{:x}\r\n{event}\r\n", event.len())).ok()?;
        }
        http::write(stream, "0\r\n\r\n").ok()
    }
}

/// A gateway process.
pub struct Gateway {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub child: Child,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Folder for temporary files, which is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), noise()));
        fs::create_dir_all(&path).expect("a temporary folder can be created");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Starts a gateway in a zone, with settings as `deploy/gateway.jsonc.tmpl` gives them on the site
/// agenda-vitrine.
pub fn start_gateway(folder: &Folder, store: SocketAddr, zone: &str, number: usize) -> Gateway {
    let name = format!("frontend-{zone}-{number}");
    let ports: Vec<TcpListener> =
        (0..4).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port is free")).collect();
    let addresses: Vec<SocketAddr> =
        ports.iter().map(|port| port.local_addr().expect("bound")).collect();
    drop(ports);
    let (callers, readiness, peers, neighbours) =
        (addresses[0], addresses[1], addresses[2], addresses[3]);
    let settings = format!(
        "{{ \"instance\": \"{name}\", \"data_centre\": \"{zone}\",\n\
         \"regions\": {{ \"poa-a\": \"rs-gaucha\", \"bnu-a\": \"sc-litoral\", \"lda-a\": \"pr-norte\" }},\n\
         \"callers\": \"{callers}\", \"readiness\": \"{readiness}\", \"peers\": \"{peers}\",\n\
         \"neighbours\": \"{neighbours}\", \"store\": \"{store}\", \"revocation_ms\": 5000,\n\
         \"propagation_ms\": 2500, \"requirements\": [\"base\",\"drain\",\"config\",\"cost\",\
         \"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"rollout\"],\n\
         \"registration_interval_ms\": 1200, \"allowed_exposure\": 0.15,\n\
         \"retries\": {{ \"ratio\": 0.9, \"slack\": 52, \"window_ms\": 10000 }},\n\
         \"grace_ms\": 8000, \"log\": \"info\" }}\n"
    );
    let path = folder.0.join(format!("{name}.jsonc"));
    fs::write(&path, settings).expect("the settings can be written");
    let log = File::create(folder.0.join(format!("{name}.log"))).expect("a log can be written");
    let mut command = Command::new("target/release/hawthornmount");
    command.arg("gateway").env_clear().env("HAWTHORNMOUNT_BOOT", &path);
    let errors = log.try_clone().expect("a file can be shared");
    let child = command.stdin(Stdio::null()).stdout(log).stderr(errors).spawn();
    let child = child.expect("the gateway starts; build it first");
    Gateway { callers, readiness, child }
}

/// Starts gateways in all zones and waits until they are ready and registered. A port that was free may
/// be taken by another program before a gateway listens on it, so that is tried up to three times.
pub fn start_fleet(folder: &Folder, store: &Store, each: usize) -> Option<Vec<Gateway>> {
    (0..3).find_map(|_| try_start_fleet(folder, store, each))
}

fn try_start_fleet(folder: &Folder, store: &Store, each: usize) -> Option<Vec<Gateway>> {
    let places = ZONES.iter().flat_map(|zone| (1..=each).map(move |number| (*zone, number)));
    let mut fleet: Vec<Gateway> = places
        .map(|(zone, number)| start_gateway(folder, store.address, zone, number))
        .collect();
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until {
        if fleet.iter_mut().any(|one| !matches!(one.child.try_wait(), Ok(None))) {
            return None;
        }
        let are_ready = fleet.iter().all(|one| is_ready(one.readiness));
        if are_ready && store.count("hawthornmount/instance") >= fleet.len() {
            thread::sleep(Duration::from_millis(2_500));
            return Some(fleet);
        }
        thread::sleep(Duration::from_millis(100));
    }
    None
}

pub fn is_ready(address: SocketAddr) -> bool {
    let request = "GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    call(address, request, Duration::from_secs(1)).status == 200
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub is_complete: bool,
    pub body: String,
}

/// Sends a request over a new connection and reads the answer, for at most `patience`.
pub fn call(address: SocketAddr, request: &str, patience: Duration) -> Answer {
    let mut answer = Answer::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return answer;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(patience));
    if stream.write_all(request.as_bytes()).is_err() {
        return answer;
    }
    let mut buffer = http::Buffer::default();
    let Ok(Some(head)) = http::read_head(&mut stream, &mut buffer) else { return answer };
    answer.status = head.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    let until = Instant::now() + patience;
    let mut bytes = buffer.0;
    let mut piece = [0; 16_384];
    let length: Option<usize> = head.header("content-length").and_then(|text| text.parse().ok());
    loop {
        let is_whole = match length {
            Some(length) => bytes.len() >= length,
            None => bytes.ends_with(b"0\r\n\r\n"),
        };
        if is_whole {
            answer.is_complete = true;
            break;
        }
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(_) if Instant::now() > until => break,
            Ok(length) => bytes.extend_from_slice(&piece[..length]),
        }
    }
    answer.body = String::from_utf8_lossy(&bytes).into_owned();
    answer
}
