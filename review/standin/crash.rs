//! Requests, or parts of prompts, that crash the servers that run them.

use {
    crate::{
        Verdict,
        store::Store,
        world::{self, Act, Answer, Folder, Record, Service},
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// What crashes servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// One request, which comes again.
    Request,
    /// A part of prompts, in requests of which no two are alike.
    Part,
}

const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
const SOUND_TIME: Duration = Duration::from_secs(6);
const CRASHING_TIME: Duration = Duration::from_secs(40);
const KEY: &str = "key-of-acme";
/// Path and part that crash servers.
const DEADLY_PATH: &str = "/visits/deadly";
const DEADLY_PART: &str = "dead";

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"visit-dossier","host":"agenda.example",
"path_prefix":"/visits/","kind":"streaming","timeout_ms":25000,"target_latency_ms":3000,"priority":0,
"service":"redator","attempts":3,"allow_anonymous":false,"stream_resumption":true,"gap_target_ms":800,
"session_affinity":true}],"services":[{"name":"redator","health_path":"/health",
"connection_limit":290}],"limits":{"header_bytes":32768,"body_bytes":4194304,
"header_timeout_ms":5000,"idle_timeout_ms":15000},
"tenants":[{"name":"acme","access_keys":["key-of-acme"],"priority":1}]}"#;

/// Returns a request; sound ones share the key and the first part with those that crash servers.
fn request(attempt: &str, path: &str, prompt: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: agenda.example\r\nX-Attempt-Id: {attempt}\r\n\
         X-Model: m1\r\nX-Token-Counts: 1200,60\r\nX-Prompt-Prefix: {prompt}\r\n\
         X-Time-Remaining: 25000\r\nX-Api-Key: {KEY}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn play(record: &Record, is_disturbed: bool, kind: Kind) -> Verdict {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let service = Arc::new(Service {
        name: "redator",
        is_engine: true,
        slots: 48,
        start: Duration::from_millis(40),
        events: (12, Duration::from_millis(70)),
        back_after: Duration::from_secs(3),
        plan: Box::new(move |request| match kind {
            Kind::Request if request.target() == DEADLY_PATH => Act::CrashAtRun,
            Kind::Part if has_deadly_part(request.header("x-prompt-prefix")) => Act::CrashAtAnswer,
            _ => Act::Answer,
        }),
        store: store.clone(),
        record: record.clone(),
        arrivals: Mutex::default(),
        crashes: Mutex::default(),
        runs: Mutex::default(),
        is_over: AtomicBool::new(false),
    });
    service.start(6);
    let folder = Folder::new();
    let fleet = world::start_fleet(&folder, &store, 2)?;
    let callers: Vec<SocketAddr> = fleet.iter().map(|one| one.callers).collect();
    // Sound requests a second: a usual load, or that of a quiet hour.
    let interval = match kind {
        Kind::Request => Duration::from_millis(50),
        Kind::Part => Duration::from_millis(1_000),
    };
    let began = Instant::now();
    let end = began + SOUND_TIME + CRASHING_TIME;
    let answers: Arc<Mutex<Vec<(bool, Answer)>>> = Arc::default();
    let mut clients = Vec::new();
    let (mut next_sound, mut next_deadly) = (began, began + SOUND_TIME);
    while Instant::now() < end {
        let now = Instant::now();
        let (is_deadly, text, attempt) = if now >= next_sound {
            next_sound += interval;
            let attempt = format!("{:016x}", world::noise());
            let own = world::next();
            let prompt = format!("5c1e07a2:800,91bd{:02x}:300,e{own:08x}:100", own % 16);
            (false, request(&attempt, &format!("/visits/{own}"), &prompt, "visit"), attempt)
        } else if now >= next_deadly && is_disturbed {
            next_deadly += Duration::from_millis(1_500);
            let attempt = format!("dead{:012x}", world::noise() >> 16);
            let text = match kind {
                Kind::Request => {
                    let prompt = "5c1e07a2:800,91bd03:300,e4402b7d:100";
                    request(&attempt, DEADLY_PATH, prompt, "the same body")
                }
                Kind::Part => {
                    let own = world::next();
                    let prompt = format!("5c1e07a2:800,{DEADLY_PART}:300,e{own:08x}:100");
                    request(&attempt, &format!("/visits/{own}"), &prompt, &format!("body {own}"))
                }
            };
            (true, text, attempt)
        } else {
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        let gateway = callers[(world::noise() % callers.len() as u64) as usize];
        let (answers, record) = (answers.clone(), record.clone());
        clients.push(thread::spawn(move || {
            if is_deadly {
                record.line(&format!("{attempt} is sent to {gateway}"));
            }
            let answer = world::call(gateway, &text, Duration::from_secs(25));
            if is_deadly || answer.status != 200 || !answer.is_complete {
                record.line(&format!(
                    "{attempt} is answered {}, {}",
                    answer.status,
                    if answer.is_complete { "whole" } else { "not whole" }
                ));
            }
            answers.lock().unwrap().push((is_deadly, answer));
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    service.is_over.store(true, Ordering::SeqCst);
    drop(fleet);
    let answers = answers.lock().unwrap();
    let sound: Vec<&Answer> = answers.iter().filter(|row| !row.0).map(|row| &row.1).collect();
    let whole = sound.iter().filter(|one| one.status == 200 && one.is_complete).count();
    record.line(&format!("sound requests: {} sent, {whole} answered whole", sound.len()));
    if whole * 10 < sound.len() * 5 {
        return None;
    }
    Some(judge(record, &service, kind))
}

fn has_deadly_part(prompt: Option<&str>) -> bool {
    prompt.unwrap_or("").split(',').any(|part| part.split(':').next() == Some(DEADLY_PART))
}

/// Counts the requests that reach servers later than the stability window after the crash from which the
/// rule counts: the third of a request, the fifth of a part. Of a request only repeats within one
/// attempt of a client count, of a part all.
fn judge(record: &Record, service: &Service, kind: Kind) -> bool {
    let crashes = service.crashes.lock().unwrap();
    record.line(&format!("servers crashed {} times", crashes.len()));
    let first = match kind {
        Kind::Request => 3,
        Kind::Part => 5,
    };
    if crashes.len() < first {
        return false;
    }
    let from = crashes[first - 1].0 + STABILITY_WINDOW;
    let arrivals = service.arrivals.lock().unwrap();
    let mut seen: BTreeMap<&str, u32> = BTreeMap::new();
    let mut late = 0;
    for arrival in arrivals.iter().filter(|one| one.act != Act::Answer) {
        let count = seen.entry(&arrival.attempt).or_default();
        *count += 1;
        let counts = kind == Kind::Part || *count > 1;
        late += u32::from(counts && arrival.at > from);
    }
    record.line(&format!(
        "later than {} ms after crash {first}: {late} {} reached servers, 3 are allowed",
        STABILITY_WINDOW.as_millis(),
        if kind == Kind::Request { "retries" } else { "requests" }
    ));
    late > 3
}
