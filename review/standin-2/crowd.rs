//! Case: many clients send bodies of legal size at once, whole, and wait for their answers.
//!
//! The platform's limit on memory is played by this program: it kills the machine's process once its
//! resident memory exceeds `memory_mb`.
//!
//! Arguments: the folder of the case, and a temporary folder.

mod kit;

use {
    kit::*,
    std::{
        collections::BTreeSet,
        net::TcpStream,
        sync::{
            Arc, Condvar, Mutex,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// `memory_mb` of a machine of the site.
const MEMORY_MB: u64 = 110;
/// Servers of the model service, with the slots and the queue of the site.
const SERVERS: usize = 6;
const SLOTS: usize = 48;
const QUEUE: usize = 144;
/// Clients of the crowd, and the sizes of their bodies and the parts of their prompts, which take 3.7 KB
/// in the head. The configuration allows bodies of 4 MB, and heads of 16 KB; bodies of the site have up to
/// 72 KB.
const CROWD: usize = 1_080;
const BODY: usize = 29_000;
const PARTS: usize = 336;
/// Ordinary clients.
const ORDINARY: usize = 18;

/// Requests at a server: those that run, and all.
#[derive(Default)]
struct Places(Mutex<(usize, usize)>, Condvar);

impl Places {
    /// Waits for a slot; returns false if the queue is full.
    fn enter(&self) -> bool {
        let mut taken = self.0.lock().unwrap();
        if taken.1 >= SLOTS + QUEUE {
            return false;
        }
        taken.1 += 1;
        while taken.0 >= SLOTS {
            taken = self.1.wait(taken).unwrap();
        }
        taken.0 += 1;
        true
    }

    fn leave(&self) {
        let mut taken = self.0.lock().unwrap();
        taken.0 -= 1;
        taken.1 -= 1;
        self.1.notify_one();
    }
}

fn route(name: &str, prefix: &str, kind: &str, service: &str, rest: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"path_prefix\":\"{prefix}\",\
         \"kind\":\"{kind}\",\"service\":\"{service}\",\"allow_anonymous\":false,{rest}}}"
    )
}

fn configuration() -> String {
    let stream = "\"timeout_ms\":25000,\"target_latency_ms\":3000,\"priority\":0,\"attempts\":3,\
                  \"session_affinity\":true,\"stream_resumption\":true,\"gap_target_ms\":800";
    let booking =
        "\"timeout_ms\":1000,\"target_latency_ms\":120,\"priority\":2,\"attempts\":1";
    format!(
        "{{\"version\":1,\"routes\":[{},{}],\"services\":[{{\"name\":\"redator\",\
         \"health_path\":\"/health\",\"connection_limit\":290}},{{\"name\":\"agenda\",\
         \"health_path\":\"/health\",\"connection_limit\":96}}],\"limits\":{{\"header_bytes\":16384,\
         \"body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        route("r-1", "/lohu930/", "streaming", "redator", stream),
        route("r-2", "/puxa403/", "unsafe", "agenda", booking),
    )
}

fn stream_request(id: &str, part: usize) -> String {
    format!(
        "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n\
         X-Time-Remaining: 25000\r\nX-Model: daka510000\r\nX-Token-Counts: 100,400\r\n\
         X-Prompt-Prefix: {}{part:x}:50\r\nContent-Length: {BODY}\r\n\r\n",
        "5c1e07a2:9,".repeat(PARTS)
    )
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let record = Record::create(&format!("{}/record.txt", arguments[1]));
    let (folder, calm) = (&arguments[2], is_calm());
    let store = Store::start();
    let received: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    for at in 0..SERVERS {
        let id = format!("i-{at}");
        let (own, places) = (id.clone(), Arc::new(Places::default()));
        let work: Work = Arc::new(move |request, wire| {
            let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
            let after: u32 =
                request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
            if !places.enter() {
                let head = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: {attempt}\r\n\
                     X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                return wire.send(&head, b"");
            }
            let head = format!(
                "{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                success(request, &own)
            );
            let mut is_open = wire.send(&head, b"");
            for event in after + 1..=64 {
                let text = format!("id: {event}\ndata: {}\n\n", "y".repeat(50));
                is_open = is_open && wire.send(&format!("{:x}\r\n{text}\r\n", text.len()), b"");
                if is_open {
                    sleep_ms(60);
                }
            }
            places.leave();
            is_open && wire.send("0\r\n\r\n", b"")
        });
        let settings =
            ServerSettings { id: &id, service: "redator", zone: "poa-a", slots: SLOTS as u32 };
        Server::start(&store, &settings, work);
    }
    for at in 0..3 {
        let id = format!("i-a{at}");
        let (own, received, record) = (id.clone(), received.clone(), record.clone());
        let work: Work = Arc::new(move |request, wire| {
            let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
            record.line(&format!("server {own} runs {attempt}"));
            received.lock().unwrap().insert(attempt);
            sleep_ms(20);
            wire.send(&format!("{}Content-Length: 2\r\n\r\n", success(request, &own)), b"ok")
        });
        let settings = ServerSettings { id: &id, service: "agenda", zone: "poa-a", slots: 6 };
        Server::start(&store, &settings, work);
    }
    store.put("op/config", &configuration());
    let site = Site { folder, store: store.address, memory_mb: MEMORY_MB as u32 };
    let mut gateway = Gateway::start(&site, "poa-a");
    if !gateway.await_ready(Duration::from_secs(10)) {
        eprintln!("the gateway is not ready");
        std::process::exit(2);
    }
    record.line(&format!("the machine is ready; resident={}", gateway.resident()));

    // Ordinary clients book over kept connections, one booking after the other.
    let address = gateway.callers;
    let is_over = Arc::new(AtomicBool::new(false));
    let whole = Arc::new(AtomicUsize::new(0));
    let others = Arc::new(AtomicUsize::new(0));
    let unanswered: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..ORDINARY {
        let (record, is_over) = (record.clone(), is_over.clone());
        let (whole, others, unanswered) = (whole.clone(), others.clone(), unanswered.clone());
        clients.push(thread::spawn(move || {
            let Ok(stream) = TcpStream::connect(address) else { return };
            let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
            let mut wire = Wire::new(stream);
            for turn in 0_usize.. {
                if is_over.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("{:016x}", 0x100_0000 * (number + 1) + turn);
                let request = format!(
                    "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n\
                     X-Time-Remaining: 2000\r\nContent-Length: 4\r\n\r\n"
                );
                record.line(&format!("client {number} books with {id}"));
                wire.send(&request, b"book");
                let head = wire.head();
                let body = head.as_ref().and_then(|head| wire.body(head, false));
                match (&head, body.is_some()) {
                    (Some(head), true) => {
                        record.line(&format!("client {number} gets {} for {id}", head.status()));
                        let counter = if head.status() == 200 { &whole } else { &others };
                        counter.fetch_add(1, Ordering::SeqCst);
                        // Each client pauses for another time, so that they don't book in step.
                        sleep_ms(5 + (number as u64 * 7 + turn as u64 * 3) % 9);
                    }
                    (Some(_), false) => {
                        record.line(&format!("client {number} gets a part of an answer to {id}"));
                        return;
                    }
                    (None, _) => {
                        record.line(&format!("client {number}: closed without an answer to {id}"));
                        // The first request of a connection is not one of a kept connection.
                        if turn > 0 {
                            unanswered.lock().unwrap().push(id);
                        }
                        return;
                    }
                }
            }
        }));
    }
    let is_watched = Arc::new(AtomicBool::new(true));
    let watched = is_watched.clone();
    let (memory, limit) = (record.clone(), MEMORY_MB << 20);
    let watcher = thread::spawn(move || {
        let (mut peak, mut is_killed) = (0, false);
        while watched.load(Ordering::SeqCst) {
            let resident = gateway.resident();
            if resident > peak + 5_000_000 {
                memory.line(&format!("resident={resident}"));
                peak = resident;
            }
            if resident > limit || gateway.has_ended() {
                memory.line(&format!(
                    "the platform kills the process: resident={resident} limit={limit}"
                ));
                gateway.kill();
                is_killed = true;
                break;
            }
            sleep_ms(5);
        }
        drop(gateway);
        (peak, is_killed)
    });
    sleep_ms(1_000);
    let crowd_answers = Arc::new(AtomicUsize::new(0));
    if !calm {
        record.line(&format!("{CROWD} clients send {BODY} bytes each"));
        for number in 0..CROWD {
            let answers = crowd_answers.clone();
            let started = thread::Builder::new().stack_size(128 << 10).spawn(move || {
                let id = format!("{:016x}", 0x100_0000 + number);
                let request = stream_request(&id, 0x1_0000 + number);
                let answer = call(address, &request, &vec![b'b'; BODY], Duration::from_secs(25));
                if answer.status == 200 && answer.is_whole {
                    answers.fetch_add(1, Ordering::SeqCst);
                }
            });
            if started.is_err() {
                eprintln!("a client can't be started");
                std::process::exit(2);
            }
            if number % 10 == 9 {
                sleep_ms(30);
            }
        }
    }
    let end = Instant::now() + Duration::from_secs(6);
    while Instant::now() < end && clients.iter().any(|client| !client.is_finished()) {
        sleep_ms(50);
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    is_watched.store(false, Ordering::SeqCst);
    let (peak, is_killed) = watcher.join().unwrap();

    // The rule: at most three requests from kept connections are passed on to sound servers and end
    // with a closed connection without an answer. A process that ends by itself counts as running.
    let received = received.lock().unwrap();
    let unanswered = unanswered.lock().unwrap();
    let lost: Vec<&String> = unanswered.iter().filter(|id| received.contains(*id)).collect();
    for id in &lost {
        record.line(&format!("lost: {id} was passed on to a sound server and got no answer"));
    }
    let (whole, others) = (whole.load(Ordering::SeqCst), others.load(Ordering::SeqCst));
    record.line(&format!(
        "result: peak={peak} killed={is_killed} ordinary whole={whole} refused or broken off={others} \
         unanswered={} passed on and unanswered={} crowd whole={}",
        unanswered.len(),
        lost.len(),
        crowd_answers.load(Ordering::SeqCst)
    ));
    let code = i32::from(is_killed && lost.len() > 3);
    println!("peak={peak} killed={is_killed} whole={whole} others={others} unanswered={} lost={} exit={code}", unanswered.len(), lost.len());
    std::process::exit(code);
}
