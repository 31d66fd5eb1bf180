//! BUDGET: a part of prompts crashes each server that begins to write an answer on it, before the head; the
//! address of a server that crashed is silent until it is back.

use {
    super::{Record, attempt_id},
    crate::{
        fleet::{Machine, ZONES},
        http, server,
        store::Store,
    },
    std::{
        io::{BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        path::Path,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const MACHINES: usize = 3;
/// `stability_window_ms` and `heartbeat_ms` of the deployments.
const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Times for which servers that crashed are away, in turn; an entry lapses after three heartbeats.
const DOWN_MS: [u64; 5] = [3_100, 3_450, 3_250, 3_600, 3_000];
const LAPSE: Duration = HEARTBEAT.saturating_mul(3);
/// Time after which a server crashes that has begun to run a request with the bad part.
const CRASH_TIME: Duration = Duration::from_millis(100);
/// Path of the streaming route.
const PATH: &str = "cufi504";
/// Interval at which requests with the bad part come, each time at another machine.
const BAD_GAP: Duration = Duration::from_millis(300);
/// Interval at which sound requests come at each machine.
const SOUND_GAP: Duration = Duration::from_millis(150);
/// Requests with one bad part come for so long, and those with another one after it.
const ROUND: Duration = Duration::from_millis(16_000);
const ROUNDS: usize = 4;
/// Requests that the rule allows after the fifth crash and the stability window.
const ALLOWED: usize = 3;

/// A server of the service. It crashes when it begins to write an answer on the bad part.
struct Server {
    place: usize,
    zone: &'static str,
    address: SocketAddr,
    /// Number of its start, which is part of its identifier.
    start: AtomicU64,
    is_up: AtomicBool,
    is_back: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    log: Log,
    store: Store,
}

type Log = Arc<Mutex<Vec<(Instant, String)>>>;

fn note(log: &Log, text: String) {
    log.lock().unwrap().push((Instant::now(), text));
}

impl Server {
    fn identifier(&self) -> String {
        format!("i-{}-{}", self.place, self.start.load(Ordering::SeqCst))
    }

    fn beat(&self, sequence: u64, born: u64) {
        let (id, address, zone) = (self.identifier(), self.address, self.zone);
        let entry = format!(
            r#"{{"service":"drafting-llm","address":"{address}","zone":"{zone}","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"sequence":{sequence},"born":{born}}}"#
        );
        self.store.put(&format!("servers/{id}"), &entry);
    }

    fn listen(self: &Arc<Self>, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a listener that does not block");
        self.is_up.store(true, Ordering::SeqCst);
        let server = self.clone();
        thread::spawn(move || {
            let fd = std::os::fd::AsRawFd::as_raw_fd(&listener);
            while server.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).ok();
                        stream.set_nodelay(true).ok();
                        if let Ok(kept) = stream.try_clone() {
                            server.open.lock().unwrap().push(kept);
                        }
                        let server = server.clone();
                        thread::spawn(move || server.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            // The address leaves new connections unanswered until the server is back.
            server::no_backlog(fd);
            let wait = Duration::from_millis(30);
            let fill: Vec<_> =
                (0..3).map(|_| TcpStream::connect_timeout(&server.address, wait)).collect();
            while !server.is_back.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(5));
            }
            drop(fill);
            drop(listener);
        });
        let server = self.clone();
        let start = self.start.load(Ordering::SeqCst);
        thread::spawn(move || {
            let born = 1_790_000_000_000 + start * 1_000_000;
            for sequence in 1.. {
                if !server.is_up.load(Ordering::SeqCst)
                    || server.start.load(Ordering::SeqCst) != start
                {
                    return;
                }
                server.beat(sequence, born);
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = http::read_head(&mut reader) {
            http::read_body(&mut reader, &mut request, false);
            let id = request.header("x-attempt-id").unwrap_or("").to_owned();
            let name = self.identifier();
            if !self.is_up.load(Ordering::SeqCst) || !request.is_complete {
                return;
            }
            if request.header("x-expected-instance").is_some_and(|expected| *expected != *name) {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {id}\r\n\
                     X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                out.write_all(head.as_bytes()).ok();
                continue;
            }
            let body = request.header("x-prompt-prefix").unwrap_or("").to_owned();
            let round = body.split(',').find(|part| part.starts_with("bad")).map(str::to_owned);
            if let Some(round) = round {
                note(&self.log, format!("run  {id} by {name}: {round}, it crashes"));
                thread::sleep(CRASH_TIME);
                return self.crash();
            }
            note(&self.log, format!("run  {id} by {name}"));
            thread::sleep(Duration::from_millis(30));
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nX-Confidence: 90\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            if out.write_all(head.as_bytes()).is_err() {
                return;
            }
            for number in 1..=6 {
                let event = format!("id: {number}\ndata: x\n\n");
                if out.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
                    return;
                }
                thread::sleep(Duration::from_millis(20));
            }
            if out.write_all(b"0\r\n\r\n").is_err() {
                return;
            }
        }
    }

    /// Ends all connections, and refuses new ones until the server starts again.
    fn crash(self: Arc<Self>) {
        if !self.is_up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.is_back.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(3));
        for stream in self.open.lock().unwrap().drain(..) {
            server::abort(&stream);
        }
        let gone = self.identifier();
        let (store, entry) = (self.store.clone(), format!("servers/{gone}"));
        thread::spawn(move || {
            thread::sleep(LAPSE);
            store.remove(&entry);
        });
        thread::spawn(move || {
            static NEXT: AtomicUsize = AtomicUsize::new(0);
            let down = DOWN_MS[NEXT.fetch_add(1, Ordering::SeqCst) % DOWN_MS.len()];
            thread::sleep(Duration::from_millis(down));
            self.is_back.store(true, Ordering::SeqCst);
            let listener = loop {
                match TcpListener::bind(self.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            self.start.fetch_add(1, Ordering::SeqCst);
            note(&self.log, format!("{} starts, in place of {gone}", self.identifier()));
            self.listen(listener);
        });
    }
}

fn config() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"dossier-draft","host":"ficu95.example","path_prefix":"/{PATH}/","kind":"streaming","timeout_ms":20000,"target_latency_ms":200,"priority":2,"service":"drafting-llm","attempts":3,"allow_anonymous":false,"session_affinity":true,"stream_resumption":true,"gap_target_ms":800,"sizes":["m0","m1"]}}],"services":[{{"name":"drafting-llm","health_path":"/health","connection_limit":110}}],"limits":{{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","access_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// Sends a request to a machine, and notes it and its answer. As a client does, it sends a request that was
/// refused or failed again once, to another machine and when the answer says.
fn send(machines: &[(String, SocketAddr)], at: usize, bad: Option<usize>, body: &str, log: &Log) {
    let mut at = at;
    let part = bad.map_or("cc01:400".to_owned(), |round| format!("bad{round}:400"));
    for _ in 0..2 {
        let (id, (name, address)) = (attempt_id(), &machines[at % machines.len()]);
        // No two requests are alike.
        let content = format!("{body} {id}");
        note(log, format!("sent {id} to {name}: /{PATH}/ {body}"));
        let head = format!(
            "POST /{PATH}/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n\
             X-Time-Remaining: 20000\r\nX-Api-Key: {KEY}\r\nConnection: close\r\nX-Model: *\r\n\
             X-Token-Counts: 1200,60\r\nX-Prompt-Prefix: aa01:500,{part},{id}:200\r\n\
             Content-Length: {}\r\n\r\n",
            content.len()
        );
        let answer = http::call(*address, &head, content.as_bytes(), Duration::from_secs(20));
        let status = answer.as_ref().map_or(0, http::Message::status);
        note(log, format!("answered {id}: {status} to {body}"));
        if status == 200 {
            return;
        }
        let after = answer.ok().and_then(|answer| answer.header("retry-after")?.parse().ok());
        thread::sleep(Duration::from_secs_f64(after.unwrap_or(0.1_f64).min(1.0)));
        at += 4;
    }
}

pub fn run(temporary: &Path, has_trouble: bool, record: &mut Record) -> bool {
    let (store, log) = (Store::new(), Log::default());
    store.put("op/config", &config());
    for (place, zone) in ZONES.iter().cycle().take(9).enumerate() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Server {
            place,
            zone,
            address: listener.local_addr().expect("an address"),
            start: AtomicU64::new(1),
            is_up: AtomicBool::new(false),
            is_back: AtomicBool::new(true),
            open: Mutex::default(),
            log: log.clone(),
            store: store.clone(),
        });
        server.listen(listener);
    }
    thread::sleep(Duration::from_millis(100));
    let mut machines: Vec<Machine> = Vec::new();
    for zone in ZONES {
        for number in 1..=MACHINES {
            let name = format!("frontend-{zone}-{number}");
            machines.push(Machine::start(temporary, &name, zone, &store, &[]));
        }
    }
    machines.iter().for_each(Machine::wait_ready);
    thread::sleep(Duration::from_secs(4));
    let addresses: Arc<Vec<(String, SocketAddr)>> =
        Arc::new(machines.iter().map(|machine| (machine.name.clone(), machine.callers)).collect());
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for at in 0..addresses.len() {
        let (addresses, log, is_over) = (addresses.clone(), log.clone(), is_over.clone());
        clients.push(thread::spawn(move || {
            for number in 0.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                send(&addresses, at, None, &format!("sound {at} {number}"), &log);
                thread::sleep(SOUND_GAP);
            }
        }));
    }
    thread::sleep(Duration::from_secs(2));
    for round in 1..=ROUNDS {
        let until = Instant::now() + ROUND;
        if has_trouble {
            let (addresses, log) = (addresses.clone(), log.clone());
            clients.push(thread::spawn(move || {
                for number in 0.. {
                    if Instant::now() >= until {
                        return;
                    }
                    let (addresses, log) = (addresses.clone(), log.clone());
                    thread::spawn(move || {
                        let body = format!("bad part {round}");
                        send(&addresses, number * 5 + round, Some(round), &body, &log);
                    });
                    thread::sleep(BAD_GAP);
                }
            }));
        }
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client ends");
    }
    let mut lines = log.lock().unwrap().clone();
    lines.sort_by_key(|line| line.0);
    record.lines(lines.clone());
    // The first such request that a start of a server runs is the one that crashes it.
    let mut crashed: Vec<(&str, &str)> = Vec::new();
    for (_, line) in lines.iter().filter(|line| line.1.ends_with(", it crashes")) {
        let server = line.split(' ').nth(4).unwrap_or("");
        if !crashed.iter().any(|one| one.0 == server) {
            crashed.push((server, &line[line.find(": ").unwrap_or(0)..]));
        }
    }
    let mut is_broken = false;
    for round in 1..=ROUNDS {
        let mark = format!(": bad{round}:400, it crashes");
        let runs: Vec<&(Instant, String)> =
            lines.iter().filter(|line| line.1.ends_with(&mark)).collect();
        let own: Vec<&str> = crashed.iter().filter(|one| one.1 == mark).map(|one| one.0).collect();
        let first_run = |server: &&str| {
            runs.iter().find(|run| run.1.split(' ').nth(4) == Some(*server)).map(|run| run.0)
        };
        let fifth = own.get(4).and_then(first_run).map(|at| at + CRASH_TIME);
        let is_late = |at: Instant| fifth.is_some_and(|fifth| at > fifth + STABILITY_WINDOW);
        let later = runs.iter().filter(|run| is_late(run.0)).count();
        is_broken |= later > ALLOWED;
        let text = format!(
            "bad part {round}: crashed {} servers, reached servers {} times, {later} of them later \
             than {} ms after the fifth crash{}",
            own.len(),
            runs.len(),
            STABILITY_WINDOW.as_millis(),
            if later > ALLOWED { ": BROKEN" } else { "" }
        );
        record.line(Instant::now(), &text);
        println!("{text}");
    }
    is_broken
}
