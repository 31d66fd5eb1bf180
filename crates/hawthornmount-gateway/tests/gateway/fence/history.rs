//! Content of the store, with the copy from which it can be restored.

use {
    super::codec::{CONFIG, ORDER, READY, SERVER},
    hawthornmount_gateway::{follow::era, membership::Contact, rollout::driver::RECORD_PREFIX},
    hawthornmount_store::{Entry, Event, Page, Stamp},
    std::sync::Arc,
};

/// What a list asks for.
#[derive(Clone, Debug)]
pub struct Question {
    pub prefix: Arc<str>,
    pub after: Option<Arc<str>>,
    pub limit: usize,
}

#[derive(Clone, Debug)]
struct Content {
    entries: Vec<Entry>,
    stamp: Stamp,
}

/// All contents of the store, one after each change.
#[derive(Clone, Debug)]
pub struct History {
    contents: Vec<Content>,
    /// Content before the last write of the operator or a server, and what that write put.
    copy: Option<(Content, Arc<str>, String)>,
    /// Changes of the records of roll-outs.
    pub records: Vec<Entry>,
    /// Whether the store states a new era after it was restored.
    states_era: bool,
}

impl History {
    /// Creates the content of a store with the first configuration, a server and `instances`.
    pub fn new(instances: usize, has_rollout: bool, states_era: bool) -> Self {
        let first = Content { entries: Vec::new(), stamp: Stamp { era: 1, revision: 0 } };
        let mut history =
            Self { contents: vec![first], copy: None, records: Vec::new(), states_era };
        for number in 0..instances {
            let contact = serde_json::to_string(&contact()).expect("a contact is encoded");
            history.put(&format!("hawthornmount/instance/{}", instance(number)), &contact);
        }
        history.put(era::KEY, r#"{"settled":1}"#);
        if has_rollout {
            history.put(ORDER, "v2");
        }
        history.put(SERVER, READY);
        history.put(CONFIG, "1");
        history
    }

    /// Returns the number of changes.
    pub const fn changes(&self) -> usize {
        self.contents.len()
    }

    /// Writes a value in place of the operator or a server.
    pub fn write(&mut self, key: &str, value: &str) {
        self.copy = Some((self.content().clone(), key.into(), value.to_owned()));
        self.put(key, value);
    }

    /// Writes the record of a roll-out in place of another instance.
    pub fn write_record(&mut self) {
        let key = format!("{RECORD_PREFIX}plain");
        let record = r#"{"order":1,"version":"v2","phase":"canary","canary_share":0.0}"#;
        self.put(&key, record);
        let entries = &self.contents[self.contents.len() - 1].entries;
        self.records.extend(entries.iter().find(|entry| *entry.key == *key).cloned());
    }

    /// Restores the copy that lacks the last write of the operator or a server, and returns that
    /// write.
    pub fn restore(&mut self) -> Option<(Arc<str>, String)> {
        let (mut content, key, value) = self.copy.take()?;
        content.stamp.era = self.content().stamp.era + u64::from(self.states_era);
        self.contents.push(content);
        Some((key, value))
    }

    /// Returns whether there is a copy.
    pub const fn can_restore(&self) -> bool {
        self.copy.is_some()
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        let mut entries = self.content().entries.iter();
        entries.find(|entry| *entry.key == *key).map(|entry| &*entry.value)
    }

    /// Returns the answer to a question, of the content without the last `lag` changes.
    pub fn page(&self, question: &Question, lag: usize) -> Page {
        let content = &self.contents[self.contents.len() - 1 - lag];
        let is_listed = |entry: &&Entry| {
            entry.key.starts_with(&*question.prefix)
                && question.after.as_ref().is_none_or(|after| entry.key > *after)
        };
        let mut listed = content.entries.iter().filter(is_listed);
        let entries: Vec<Entry> = listed.by_ref().take(question.limit).cloned().collect();
        Page { entries, more: listed.next().is_some(), stamp: content.stamp }
    }

    /// Returns the changes after a point in the history up to another one of the same era.
    pub fn events(&self, after: Stamp, until: Stamp) -> Vec<Event> {
        let is_meant = |one: &&Content| one.stamp > after && one.stamp <= until;
        let written = |one: &Content| {
            let is_new = |entry: &&Entry| entry.revision == one.stamp.revision;
            one.entries.iter().find(is_new).cloned().map(Event::Put)
        };
        self.contents.iter().filter(is_meant).filter_map(written).collect()
    }

    fn content(&self) -> &Content {
        &self.contents[self.contents.len() - 1]
    }

    fn put(&mut self, key: &str, value: &str) {
        let mut content = self.content().clone();
        content.stamp.revision += 1;
        let revision = content.stamp.revision;
        let found = content.entries.binary_search_by(|entry| (*entry.key).cmp(key));
        let created = found.map_or(revision, |at| content.entries[at].created);
        let entry = Entry { key: key.into(), value: value.to_owned().into(), revision, created };
        match found {
            Ok(at) => content.entries[at] = entry,
            Err(at) => content.entries.insert(at, entry),
        }
        self.contents.push(content);
    }
}

/// Returns the name of an instance.
pub fn instance(number: usize) -> String {
    format!("instance-{number}")
}

/// Returns how the instances reach each other.
pub fn contact() -> Contact {
    Contact {
        data_centre: "a".into(),
        address: ([127, 0, 0, 1], 1).into(),
        passed_requests: None,
        secret: "secret".into(),
    }
}
