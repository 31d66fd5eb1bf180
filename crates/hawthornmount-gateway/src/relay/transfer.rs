//! Transfer of values that are too large to be sent with other changes, such as a configuration of
//! thousands of routes.
//!
//! A value is compressed and fetched in parts, over requests of their own, so that a change of a server
//! never waits for more than the parts under way. An instance sends a value to a few others at a time.
//! The others ask elsewhere: whoever has the value passes it on, so the time grows with the logarithm of
//! the number of instances. The store is asked only if no instance has sent the value in time.

use {
    super::{
        Link,
        message::{Fetch, Part},
    },
    crate::{
        follow::replica::{Deferral, MAX_INLINE_BYTES, Replica},
        membership::Peer,
    },
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    futures::future,
    hawthornmount_core::id::{InstanceId, Revision},
    hawthornmount_store::{Entry, Era, Store},
    std::{
        io::{self, Read, Write},
        pin::pin,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Size of a part.
const PART_BYTES: usize = 64 << 10;
/// Largest value.
const MAX_VALUE_BYTES: usize = 16 << 20;
/// Instances to which values are sent at a time.
const MAX_RECEIVERS: usize = 3;
/// Time after a part within which its receiver asks for the next one.
const RECEIVER_LIFETIME: Duration = Duration::from_millis(400);
/// Delay after which another instance is asked for a value.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Time after which the store is asked for a value that no instance has sent.
const STORE_DELAY: Duration = Duration::from_millis(1_200);

/// A compressed value.
struct Packed {
    key: Arc<str>,
    /// Era of the store, in which the revision was assigned.
    era: Era,
    revision: Revision,
    created: Revision,
    bytes: Vec<u8>,
}

struct Receiver {
    id: InstanceId,
    expires_at: Instant,
}

/// Values that this instance sends to others.
#[derive(Default)]
pub struct Outbox {
    /// Value that was sent last.
    packed: Option<Packed>,
    receivers: Vec<Receiver>,
}

impl Outbox {
    /// Returns the part of a value that another instance asks for, or `None` if the replica does not
    /// have the value or it is sent to enough others.
    pub fn part(
        &mut self,
        replica: &Replica,
        receiver: &InstanceId,
        fetch: &Fetch,
        now: Instant,
    ) -> Option<Part> {
        self.receivers.retain(|one| one.expires_at > now && one.id != *receiver);
        if self.receivers.len() >= MAX_RECEIVERS {
            return None;
        }
        let (packed, offset) = self.value(replica, fetch)?;
        let offset = usize::try_from(offset).ok().filter(|at| *at < packed.bytes.len())?;
        let end = packed.bytes.len().min(offset + PART_BYTES);
        let part = Part {
            revision: packed.revision,
            created: packed.created,
            offset: u32::try_from(offset).ok()?,
            length: u32::try_from(packed.bytes.len()).ok()?,
            bytes: packed.bytes[offset..end].to_vec(),
        };
        if end < packed.bytes.len() {
            let expires_at = now + RECEIVER_LIFETIME;
            self.receivers.push(Receiver { id: receiver.clone(), expires_at });
        }
        Some(part)
    }

    /// Returns the compressed value of a request, and the position at which the part begins.
    fn value(&mut self, replica: &Replica, fetch: &Fetch) -> Option<(&Packed, u32)> {
        let era = replica.cursor().stamp.era;
        self.packed.take_if(|packed| packed.era != era);
        let is_sent =
            |packed: &Packed| packed.key == fetch.key && packed.revision == fetch.revision;
        if fetch.offset > 0 && self.packed.as_ref().is_some_and(is_sent) {
            return self.packed.as_ref().map(|packed| (packed, fetch.offset));
        }
        let entry = replica.get(&fetch.key)?;
        if entry.revision < fetch.revision || entry.value.len() <= MAX_INLINE_BYTES {
            return None;
        }
        let is_packed =
            |packed: &Packed| packed.key == entry.key && packed.revision == entry.revision;
        if !self.packed.as_ref().is_some_and(is_packed) {
            let bytes = compress(&entry.value)
                .inspect_err(|error| log::error!("a value can't be compressed; cause={error}"));
            self.packed = Some(Packed {
                key: entry.key.clone(),
                era,
                revision: entry.revision,
                created: entry.created,
                bytes: bytes.ok()?,
            });
        }
        let offset = if entry.revision == fetch.revision { fetch.offset } else { 0 };
        self.packed.as_ref().map(|packed| (packed, offset))
    }
}

/// Fetches the value of a deferred change from any of the instances that may have it: first from `peer`,
/// then from the others in a random order. The store is asked as well if none has sent it in time. Waits
/// until one has it.
pub async fn fetch(
    link: Arc<dyn Link>,
    store: Arc<dyn Store>,
    peer: Peer,
    others: Vec<Peer>,
    wanted: Deferral,
) -> Entry {
    let from_peers = pin!(fetch_from_peers(&*link, peer, &others, &wanted));
    let from_store = pin!(fetch_from_store(&*store, &wanted));
    future::select(from_peers, from_store).await.factor_first().0
}

async fn fetch_from_peers(
    link: &dyn Link,
    peer: Peer,
    others: &[Peer],
    wanted: &Deferral,
) -> Entry {
    let mut source = &peer;
    let mut received = Received { revision: wanted.revision, length: 0, bytes: Vec::new() };
    loop {
        if let Some(entry) = received.fetch_from(link, source, &wanted.key).await {
            return entry;
        }
        tokio::time::sleep(spread(RETRY_DELAY)).await;
        if !others.is_empty() {
            source = &others[rand::random_range(0..others.len())];
        }
    }
}

async fn fetch_from_store(store: &dyn Store, wanted: &Deferral) -> Entry {
    loop {
        tokio::time::sleep(spread(STORE_DELAY)).await;
        match store.get(&wanted.key).await {
            Ok(Some(entry)) if entry.revision >= wanted.revision => return entry,
            Ok(_) => log::warn!("the store lacks a deferred value; key={}", wanted.key),
            Err(error) => log::info!("a deferred value can't be read; cause={error}"),
        }
    }
}

/// Returns a time of half to one and a half times another, so that not all instances act at once.
fn spread(time: Duration) -> Duration {
    time.mul_f64(0.5 + rand::random::<f64>())
}

/// Parts of a compressed value that have arrived. They are the same at all instances of a build.
struct Received {
    revision: Revision,
    length: usize,
    bytes: Vec<u8>,
}

impl Received {
    /// Fetches the parts that are left from one instance. Returns `None` if it does not send them all.
    async fn fetch_from(&mut self, link: &dyn Link, peer: &Peer, key: &Arc<str>) -> Option<Entry> {
        loop {
            let offset = u32::try_from(self.bytes.len()).ok()?;
            let request = Fetch { key: key.clone(), revision: self.revision, offset };
            let answer = link.fetch(peer, request).await;
            let answer = answer.inspect_err(|failed| {
                log::info!("a deferred value was not sent; peer={} cause={failed}", peer.id);
            });
            let part = answer.ok()??;
            self.add(&part)?;
            if self.bytes.len() >= self.length {
                let value = decompress(&std::mem::take(&mut self.bytes));
                let value = value.inspect_err(|error| {
                    log::warn!("a deferred value is damaged; peer={} cause={error}", peer.id);
                });
                let (key, revision) = (key.clone(), self.revision);
                return Some(Entry {
                    key,
                    value: value.ok()?.into(),
                    revision,
                    created: part.created,
                });
            }
        }
    }

    /// Adds a part; one of another revision is the first of its value. Returns `None` if it does not
    /// continue what has arrived.
    fn add(&mut self, part: &Part) -> Option<()> {
        let length = part.length as usize;
        if (part.revision, length) != (self.revision, self.length) {
            self.bytes.clear();
            (self.revision, self.length) = (part.revision, length);
        }
        if part.bytes.is_empty() || part.offset as usize != self.bytes.len() {
            return None;
        }
        self.bytes.extend(&part.bytes);
        Some(())
    }
}

fn compress(value: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(value)?;
    encoder.finish()
}

fn decompress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    let mut value = Vec::new();
    let limit = u64::try_from(MAX_VALUE_BYTES).unwrap_or(u64::MAX);
    DeflateDecoder::new(bytes).take(limit + 1).read_to_end(&mut value)?;
    if value.len() > MAX_VALUE_BYTES {
        return Err(io::Error::other("the value is too large"));
    }
    Ok(value)
}
