//! Known instances of the fleet. Each instance writes one key when it first starts, and the key is
//! never deleted. An instance that no longer exists therefore only makes the other instances'
//! shares of the fleet's retry slack smaller.

use {
    crate::path::neighbour::Neighbour,
    hawthornmount_core::id::{DataCentreId, InstanceId},
    hawthornmount_fleet::role,
    hawthornmount_store::{Entry, Txn},
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
};

/// Key prefix of the instances.
const PREFIX: &str = "hawthornmount/instance/";
/// Role for which the instances of a data centre are ranked: reading the store for the others.
const READER: &str = "reader";

/// Number of known instances, shared with the traffic thread.
#[derive(Clone, Debug, Default)]
pub struct Size(Arc<AtomicUsize>);

/// How other instances reach an instance that relays the content of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Contact {
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// Address for frames of other instances.
    pub address: SocketAddr,
    /// Address for requests that other instances pass on; `None` if it takes none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub passed_requests: Option<SocketAddr>,
    /// Secret that authenticates the frames from and to the instance. Only instances of the fleet
    /// can read it.
    pub secret: Arc<str>,
}

/// Another instance of the same data centre that relays the content of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// Name of the instance.
    pub id: InstanceId,
    /// How the instance is reached.
    pub contact: Contact,
}

#[derive(Clone, Debug)]
struct Row {
    id: InstanceId,
    /// `None` for an instance that does not relay.
    contact: Option<Contact>,
}

/// Known instances in order of their names.
#[derive(Debug)]
pub struct Membership {
    own: InstanceId,
    /// Contact of this instance, or `None` if it does not relay.
    own_contact: Option<Contact>,
    rows: Vec<Row>,
    /// Own entry in the store.
    registered: Option<Entry>,
    size: Size,
}

impl Size {
    /// Returns the number of instances, or `None` while this instance does not know the others.
    pub fn get(&self) -> Option<usize> {
        match self.0.load(Ordering::Relaxed) {
            0 => None,
            size => Some(size),
        }
    }
}

impl Membership {
    /// Creates the membership for the instance `own`.
    pub const fn new(own: InstanceId, own_contact: Option<Contact>, size: Size) -> Self {
        Self { own, own_contact, rows: Vec::new(), registered: None, size }
    }

    /// Applies a key of the store, and returns whether it belongs to an instance.
    pub fn put(&mut self, entry: &Entry) -> bool {
        let Some(name) = entry.key.strip_prefix(PREFIX) else { return false };
        // The value of an instance that does not relay has no contact.
        let contact = serde_json::from_slice(&entry.value).ok();
        match self.rows.binary_search_by(|row| (*row.id).cmp(name)) {
            Ok(at) => self.rows[at].contact = contact,
            Err(at) => self.rows.insert(at, Row { id: name.into(), contact }),
        }
        if *self.own == *name {
            self.registered = Some(entry.clone());
        }
        self.publish();
        true
    }

    /// Applies a complete list of keys, given whether it contains a key: an instance whose key is
    /// missing registers again. Other instances stay known, so that the shares of the retry slack
    /// don't grow when the store loses keys.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&str) -> bool) {
        if self.registered.as_ref().is_some_and(|entry| !is_listed(&entry.key)) {
            self.registered = None;
        }
    }

    /// Returns the write that registers this instance, or `None` if it is registered with its
    /// current contact.
    pub fn registration(&self) -> Option<Txn> {
        let key = format!("{PREFIX}{}", self.own);
        let txn = match &self.registered {
            None => Txn::new().if_absent(&key),
            Some(entry) if self.is_reachable_at(entry) => return None,
            Some(entry) => Txn::new().if_unchanged(&key, entry.revision),
        };
        Some(txn.put(&key, encode(self.own_contact.as_ref())))
    }

    /// Returns the secret of this instance: the registered one, so that a restarted instance need
    /// not write its key again, or the one it was created with.
    pub fn secret(&self) -> Option<Arc<str>> {
        let registered = self.registered.as_ref().and_then(decode);
        registered.or(self.own_contact.clone()).map(|contact| contact.secret)
    }

    /// Returns the other instances of the data centre that relay, in the order in which they are
    /// followed, and the number of them that come before this instance. All instances that know
    /// the same members use the same order.
    pub fn ranked_peers(&self) -> (Vec<Peer>, usize) {
        let Some(own) = &self.own_contact else { return (Vec::new(), 0) };
        let peer = |row: &Row| {
            let contact = row.contact.clone().filter(|one| one.data_centre == own.data_centre)?;
            (row.id != self.own).then(|| Peer { id: row.id.clone(), contact })
        };
        let rank = |id: &InstanceId| role::place(id, READER);
        let mut peers: Vec<Peer> = self.rows.iter().filter_map(peer).collect();
        peers.sort_by_cached_key(|peer| std::cmp::Reverse(rank(&peer.id)));
        let own_rank = rank(&self.own);
        let before = peers.partition_point(|peer| rank(&peer.id) > own_rank);
        (peers, before)
    }

    /// Returns the names of all known instances, once this one is registered.
    pub fn names(&self) -> Option<Vec<InstanceId>> {
        let names = || self.rows.iter().map(|row| row.id.clone()).collect();
        self.registered.is_some().then(names)
    }

    /// Returns the other instances that take passed requests.
    pub fn neighbours(&self) -> Vec<Arc<Neighbour>> {
        let neighbour = |row: &Row| {
            let contact = row.contact.as_ref().filter(|_| row.id != self.own)?;
            Some(Arc::new(Neighbour {
                id: row.id.clone(),
                destination: format!("neighbour/{}", row.id).into(),
                data_centre: contact.data_centre.clone(),
                address: contact.passed_requests?,
                secret: contact.secret.clone(),
            }))
        };
        self.rows.iter().filter_map(neighbour).collect()
    }

    /// Returns the number of data centres in which instances relay, at least 1. Each of them has
    /// about one instance that reads the store.
    pub fn data_centres(&self) -> usize {
        let contacts = self.rows.iter().filter_map(|row| row.contact.as_ref());
        let mut names: Vec<&DataCentreId> = contacts.map(|contact| &contact.data_centre).collect();
        names.sort_unstable();
        names.dedup();
        names.len().max(1)
    }

    /// Returns whether the registered contact of this instance is its current one. The secret may
    /// differ: this instance uses the registered one.
    fn is_reachable_at(&self, entry: &Entry) -> bool {
        let registered = decode(entry);
        let address = |contact: &Contact| {
            (contact.data_centre.clone(), contact.address, contact.passed_requests)
        };
        registered.as_ref().map(address) == self.own_contact.as_ref().map(address)
    }

    /// Publishes the number of instances once this instance's own key is known.
    fn publish(&self) {
        if self.registered.is_some() {
            self.size.0.store(self.rows.len(), Ordering::Relaxed);
        }
    }
}

fn decode(entry: &Entry) -> Option<Contact> {
    serde_json::from_slice(&entry.value).ok()
}

/// Encodes the value of an instance's key; an instance that does not relay has an empty one.
fn encode(contact: Option<&Contact>) -> String {
    contact.and_then(|contact| serde_json::to_string(contact).ok()).unwrap_or_else(|| "{}".into())
}
