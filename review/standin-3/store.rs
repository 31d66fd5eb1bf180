//! Stand-in of the platform's store.

use {
    crate::{
        http::{self, Message},
        json::{self, Json, from_base64, quote, to_base64},
    },
    std::{
        collections::BTreeMap,
        io::{BufReader, Write},
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

#[derive(Clone, Default)]
struct Content {
    items: BTreeMap<String, Item>,
    /// Changes in order: key, revision, and the item unless it was removed.
    events: Vec<(String, u64, Option<Item>)>,
    revision: u64,
}

struct State {
    content: Content,
    era: u64,
    leases: u64,
}

/// Addresses of servers as one machine sees them, in place of the real ones.
pub type Links = Vec<(SocketAddr, SocketAddr)>;

#[derive(Clone)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    pub fn new() -> Self {
        let content = Content { revision: 10, ..Content::default() };
        let state = State { content, era: 1, leases: 0 };
        Self(Arc::new((Mutex::new(state), Condvar::new())))
    }

    /// Serves one machine; servers' addresses are shown as that machine reaches them.
    pub fn listen(&self, links: Links) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (store, links) = (self.clone(), Arc::new(links));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, links) = (store.clone(), links.clone());
                thread::spawn(move || store.serve(stream, &links));
            }
        });
        address
    }

    /// Writes a key as the operator or a server, and returns the time of the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        let mut state = self.0.0.lock().unwrap();
        state.content.revision += 1;
        let revision = state.content.revision;
        state.content.put(key, value.as_bytes().to_vec(), revision);
        self.0.1.notify_all();
        Instant::now()
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.content.revision += 1;
        let revision = state.content.revision;
        state.content.remove(key, revision);
        self.0.1.notify_all();
    }

    fn serve(&self, stream: TcpStream, links: &Links) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = http::read_head(&mut reader) {
            http::read_body(&mut reader, &mut request, false);
            let (status, body) = self.answer(&request, links);
            let era = self.0.0.lock().unwrap().era;
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, links: &Links) -> (u16, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let found = query.split('&').filter_map(|pair| pair.split_once('='));
            found.filter(|pair| pair.0 == name).map(|pair| decode(pair.1)).next()
        };
        match (request.method(), path) {
            ("GET", "/kv-key") => {
                let state = self.0.0.lock().unwrap();
                let key = parameter("key").unwrap_or_default();
                match state.content.items.get(&key) {
                    Some(item) => (200, item_text(&key, item, links)),
                    None => (404, "{}".into()),
                }
            }
            ("GET", "/kv-range") => {
                let prefix = parameter("path_prefix").unwrap_or_default();
                let after = parameter("after_revision").unwrap_or_default();
                let state = self.0.0.lock().unwrap();
                let content = &state.content;
                let rows = content.items.range(after.clone()..);
                let rows = rows.filter(|row| row.0.starts_with(&prefix) && *row.0 != after);
                let items: Vec<String> =
                    rows.take(501).map(|row| item_text(row.0, row.1, links)).collect();
                let has_more = items.len() > 500;
                let items = items[..items.len().min(500)].join(",");
                let revision = content.revision;
                (
                    200,
                    format!(
                        r#"{{"items":[{items}],"has_more":{has_more},"current_rev":{revision}}}"#
                    ),
                )
            }
            ("GET", "/kv-watch") => {
                let prefix = parameter("path_prefix").unwrap_or_default();
                let after: u64 =
                    parameter("after_revision").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait: u64 =
                    parameter("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                self.watch(&prefix, after, Duration::from_millis(wait), links)
            }
            ("POST", "/kv-txn") => self.transact(&String::from_utf8_lossy(&request.body), links),
            ("POST", "/kv-lease") => {
                let mut state = self.0.0.lock().unwrap();
                state.leases += 1;
                (200, format!(r#"{{"lease":{},"lifetime_ms":3000}}"#, state.leases))
            }
            ("POST", _) if path.starts_with("/kv-keep/") => (200, r#"{"lifetime_ms":3000}"#.into()),
            _ => (404, "{}".into()),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration, links: &Links) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.0.0.lock().unwrap();
        let era = state.era;
        loop {
            if state.era != era {
                return (410, "{}".into());
            }
            if after > state.content.revision {
                return (410, "{}".into());
            }
            let events = state.content.events.iter();
            let events = events.filter(|event| event.1 > after && event.0.starts_with(prefix));
            let events: Vec<String> = events
                .map(|(key, revision, item)| match item {
                    Some(item) => item_text(key, item, links),
                    None => format!(
                        r#"{{"key":{},"revision":{revision},"tombstone":true}}"#,
                        quote(key)
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.content.revision);
                return (200, format!(r#"{{"events":[{events}],"current_rev":{revision}}}"#));
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str, links: &Links) -> (u16, String) {
        let Some(transaction) = json::parse(body) else { return (400, "{}".into()) };
        let mut state = self.0.0.lock().unwrap();
        let content = &mut state.content;
        let expected = transaction.get("expected_revision").list();
        let revision =
            |content: &Content, key: &str| content.items.get(key).map_or(0, |item| item.revision);
        if expected
            .iter()
            .any(|row| revision(content, row.get("key").text()) != row.get("revision").number())
        {
            let items = expected.iter().filter_map(|row| {
                let key = row.get("key").text();
                content.items.get(key).map(|item| item_text(key, item, links))
            });
            let items = items.collect::<Vec<_>>().join(",");
            return (412, format!(r#"{{"items":[{items}],"current_rev":{}}}"#, content.revision));
        }
        let keys = transaction.get("puts").list().iter().map(|row| row.get("key"));
        let keys = keys.chain(transaction.get("remove").list()).map(Json::text);
        if keys.into_iter().any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return (403, "{}".into());
        }
        content.revision += 1;
        let revision = content.revision;
        for row in transaction.get("puts").list() {
            content.put(row.get("key").text(), from_base64(row.get("value").text()), revision);
        }
        for key in transaction.get("remove").list() {
            content.remove(key.text(), revision);
        }
        self.0.1.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}

impl Content {
    fn put(&mut self, key: &str, value: Vec<u8>, revision: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((key.to_owned(), revision, Some(item)));
    }

    fn remove(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.events.push((key.to_owned(), revision, None));
        }
    }
}

fn item_text(key: &str, item: &Item, links: &Links) -> String {
    let mut value = item.value.clone();
    if key.starts_with("servers/") && !links.is_empty() {
        let mut text = String::from_utf8_lossy(&value).into_owned();
        for (from, to) in links {
            text = text.replace(&format!("\"{from}\""), &format!("\"{to}\""));
        }
        value = text.into_bytes();
    }
    format!(
        r#"{{"key":{},"value":"{}","revision":{},"created":{},"lease":0}}"#,
        quote(key),
        to_base64(&value),
        item.revision,
        item.created
    )
}

fn decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.bytes());
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(0));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
