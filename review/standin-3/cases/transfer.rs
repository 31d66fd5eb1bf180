//! Exploration: a reader is lost while it sends a large configuration on, and the store comes back from a
//! copy without it.

use {
    super::{Record, attempt_id},
    crate::{
        fleet::{Machine, ZONES},
        http,
        server::{self, Behaviour, Runs},
        store::Store,
    },
    std::{
        env,
        path::Path,
        sync::{Arc, atomic::{AtomicBool, Ordering}},
        thread,
        time::{Duration, Instant},
    },
};

const KEY: &str = "n2ctnfzs989anu6wsjnb";

fn number(name: &str, default: u64) -> u64 {
    env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn config(version: usize, service: &str, routes: usize) -> String {
    let mut seed = 12345_u64 + version as u64;
    let mut word = || {
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        format!("{:x}", seed >> 20)
    };
    let mut rows = vec![format!(r#"{{"name":"r-1","host":"ficu95.example","path_prefix":"/cufi504/","kind":"safe","timeout_ms":3000,"target_latency_ms":200,"priority":2,"service":"{service}","attempts":3,"allow_anonymous":true}}"#),
      format!(r#"{{"name":"r-2","host":"ficu95.example","path_prefix":"/puxa403/","kind":"safe","timeout_ms":3000,"target_latency_ms":200,"priority":2,"service":"{service}","attempts":3,"allow_anonymous":false}}"#)];
    for _ in 0..routes {
        rows.push(format!(r#"{{"name":"r-{}","host":"{}.example","path_prefix":"/{}/","kind":"safe","timeout_ms":3000,"target_latency_ms":200,"priority":2,"service":"{service}","attempts":3,"allow_anonymous":false}}"#, word(), word(), word()));
    }
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"old","health_path":"/health","connection_limit":110}},{{"name":"new","health_path":"/health","connection_limit":110}}],"limits":{{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","access_keys":["{KEY}"],"priority":1}}]}}"#,
        rows.join(",")
    )
}

pub fn run(temporary: &Path, has_trouble: bool, record: &mut Record) -> bool {
    let store = Store::new();
    let runs: Runs = Arc::default();
    let behave: Behaviour = Arc::new(|request, stream| {
        use std::io::Write;
        stream.write_all(&server::sealed(request, "200 OK", "done")).is_ok()
    });
    let mut entries = Vec::new();
    let mut servers = Vec::new();
    for service in ["old", "new"] {
        for n in 0..3 {
            let id = format!("i-{service}-{n}");
            let address = server::start(service, &id, runs.clone(), behave.clone());
            servers.push(address);
            entries.push((id, service, address));
        }
    }
    let beat = move |store: &Store, sequence: u64| {
        for (id, service, address) in &entries {
            store.put(&format!("servers/{id}"), &format!(r#"{{"service":"{service}","address":"{address}","zone":"attica-a","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":{sequence}}}"#));
        }
    };
    store.put("op/config", &config(1, "old", 3));
    beat(&store, 1);
    let is_over = Arc::new(AtomicBool::new(false));
    {
        let (store, is_over) = (store.clone(), is_over.clone());
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1_200));
                if is_over.load(Ordering::SeqCst) { return; }
                beat(&store, sequence);
            }
        });
    }
    let count = number("MACHINES", 5) as usize;
    let mut machines: Vec<Machine> = (0..count)
        .map(|n| Machine::start(temporary, &format!("frontend-attica-a-{n}"), ZONES[0], &store, &servers))
        .collect();
    machines.iter().for_each(Machine::wait_ready);
    let quota = number("QUOTA", 0) as f64 / 100.0;
    let flags: Vec<_> = if quota > 0.0 { machines.iter().enumerate().map(|(n, m)| m.limit_processor(quota, Duration::from_millis(n as u64 * 37 % 100))).collect() } else { Vec::new() };
    thread::sleep(Duration::from_secs(5));
    let copy = store.copy();
    thread::sleep(Duration::from_millis(number("COPY_MS", 4000)));
    let large = config(2, "new", number("ROUTES", 3500) as usize);
    let at = store.put("op/config", &large);
    record.line(at, &format!("version 2 is acknowledged, {} bytes", large.len()));
    let (reader, sent_at) = store.wait_reader();
    record.line(sent_at, &format!("{} has read it", machines[reader].name));
    if has_trouble {
        if number("KILL_MS", 30) < 10000 {
        thread::sleep(Duration::from_millis(number("KILL_MS", 30)));
        if let Some(f) = flags.get(reader) { f.store(false, Ordering::SeqCst); thread::sleep(Duration::from_millis(100)); }
        machines[reader].kill();
        record.line(Instant::now(), "the reader is killed");
        }
        thread::sleep(Duration::from_millis(number("RESTORE_MS", 250)));
        store.restore(&copy);
        record.line(Instant::now(), "the store comes back from a copy");
        thread::sleep(Duration::from_millis(1_500));
        let at = store.put("op/config", &large);
        record.line(at, "the operator writes version 2 again");
        if number("KILL_MS", 30) < 10000 { machines[reader].run(); }
    }
    thread::sleep(Duration::from_secs(8));
    let mut stuck = 0;
    for (path, key) in [("/cufi504/x", ""), ("/puxa403/x", KEY)] {
        for machine in &machines {
            let id = attempt_id();
            let key = if key.is_empty() { String::new() } else { format!("X-Api-Key: {key}\r\n") };
            let head = format!("GET {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: {id}\r\nX-Time-Remaining: 3000\r\n{key}Connection: close\r\n\r\n");
            let answer = http::call(machine.callers, &head, b"", Duration::from_secs(4));
            let service = runs.lock().unwrap().iter().find(|run| run.id == id).map(|run| run.service.clone());
            let status = answer.map(|a| a.status());
            if service.as_deref() != Some("new") { stuck += 1; }
            record.line(Instant::now(), &format!("{} {path}: {status:?} by {service:?}", machine.name));
        }
    }
    for machine in &machines {
        let log = machine.log();
        let lines: Vec<&str> = log.lines().filter(|l| l.contains("deferred") || l.contains("version=2") || l.contains("configuration in force")).collect();
        record.line(Instant::now(), &format!("{}: {}", machine.name, lines.join(" | ")));
    }
    is_over.store(true, Ordering::SeqCst);
    stuck > 0
}
