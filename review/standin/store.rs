//! The platform's store: keys, ranges, watches and transactions, as PROTOCOL.md describes them.

use {
    crate::{http, json},
    std::{
        collections::BTreeMap,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Changes with their keys; `None` for a removal.
    changes: Vec<(u64, String, Option<Item>)>,
    revision: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let state = State { revision: 100, ..State::default() };
        let store = Self { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        self.state.0.lock().unwrap().put(key, value.as_bytes().to_vec());
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.0.lock().unwrap().remove(key);
        self.state.1.notify_all();
    }

    pub fn count(&self, prefix: &str) -> usize {
        let state = self.state.0.lock().unwrap();
        state.items.keys().filter(|key| key.starts_with(prefix)).count()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = http::Buffer::default();
        while let Ok(Some(request)) = http::read(&mut stream, &mut buffer) {
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.answer(&request);
            let answer = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: 1\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if http::write(&mut stream, &answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> (u16, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        match path {
            "/kv-key" => {
                let key = parameter(query, "key");
                let state = self.state.0.lock().unwrap();
                match state.items.get(&key) {
                    Some(item) => (200, item.text(&key)),
                    None => (404, format!("{{\"current_rev\":{}}}", state.revision)),
                }
            }
            "/kv-range" => {
                let (prefix, after) =
                    (parameter(query, "path_prefix"), parameter(query, "after_revision"));
                let state = self.state.0.lock().unwrap();
                let listed = state.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                let items: Vec<String> = listed
                    .filter(|(key, _)| **key > after)
                    .map(|(key, item)| item.text(key))
                    .collect();
                let (more, items) = (items.len() > 500, &items[..items.len().min(500)]);
                let (items, rev) = (items.join(","), state.revision);
                (200, format!("{{\"items\":[{items}],\"has_more\":{more},\"current_rev\":{rev}}}"))
            }
            "/kv-watch" => self.watch(query),
            "/kv-txn" => self.commit(&request.body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, query: &str) -> (u16, String) {
        let prefix = parameter(query, "path_prefix");
        let after: u64 = parameter(query, "after_revision").parse().unwrap_or(0);
        let wait: u64 = parameter(query, "wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().unwrap();
        loop {
            if after > state.revision {
                return (410, "{}".to_owned());
            }
            let newer = state.changes.iter().filter(|change| change.0 > after);
            let events: Vec<String> = newer
                .filter(|change| change.1.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item.text(key),
                    None => format!(
                        "{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, rev) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"current_rev\":{rev}}}"));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, body: &[u8]) -> (u16, String) {
        let Some(txn) = json::parse(body) else { return (400, "{}".to_owned()) };
        let mut state = self.state.0.lock().unwrap();
        let rows = txn.get("expected_revision").list();
        let holds = rows.iter().all(|row| {
            let item = state.items.get(row.get("key").text());
            row.get("revision").number() as u64 == item.map_or(0, |item| item.revision)
        });
        if !holds {
            let current = rows.iter().map(|row| row.get("key").text());
            let items: Vec<String> = current
                .filter_map(|key| state.items.get(key).map(|item| item.text(key)))
                .collect();
            let (items, rev) = (items.join(","), state.revision);
            return (412, format!("{{\"items\":[{items}],\"current_rev\":{rev}}}"));
        }
        for put in txn.get("puts").list() {
            state.put(put.get("key").text(), json::from_base64(put.get("value").text()));
        }
        for key in txn.get("remove").list() {
            state.remove(key.text());
        }
        self.state.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created };
        self.items.insert(key.to_owned(), item.clone());
        self.changes.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.changes.push((self.revision, key.to_owned(), None));
        }
    }
}

impl Item {
    fn text(&self, key: &str) -> String {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":0}}",
            json::base64(&self.value),
            self.revision,
            self.created
        )
    }
}

fn parameter(query: &str, name: &str) -> String {
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    let found = fields.filter(|field| field.0 == name).map(|field| field.1).next();
    let (mut out, bytes) = (Vec::new(), found.unwrap_or("").as_bytes());
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let code = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
            out.push(u8::from_str_radix(code, 16).unwrap_or(b' '));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
