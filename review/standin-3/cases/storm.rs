//! Exploration: servers and clients of many kinds at once, and checks of MIXED, UNASKED, TWICE, REFUSED and
//! ORDER on all that was sent, run and answered.

use {
    super::{Record, attempt_id},
    crate::{
        fleet::{Machine, ZONES},
        http::{self, Message},
        server,
        store::Store,
    },
    std::{
        collections::HashMap,
        env,
        io::{BufReader, Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        path::Path,
        sync::{Arc, Mutex, atomic::{AtomicBool, AtomicU64, Ordering}},
        thread,
        time::{Duration, Instant},
    },
};

const KEY: &str = "n2ctnfzs989anu6wsjnb";

#[derive(Clone, Debug, Default)]
struct Sent { method: String, target: String, body: Vec<u8>, kind: char }
#[derive(Clone, Debug)]
struct Ran { at: Instant, server: String, what: String }
#[derive(Default)]
struct World {
    sent: HashMap<String, Sent>,
    ran: HashMap<String, Vec<Ran>>,
    /// Whole bodies that servers made, by attempt id, with status.
    made: HashMap<String, Vec<(u16, Vec<u8>)>>,
    faults: Vec<String>,
    answers: HashMap<String, (u16, bool)>,
    counts: HashMap<String, u64>,
}
type Shared = Arc<Mutex<World>>;

fn random() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(88172645463325252);
    let mut x = STATE.fetch_add(0x9E3779B97F4A7C15, Ordering::Relaxed);
    x ^= x >> 30; x = x.wrapping_mul(0xBF58476D1CE4E5B9); x ^= x >> 27; x = x.wrapping_mul(0x94D049BB133111EB); x ^ (x >> 31)
}
fn chance(p: f64) -> bool { (random() % 1_000_000) as f64 / 1e6 < p }
fn below(n: u64) -> u64 { random() % n }

fn fault(world: &Shared, text: String) { world.lock().unwrap().faults.push(text); }
fn count(world: &Shared, name: &str) { *world.lock().unwrap().counts.entry(name.to_owned()).or_default() += 1; }

fn content(id: &str, server: &str, run: u64, size: usize) -> Vec<u8> {
    let unit = format!("{id}/{server}/{run}.");
    unit.bytes().cycle().take(size).collect()
}

fn head(status: &str, id: &str, more: &str) -> String {
    format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Server-Load: 1,0,6\r\n{more}\r\n")
}

fn serve(stream: TcpStream, server: &str, world: &Shared, trouble: f64, runs: &AtomicU64) {
    stream.set_read_timeout(Some(Duration::from_secs(20))).ok();
    let Ok(mut out) = stream.try_clone() else { return };
    out.set_nodelay(true).ok();
    let mut reader = BufReader::new(stream);
    loop {
        let mut request = match http::read_head(&mut reader) { Ok(Some(r)) => r, _ => return };
        let id = request.header("x-attempt-id").unwrap_or("").to_owned();
        let early = chance(trouble * 0.1) && request.header("content-length").and_then(|l| l.parse::<u64>().ok()).unwrap_or(0) > 30_000;
        if early {
            // Answers before it reads the body, keeps the connection, and reads on later.
            let more = "X-Not-Executed: 1\r\nContent-Length: 0\r\n";
            if out.write_all(head("503 Service Unavailable", &id, more).as_bytes()).is_err() { return; }
            count(world, "early");
            thread::sleep(Duration::from_millis(below(60)));
            http::read_body(&mut reader, &mut request, false);
            let sent = world.lock().unwrap().sent.get(&id).cloned().unwrap_or_default();
            if request.is_complete && request.body != sent.body { fault(world, format!("UNASKED other bytes in the rest of a body: {id}")); }
            if !request.is_complete { return; }
            continue;
        }
        http::read_body(&mut reader, &mut request, false);
        if !request.is_complete { return; }
        if request.header("x-expected-instance").is_some_and(|name| name != server) {
            if out.write_all(head("421 Misdirected", &id, "X-Not-Executed: 1\r\nContent-Length: 0\r\n").as_bytes()).is_err() { return; }
            continue;
        }
        if chance(trouble * 0.15) {
            count(world, "refused");
            let more = format!("X-Not-Executed: 1\r\nContent-Length: 4\r\n");
            if out.write_all((head("503 Service Unavailable", &id, &more) + "full").as_bytes()).is_err() { return; }
            continue;
        }
        let sent = { world.lock().unwrap().sent.get(&id).cloned() };
        let Some(sent) = sent else { fault(world, format!("UNASKED unknown id {id} {}", request.first)); return };
        if sent.method != request.method() || sent.target != request.target() || sent.body != request.body {
            fault(world, format!("UNASKED changed {id} {} sent {} {} body {} was {}", request.first, sent.method, sent.target, request.body.len(), sent.body.len()));
        }
        if request.header("x-tenant") != Some("hule930") || request.header("x-api-key").is_some() {
            fault(world, format!("UNASKED tenant {id} {:?}", request.headers));
        }
        let run = runs.fetch_add(1, Ordering::Relaxed);
        world.lock().unwrap().ran.entry(id.clone()).or_default().push(Ran { at: Instant::now(), server: server.to_owned(), what: String::new() });
        let is_open = if sent.kind == 's' { stream_answer(&mut out, &request, &id, server, world, trouble) } else { plain_answer(&mut out, &id, server, run, world, trouble) };
        if !is_open { return; }
    }
}

fn linger(out: &TcpStream) { server::reset_on_close(out); }

fn plain_answer(out: &mut TcpStream, id: &str, server: &str, run: u64, world: &Shared, trouble: f64) -> bool {
    let size = if chance(0.1) { 100_000 + below(300_000) as usize } else { below(3_000) as usize };
    let body = content(id, server, run, size);
    let made = |status: u16| world.lock().unwrap().made.entry(id.to_owned()).or_default().push((status, body.clone()));
    if chance(0.3) { thread::sleep(Duration::from_millis(below(60))); }
    let seal = format!("X-Response-Seal: {run}\r\n");
    let whole = |status: &str| { let mut b = head(status, id, &format!("{seal}Content-Length: {}\r\n", body.len())).into_bytes(); b.extend(&body); b };
    if !chance(trouble) {
        made(200);
        count(world, "good");
        return out.write_all(&whole("200 OK")).is_ok();
    }
    let kind = below(15);
    count(world, &format!("plain-{kind}"));
    match kind {
        0 => { made(500); out.write_all(&whole("500 Internal")).is_ok() }
        1 => { linger(out); out.shutdown(Shutdown::Both).ok(); false }
        2 => { let b = whole("200 OK"); out.write_all(&b[..b.len() * below(100) as usize / 100]).ok(); if chance(0.5) { linger(out); } out.shutdown(Shutdown::Both).ok(); false }
        3 => { made(200); let mut b = head("200 OK", id, &seal).into_bytes(); b.extend(&body); out.write_all(&b).ok(); out.shutdown(Shutdown::Both).ok(); false }
        4 => { let mut b = head("200 OK", id, &seal).into_bytes(); b.extend(&body[..body.len() / 2]); out.write_all(&b).ok(); thread::sleep(Duration::from_millis(20)); linger(out); false }
        5 => { // A second answer, also with the seal.
            made(200); let mut b = whole("200 OK"); b.extend(head("200 OK", id, &format!("X-Response-Seal: {run}\r\nContent-Length: 5\r\n")).bytes()); b.extend(b"extra"); out.write_all(&b).is_ok() }
        6 => { made(200); if out.write_all(&whole("200 OK")).is_err() { return false; } thread::sleep(Duration::from_millis(below(40)));
            let other = head("200 OK", id, "X-Response-Seal: 1\r\nContent-Length: 5\r\n") + "extra"; out.write_all(other.as_bytes()).is_ok() }
        7 => { made(200); let mut b = whole("200 OK"); b.extend(b"\x00\xffgarbage\r\n\r\n"); out.write_all(&b).is_ok() }
        8 => { out.write_all(b"garbage garbage\r\n\r\n").ok(); false }
        9 => { made(200); let mut b = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n".to_vec(); b.extend(whole("200 OK")); out.write_all(&b).is_ok() }
        10 => { made(200); let mut b = head("200 OK", id, &format!("{seal}Transfer-Encoding: chunked\r\n")).into_bytes();
            for c in body.chunks(1 + below(5000) as usize) { b.extend(format!("{:x};a=b\r\n", c.len()).bytes()); b.extend(c); b.extend(b"\r\n"); } b.extend(b"0\r\nTrailer: x\r\n\r\n");
            out.write_all(&b).is_ok() }
        11 => { let mut b = head("200 OK", id, &format!("{seal}Transfer-Encoding: chunked\r\n")).into_bytes();
            for c in body.chunks(700) { b.extend(format!("{:x}\r\n", c.len()).bytes()); b.extend(c); b.extend(b"\r\n"); } out.write_all(&b).ok(); out.shutdown(Shutdown::Both).ok(); false }
        12 => { made(200); let mut b = head("200 OK", id, &format!("{seal}Connection: close\r\nContent-Length: {}\r\n", body.len())).into_bytes(); b.extend(&body); out.write_all(&b).ok(); out.shutdown(Shutdown::Both).ok(); false }
        13 => { // Without a seal, or of another request.
            let h = if chance(0.5) { head("200 OK", id, &format!("Content-Length: {}\r\n", body.len())) } else { head("200 OK", "ffffffffffffffff", &format!("{seal}Content-Length: {}\r\n", body.len())) };
            let mut b = h.into_bytes(); b.extend(&body); out.write_all(&b).is_ok() }
        _ => { made(200); if out.write_all(&whole("200 OK")).is_err() { return false; } thread::sleep(Duration::from_millis(below(300))); false }
    }
}

fn event(id: &str, number: u64) -> String { format!("id: {number}\ndata: {id}-{number}-{}\n\n", "x".repeat((number * 37 % 300) as usize)) }

fn stream_answer(out: &mut TcpStream, request: &Message, id: &str, _server: &str, world: &Shared, trouble: f64) -> bool {
    let after: u64 = request.header("last-event-id").and_then(|t| t.parse().ok()).unwrap_or(0);
    let last = events_of(id);
    let unframed = chance(trouble * 0.2);
    let framing = if unframed { "" } else { "Transfer-Encoding: chunked\r\n" };
    let confidence = below(100);
    if out.write_all(head("200 OK", id, &format!("X-Response-Seal: s\r\nContent-Type: text/event-stream\r\nX-Confidence: {confidence}\r\n{framing}")).as_bytes()).is_err() { return false; }
    let break_at = if chance(trouble) { Some(after + below(last + 1 - after.min(last))) } else { None };
    let piece = |bytes: &[u8]| -> Vec<u8> { if unframed { bytes.to_vec() } else { let mut b = format!("{:x}\r\n", bytes.len()).into_bytes(); b.extend(bytes); b.extend(b"\r\n"); b } };
    for number in after + 1..=last {
        let text = event(id, number);
        if break_at == Some(number - 1) {
            let kind = below(5);
            count(world, &format!("stream-{kind}"));
            match kind {
                0 => { linger(out); return false; }
                1 if !unframed => { out.shutdown(Shutdown::Both).ok(); return false; }
                2 => { out.write_all(&piece(&text.as_bytes()[..1 + below(text.len() as u64 - 2) as usize])).ok(); if chance(0.5) { linger(out); } out.shutdown(Shutdown::Both).ok(); return false; }
                3 => { thread::sleep(Duration::from_millis(900 + below(1200))); }
                _ => { out.write_all(&piece(text.as_bytes())).ok(); thread::sleep(Duration::from_millis(3)); linger(out); return false; }
            }
        }
        let bytes = text.as_bytes();
        let cut = if chance(0.2) { below(bytes.len() as u64) as usize } else { 0 };
        for part in [&bytes[..cut], &bytes[cut..]] {
            if !part.is_empty() && out.write_all(&piece(part)).is_err() { return false; }
        }
        if chance(0.3) { thread::sleep(Duration::from_millis(below(30))); }
    }
    if unframed { out.shutdown(Shutdown::Write).ok(); thread::sleep(Duration::from_millis(20)); return false; }
    out.write_all(b"0\r\n\r\n").is_ok()
}

fn events_of(id: &str) -> u64 { 3 + id.bytes().map(u64::from).sum::<u64>() % 23 }

fn config_of(version: u64) -> String {
    let mut seed = version;
    let mut word = || { seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407); format!("{:x}", seed >> 24) };
    let mut more = String::new();
    if number("PER_ZONE", 1) > 1 { for _ in 0..(version * 997) % 4000 { more += &format!(r#",{{"name":"r-{}","host":"{}.example","path_prefix":"/{}/","kind":"safe","timeout_ms":3000,"target_latency_ms":200,"priority":2,"service":"app","attempts":3,"allow_anonymous":false}}"#, word(), word(), word()); } }
    config().replacen("\"version\":3", &format!("\"version\":{version}"), 1).replacen("],\"services\"", &format!("{more}],\"services\""), 1)
}

fn config() -> String {
    let route = |name: &str, path: &str, kind: &str, service: &str, more: &str| format!(
        r#"{{"name":"{name}","host":"ficu95.example","path_prefix":"/{path}/","kind":"{kind}","timeout_ms":8000,"target_latency_ms":300,"priority":1,"service":"{service}","attempts":3,"allow_anonymous":false{more}}}"#);
    format!(r#"{{"version":3,"routes":[{},{},{}],"services":[{{"name":"app","health_path":"/health","connection_limit":110}},{{"name":"llm","health_path":"/health","connection_limit":370}}],"limits":{{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","access_keys":["{KEY}"],"priority":1}}]}}"#,
        route("unsafe", "puxa403", "unsafe", "app", ""), route("safe", "cufi504", "safe", "app", ""),
        route("stream", "lohu930", "streaming", "llm", r#","session_affinity":true,"stream_resumption":true,"gap_target_ms":400,"sizes":["m0","m2"]"#))
}

fn number(name: &str, default: u64) -> u64 { env::var(name).ok().and_then(|t| t.parse().ok()).unwrap_or(default) }

pub fn run(temporary: &Path, has_trouble: bool, record: &mut Record) -> bool {
    let store = Store::new();
    let world: Shared = Arc::default();
    let trouble = if has_trouble { number("LEVEL", 30) as f64 / 100.0 } else { 0.0 };
    let (mut servers, mut entries) = (Vec::new(), Vec::new());
    let runs = Arc::new(AtomicU64::new(1));
    let calm = Arc::new(AtomicBool::new(false));
    for (service, n) in [("app", 6), ("llm", 6)] {
        for k in 0..n {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let id = format!("i-{service}{k}");
            let (name, world, runs, calm) = (id.clone(), world.clone(), runs.clone(), calm.clone());
            thread::spawn(move || for stream in listener.incoming().flatten() {
                let (name, world, runs) = (name.clone(), world.clone(), runs.clone());
                let trouble = if calm.load(Ordering::SeqCst) { 0.0 } else { trouble };
                thread::spawn(move || serve(stream, &name, &world, trouble, &runs));
            });
            servers.push(address);
            entries.push((id, service, address, ZONES[k % 3]));
        }
    }
    let beat = move |store: &Store, sequence: u64| for (id, service, address, zone) in &entries {
        store.put(&format!("servers/{id}"), &format!(r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":48,"state":"ready","cold_remaining_ms":0,"sequence":{sequence}}}"#));
    };
    store.put("op/config", &config());
    beat(&store, 1);
    let is_over = Arc::new(AtomicBool::new(false));
    { let (store, is_over) = (store.clone(), is_over.clone());
      thread::spawn(move || for sequence in 2.. { thread::sleep(Duration::from_millis(1200)); if is_over.load(Ordering::SeqCst) { return; } beat(&store, sequence); }); }
    let per_zone = number("PER_ZONE", 1) as usize;
    let mut machines: Vec<Machine> = Vec::new();
    for zone in &ZONES[..if per_zone > 1 { 2 } else { 3 }] { for n in 0..per_zone { machines.push(Machine::start(temporary, &format!("frontend-{zone}-{n}"), zone, &store, &servers)); } }
    let total = machines.len();
    machines.iter().for_each(Machine::wait_ready);
    thread::sleep(Duration::from_secs(3));
    let clients: Vec<_> = (0..number("CLIENTS", 40)).map(|n| {
        let (world, is_over) = (world.clone(), is_over.clone());
        let addresses: Vec<SocketAddr> = machines.iter().map(|m| m.callers).collect();
        thread::spawn(move || while !is_over.load(Ordering::SeqCst) { client(addresses[n as usize % addresses.len()], &world); })
    }).collect();
    let until = Instant::now() + Duration::from_secs(number("RUN_S", 30));
    let rolls = number("ROLL", 0);
    let mut turn = 0;
    let chaos = number("CHAOS", 0) > 0 && has_trouble;
    let mut undo: Vec<(Instant, char, usize)> = Vec::new();
    let mut copies = vec![store.copy()];
    let mut version = 3;
    while Instant::now() < until || !undo.is_empty() {
        thread::sleep(Duration::from_millis(if chaos { 100 + below(500) } else { 500 }));
        let now = Instant::now();
        let due: Vec<_> = undo.iter().filter(|u| u.0 <= now || now >= until).cloned().collect();
        undo.retain(|u| !(u.0 <= now || now >= until));
        for (_, what, at) in due {
            record.line(now, &format!("undo {what} {at}"));
            match what {
                'c' => machines[at].links.iter().for_each(server::Link::heal),
                's' => machines[at].signal(18),
                'a' => store.set_away(false),
                't' => { machines[at].kill(); machines[at].run(); }
                _ => {}
            }
        }
        if chaos && now < until {
            let at = below(total as u64) as usize;
            let what = ['c', 'c', 's', 'k', 'a', 'r', 't', 'g', 'g', 'c'][below(10) as usize];
            let busy = |w: char| undo.iter().any(|u| u.1 == w && u.2 == at);
            let length = Duration::from_millis(500 + below(3500));
            if !busy(what) && !busy('t') && !(what == 'k' && busy('s')) && !(what == 't' && busy('s')) && !(what == 's' && busy('s')) {
                record.line(now, &format!("do {what} {at} {length:?}"));
                *world.lock().unwrap().counts.entry(format!("chaos-{what}")).or_default() += 1;
                match what {
                    'c' => { machines[at].links.iter().for_each(server::Link::cut); undo.push((now + length, 'c', at)); }
                    's' => { machines[at].signal(19); undo.push((now + length, 's', at)); }
                    'k' => { machines[at].kill(); machines[at].run(); }
                    'a' => { store.set_away(true); undo.push((now + length, 'a', at)); }
                    'r' => { let k = copies.len().saturating_sub(6); store.restore(&copies[k]); copies.clear(); thread::sleep(Duration::from_millis(300)); store.put("op/config", &config_of(version)); }
                    't' => { machines[at].signal(15); undo.push((now + Duration::from_secs(8), 't', at)); }
                    _ => { version += 1; store.put("op/config", &config_of(version)); }
                }
            }
            copies.push(store.copy());
            if copies.len() > 30 { copies.remove(0); }
        }
        if rolls > 0 && has_trouble {
            let at = turn % machines.len(); turn += 1;
            machines[at].signal(15);
            let end = Instant::now() + Duration::from_secs(9);
            while !machines[at].has_ended() && Instant::now() < end { thread::sleep(Duration::from_millis(50)); }
            machines[at].kill();
            machines[at].run();
            machines[at].wait_ready();
        }
        if !chaos { for machine in &mut machines { if machine.has_ended() { fault(&world, format!("process ended: {}", machine.name)); machine.run(); } } }
    }
    if chaos {
        calm.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_secs(12));
        for machine in &machines {
            let mut good = 0;
            for _ in 0..20 {
                let id = attempt_id();
                world.lock().unwrap().sent.insert(id.clone(), Sent { method: "GET".into(), target: "/cufi504/fi50/2f".into(), body: Vec::new(), kind: 'f' });
                let head = format!("GET /cufi504/fi50/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\nX-Time-Remaining: 3000\r\nX-Api-Key: {KEY}\r\nConnection: close\r\n\r\n");
                good += u64::from(http::call(machine.callers, &head, b"", Duration::from_secs(4)).is_ok_and(|a| a.status() == 200));
            }
            let ready = machine.is_ready();
            record.line(Instant::now(), &format!("{} serves {good} of 20, ready {ready}", machine.name));
            if good < 18 { fault(&world, format!("STUCK {} {good} of 20 ready {ready}", machine.name)); let to = format!("/tmp/stuck-{}-{}.log", std::process::id(), machine.name); std::fs::write(to, machine.log()).ok(); }
        }
    }
    is_over.store(true, Ordering::SeqCst);
    for c in clients { c.join().ok(); }
    thread::sleep(Duration::from_secs(1));
    let world = world.lock().unwrap();
    let mut bad = world.faults.clone();
    for (id, sent) in &world.sent {
        let ran = world.ran.get(id).map_or(0, Vec::len);
        if sent.kind == 'u' && ran > 1 { bad.push(format!("TWICE {id} {:?}", world.ran[id])); }
        if let Some((status, _)) = world.answers.get(id) {
            if sent.kind == 'u' && matches!(status, 429 | 503 | 408 | 421) && ran > 0 { bad.push(format!("REFUSED {id} {status} {:?}", world.ran[id])); }
            if matches!(status, 400..=407 | 409..=420 | 300..=399) { bad.push(format!("DENIED {id} {status}")); }
        }
    }
    let mut counts: Vec<_> = world.counts.iter().collect(); counts.sort();
    record.line(Instant::now(), &format!("{counts:?} sent {} ", world.sent.len()));
    for b in &bad { record.line(Instant::now(), b); }
    println!("{} requests, {} bad; {counts:?}", world.sent.len(), bad.len());
    for b in bad.iter().take(12) { println!("{}", &b[..b.len().min(300)]); }
    !bad.is_empty()
}

/// Uses one connection for some requests.
fn client(address: SocketAddr, world: &Shared) {
    let mut stream = match TcpStream::connect_timeout(&address, Duration::from_secs(1)) { Ok(s) => s, Err(e) => { count(world, &format!("no connection {e}")); thread::sleep(Duration::from_millis(50)); return } };
    stream.set_read_timeout(Some(Duration::from_secs(12))).ok();
    stream.set_nodelay(true).ok();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    for _ in 0..1 + below(12) {
        let id = attempt_id();
        let kind = ['u', 'f', 's', 'u'][below(4) as usize];
        let (method, target) = match kind { 'u' => ("POST", format!("/puxa403/{}?q={}%20x", below(99), below(9))), 'f' => (["GET", "POST"][below(2) as usize], "/cufi504/fi50/2f".to_owned()), _ => ("POST", "/lohu930/2f".to_owned()) };
        let size = if method == "GET" { 0 } else if chance(0.15) { 40_000 + below(300_000) as usize } else { below(2_000) as usize };
        let body = content(&id, "client", 0, size);
        world.lock().unwrap().sent.insert(id.clone(), Sent { method: method.into(), target: target.clone(), body: body.clone(), kind });
        let mut bytes = format!("{method} {target} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\nX-Time-Remaining: 8000\r\nX-Api-Key: {KEY}\r\nX-Tenant: forged\r\n").into_bytes();
        if kind == 's' { bytes.extend(b"X-Model: *\r\nX-Token-Counts: 200,40\r\nX-Prompt-Prefix: 5c1e07a2:100,91bd3f06:100\r\n"); }
        if method == "GET" { bytes.extend(b"\r\n"); }
        else if chance(0.4) {
            bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            for c in body.chunks(1 + below(8000) as usize) { bytes.extend(format!("{:x}\r\n", c.len()).bytes()); bytes.extend(c); bytes.extend(b"\r\n"); }
            bytes.extend(b"0\r\n\r\n");
        } else {
            if chance(0.1) { bytes.extend(b"Expect: 100-continue\r\n"); }
            bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes()); bytes.extend(&body);
        }
        let began = Instant::now();
        if stream.write_all(&bytes).is_err() { return; }
        if chance(0.05) { thread::sleep(Duration::from_millis(below(40))); count(world, "left"); return; }
        let mut answer = loop {
            match http::read_head(&mut reader) {
                Ok(Some(answer)) if answer.status() / 100 == 1 => continue,
                Ok(Some(answer)) => break answer,
                Ok(None) => { count(world, "closed without an answer"); return; }
                Err(e) => { count(world, &format!("no answer {e}")); return; }
            }
        };
        if kind == 's' && chance(0.1) { thread::sleep(Duration::from_millis(below(3000))); }
        http::read_body(&mut reader, &mut answer, true);
        let status = answer.status();
        count(world, &format!("status-{kind}-{status}{}", if answer.is_complete { "" } else { "-cut" }));
        { let ms = began.elapsed().as_millis() as u64; let mut w = world.lock().unwrap(); *w.counts.entry(format!("ms-{kind}")).or_default() += ms; if ms > 1000 { *w.counts.entry(format!("slow-{kind}-{}", size > 30000)).or_default() += 1; } }
        world.lock().unwrap().answers.insert(id.clone(), (status, answer.is_complete));
        if status == 200 && answer.header("x-response-seal").is_none() { fault(world, format!("MIXED no seal {id}")); }
        if let Some(other) = answer.header("x-attempt-id") { if other != id { fault(world, format!("MIXED other id {id} got {other}")); } }
        if kind == 's' && status == 200 {
            let whole: String = (1..=events_of(&id)).map(|n| event(&id, n)).collect();
            if answer.is_complete && answer.body != whole.as_bytes() { fault(world, format!("ORDER {id} complete but {} of {} bytes", answer.body.len(), whole.len())); }
            if !whole.as_bytes().starts_with(&answer.body) { fault(world, format!("ORDER {id} not a beginning")); }
        } else if status == 200 && answer.is_complete {
            let world_ = world.lock().unwrap();
            let made = world_.made.get(&id).cloned().unwrap_or_default();
            drop(world_);
            if !made.iter().any(|m| m.0 == 200 && m.1 == answer.body) { fault(world, format!("MIXED body {id} {} bytes; made {:?}", answer.body.len(), made.iter().map(|m| (m.0, m.1.len())).collect::<Vec<_>>())); }
        } else if answer.header("x-response-seal").is_some() && answer.is_complete {
            let made = world.lock().unwrap().made.get(&id).cloned().unwrap_or_default();
            if !made.iter().any(|m| m.0 == status && m.1 == answer.body) { fault(world, format!("MIXED failure {id} {status}")); }
        }
        if !answer.is_complete || answer.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close")) { return; }
        if chance(0.2) { thread::sleep(Duration::from_millis(below(200))); }
    }
}
