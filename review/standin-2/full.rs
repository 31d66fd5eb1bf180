//! Case: many clients send small requests at once, whole, and wait for their answers, which take long.
//!
//! Arguments: the folder of the case, and a temporary folder.

mod kit;

use {
    kit::*,
    std::{
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Servers of the model service, with the slots and the queue of the site.
const SERVERS: usize = 6;
const SLOTS: usize = 48;
const QUEUE: usize = 144;
/// Clients of the crowd. The streams that they ask for have pauses of 300 ms (800 are on time).
const CROWD: usize = 1_150;
const PAUSE: u64 = 300;
/// Clients that come later, each on a new connection for each booking.
const LATER: usize = 10;
/// `stability_window_ms` of the site, in seconds.
const WINDOW: f64 = 3.0;

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
         X-Prompt-Prefix: 5c1e07a2:50,{part:x}:50\r\nContent-Length: 2\r\n\r\n"
    )
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let record = Record::create(&format!("{}/record.txt", arguments[1]));
    let (folder, calm) = (&arguments[2], is_calm());
    let store = Store::start();
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
                    sleep_ms(PAUSE);
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
        let own = id.clone();
        let work: Work = Arc::new(move |request, wire| {
            sleep_ms(15);
            wire.send(&format!("{}Content-Length: 2\r\n\r\n", success(request, &own)), b"ok")
        });
        let settings = ServerSettings { id: &id, service: "agenda", zone: "poa-a", slots: 6 };
        Server::start(&store, &settings, work);
    }
    store.put("op/config", &configuration());
    let site = Site { folder, store: store.address, memory_mb: 110 };
    let gateway = Gateway::start(&site, "poa-a");
    if !gateway.await_ready(Duration::from_secs(10)) {
        eprintln!("the gateway is not ready");
        std::process::exit(2);
    }
    record.line("the machine is ready");
    let address = gateway.callers;
    if !calm {
        record.line(&format!("{CROWD} clients send one request each"));
        for number in 0..CROWD {
            let started = thread::Builder::new().stack_size(128 << 10).spawn(move || {
                let id = format!("{:016x}", 0x100_0000 + number);
                let request = stream_request(&id, 0x1_0000 + number);
                call(address, &request, b"hi", Duration::from_secs(25));
            });
            if started.is_err() {
                eprintln!("a client can't be started");
                std::process::exit(2);
            }
            if number % 10 == 9 {
                sleep_ms(20);
            }
        }
    }
    sleep_ms(1_000);
    // Later clients book on new connections; the platform asks whether the machine is ready.
    let end = Instant::now() + Duration::from_secs(10);
    let began = record.now();
    let taken: Arc<Mutex<Vec<f64>>> = Arc::default();
    let tries: Arc<Mutex<Vec<(f64, usize)>>> = Arc::default();
    let mut clients = Vec::new();
    for client in 0..LATER {
        let (record, taken, tries) = (record.clone(), taken.clone(), tries.clone());
        clients.push(thread::spawn(move || {
            let mut turn = 0;
            while Instant::now() < end {
                turn += 1;
                let id = format!("{:016x}", 0x1_0000_0000 + client * 0x1_0000 + turn);
                let request = format!(
                    "POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\n\
                     X-Time-Remaining: 2000\r\nContent-Length: 4\r\nConnection: close\r\n\r\n"
                );
                tries.lock().unwrap().push((record.now(), client));
                let answer = call(address, &request, b"book", Duration::from_secs(2));
                record.line(&format!("client {client} gets {} for {id}", answer.status));
                if answer.status != 0 {
                    taken.lock().unwrap().push(record.now());
                }
                sleep_ms(100);
            }
        }));
    }
    let mut not_ready: Vec<f64> = Vec::new();
    while Instant::now() < end {
        let is_ready = gateway.is_ready();
        record.line(&format!("the machine says that it is ready: {is_ready}"));
        if !is_ready {
            not_ready.push(record.now());
        }
        sleep_ms(500);
    }
    for client in clients {
        let _ = client.join();
    }
    let finished = record.now();
    drop(gateway);

    // The rule: a ready machine takes no new connection for 3 s while seven clients or more try.
    let mut marks = taken.lock().unwrap().clone();
    marks.extend(&not_ready);
    marks.extend([began, finished]);
    marks.sort_by(f64::total_cmp);
    let tries = tries.lock().unwrap();
    let clients_in = |from: f64, to: f64| {
        let inside = tries.iter().filter(|(at, _)| *at >= from && *at <= to);
        inside.map(|(_, client)| *client).collect::<std::collections::BTreeSet<_>>().len()
    };
    let spans = marks.windows(2).map(|pair| (pair[1] - pair[0], clients_in(pair[0], pair[1])));
    let longest = spans.filter(|(_, clients)| *clients >= 7).map(|(length, _)| length);
    let longest = longest.fold(0.0, f64::max);
    let (taken, all) = (taken.lock().unwrap().len(), tries.len());
    record.line(&format!(
        "result: {taken} of {all} new connections were taken; not ready {} times; longest span without one \
         while ready: {longest:.3} s (bound {WINDOW})",
        not_ready.len()
    ));
    let code = i32::from(longest > WINDOW);
    println!("taken={taken} of {all} not_ready={} longest={longest:.3} exit={code}", not_ready.len());
    std::process::exit(code);
}
