//! Sessions and the versions to which they are pinned.
//!
//! A pin is kept in three places: in a signed token that the caller sends along, at replicas, which
//! are instances selected by rendezvous hashing (two in the data centre and two in the whole
//! fleet), and in the ledger. The pin with the highest generation takes precedence. The generation
//! increases only when a session has to leave its version.

pub mod token;

#[cfg(test)]
mod tests;

use {
    async_trait::async_trait,
    bytes::Bytes,
    hawthornmount_core::{
        id::InstanceId,
        settings::Settings,
        snapshot::{Liveness, Member},
    },
    hawthornmount_fleet::{Fleet, Message, Responder, Topic},
    hawthornmount_ledger::{Ledger, Pin},
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, sync::Arc, time::Duration},
    token::Keys,
};

/// Maximum number of pins that an instance caches.
const MAX_PINS: usize = 20_000;
/// Number of replicas of a session's pin in a data centre, and likewise in the whole fleet.
const REPLICAS: usize = 2;
/// Time limit for the answer of a replica.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(100);
/// Time limit for the ledger, after which a request proceeds without its answer.
const LEDGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Message to a replica.
#[derive(Debug, Deserialize, Serialize)]
enum Command {
    /// Store a pin and return the one that takes precedence.
    Keep(Pin),
    /// Return the pin of a session.
    Find { account: Arc<str>, session: Arc<str> },
}

/// Pins sorted by account and session. Beyond [`MAX_PINS`], those inserted first are evicted.
#[derive(Default)]
struct Pins {
    entries: Vec<Entry>,
    /// Accounts and sessions in order of insertion.
    insertion_order: VecDeque<(Arc<str>, Arc<str>)>,
}

#[derive(Clone)]
struct Entry {
    pin: Pin,
    /// Whether the pin is known to be in the ledger.
    in_ledger: bool,
}

/// Pins of sessions, cached here and stored at replicas and in the ledger.
pub struct Sessions {
    ledger: Arc<dyn Ledger>,
    fleet: Arc<dyn Fleet>,
    keys: Keys,
    pins: Arc<Mutex<Pins>>,
}

impl Sessions {
    /// Creates an empty cache and starts to answer the requests of `fleet` to this replica.
    pub fn new(settings: &Settings, ledger: Arc<dyn Ledger>, fleet: Arc<dyn Fleet>) -> Self {
        let pins: Arc<Mutex<Pins>> = Arc::default();
        fleet.respond_with(Topic::Session, Arc::new(PinResponder { pins: pins.clone() }));
        Self { ledger, fleet, keys: Keys::new(settings), pins }
    }

    /// Returns a signed token that contains the pin.
    pub fn sign(&self, pin: &Pin) -> Option<String> {
        self.keys.sign(pin)
    }

    /// Returns the pin in a token, or `None` if no key of the fleet signed the token.
    pub fn verify(&self, token: &str) -> Option<Pin> {
        self.keys.verify(token)
    }

    /// Returns the pin of a session. Asks this instance, then the replicas in the data centre, then
    /// the ledger and, only if the ledger can't be read, the replicas in the whole fleet; the first
    /// pin found is returned.
    pub async fn find(&self, account: &Arc<str>, session: &Arc<str>) -> Option<Pin> {
        if let Some(entry) = self.pins.lock().get(account, session) {
            return Some(entry.pin.clone());
        }
        let replicas = self.data_centre_replicas(account, session);
        if let Some(pin) = self.find_at(&replicas, account, session).await {
            return Some(pin);
        }
        match self.read_ledger(account, session).await {
            Some(found) => found,
            None => self.find_at(&self.fleet_replicas(account, session), account, session).await,
        }
    }

    /// Asks the other instances among `replicas` one after another and returns the first pin found.
    async fn find_at(
        &self,
        replicas: &[InstanceId],
        account: &Arc<str>,
        session: &Arc<str>,
    ) -> Option<Pin> {
        let command = Command::Find { account: account.clone(), session: session.clone() };
        let local = self.fleet.local();
        for replica in replicas.iter().filter(|replica| **replica != local) {
            if let Some(pin) = self.send_command(replica, &command).await {
                return Some(self.pins.lock().merge(pin, false));
            }
        }
        None
    }

    /// Returns the pin that the ledger has; `None` also if the ledger can't be read.
    pub async fn find_in_ledger(&self, account: &Arc<str>, session: &Arc<str>) -> Option<Pin> {
        self.read_ledger(account, session).await.flatten()
    }

    /// Reads the pin from the ledger. The outer `None` means that the ledger can't be read, the
    /// inner one that it has no pin.
    async fn read_ledger(&self, account: &Arc<str>, session: &Arc<str>) -> Option<Option<Pin>> {
        let read = self.ledger.pinned(account, session);
        match tokio::time::timeout(LEDGER_TIMEOUT, read).await {
            Ok(Ok(Some(pin))) => Some(Some(self.pins.lock().merge(pin, true))),
            Ok(Ok(None)) => Some(None),
            Err(_) => None,
            Ok(Err(error)) => {
                log::debug!("cannot read a session's pin from the ledger; cause={error}");
                None
            }
        }
    }

    /// Pins a session as proposed, unless a pin of the same or a higher generation holds already,
    /// and returns the pin that holds.
    ///
    /// The first reachable replica in the whole fleet decides between concurrent first answers of a
    /// session, so that they agree while the ledger is out of reach or slow. A differing pin in the
    /// ledger takes precedence over the decision of the replica.
    pub async fn establish(&self, proposed: Pin) -> Pin {
        let agreed = self.agree(proposed).await;
        let write = self.ledger.pin(agreed.clone());
        let pin = match tokio::time::timeout(LEDGER_TIMEOUT, write).await {
            Ok(Ok(pin)) => self.pins.lock().merge(pin, true),
            Ok(Err(_)) | Err(_) => self.pins.lock().merge(agreed, false),
        };
        self.replicate(&pin);
        pin
    }

    /// Agrees on a pin with the replicas in the whole fleet.
    ///
    /// If a replica other than the first has a pin of the proposed generation or a higher one,
    /// because the first was unreachable earlier, that pin holds. Otherwise the first replica that
    /// answers decides.
    async fn agree(&self, proposed: Pin) -> Pin {
        let replicas = self.fleet_replicas(&proposed.account, &proposed.session);
        let others = replicas.get(1..).unwrap_or_default();
        if let Some(pin) = self.find_at(others, &proposed.account, &proposed.session).await
            && pin.generation >= proposed.generation
        {
            return pin;
        }
        let local = self.fleet.local();
        for replica in replicas {
            if replica == local {
                return self.pins.lock().merge(proposed, false);
            }
            if let Some(pin) = self.send_command(&replica, &Command::Keep(proposed.clone())).await {
                return pin;
            }
        }
        proposed
    }

    /// Caches the pin under which a request was answered, and writes it to the ledger in the
    /// background if it is not known to be there, as the ledger may have been out of reach when the
    /// session was pinned.
    pub fn record(&self, pin: &Pin) {
        let entry = {
            let mut pins = self.pins.lock();
            pins.merge(pin.clone(), false);
            pins.get(&pin.account, &pin.session).cloned()
        };
        let Some(entry) = entry else { return };
        if entry.in_ledger {
            return;
        }
        let (ledger, pins) = (self.ledger.clone(), self.pins.clone());
        tokio::spawn(async move {
            if ledger.pin(entry.pin.clone()).await.is_ok() {
                pins.lock().merge(entry.pin, true);
            }
        });
    }

    /// Sends a pin to all other replicas in the background, without waiting for their answers.
    fn replicate(&self, pin: &Pin) {
        let mut replicas = self.data_centre_replicas(&pin.account, &pin.session);
        replicas.extend(self.fleet_replicas(&pin.account, &pin.session));
        replicas.sort_unstable();
        replicas.dedup();
        let local = self.fleet.local();
        for replica in replicas.into_iter().filter(|replica| *replica != local) {
            let Ok(payload) = postcard::to_stdvec(&Command::Keep(pin.clone())) else { return };
            let fleet = self.fleet.clone();
            tokio::spawn(async move {
                let sent = fleet.request(&replica, Topic::Session, payload.into());
                let _ = tokio::time::timeout(REPLICA_TIMEOUT, sent).await;
            });
        }
    }

    async fn send_command(&self, replica: &InstanceId, command: &Command) -> Option<Pin> {
        let payload = postcard::to_stdvec(command).ok()?.into();
        let answer = self.fleet.request(replica, Topic::Session, payload);
        let answer = tokio::time::timeout(REPLICA_TIMEOUT, answer).await.ok()?.ok()?;
        postcard::from_bytes(&answer).ok()?
    }

    /// Returns the replicas of a session in this data centre.
    fn data_centre_replicas(&self, account: &str, session: &str) -> Vec<InstanceId> {
        let members = self.fleet.members();
        let local = self.fleet.local();
        let own = members.iter().find(|member| member.id == local);
        let own = own.map(|member| member.data_centre.clone());
        self.replicas(account, session, |member| Some(&member.data_centre) == own.as_ref())
    }

    /// Returns the replicas of a session in the whole fleet.
    fn fleet_replicas(&self, account: &str, session: &str) -> Vec<InstanceId> {
        self.replicas(account, session, |_| true)
    }

    /// Selects replicas by rendezvous hashing among the live members that match `is_eligible`, the
    /// first choice first.
    fn replicas(
        &self,
        account: &str,
        session: &str,
        is_eligible: impl Fn(&Member) -> bool,
    ) -> Vec<InstanceId> {
        let members = self.fleet.members();
        let eligible = |member: &&Member| member.liveness == Liveness::Alive && is_eligible(member);
        let mut replicas: Vec<InstanceId> =
            members.iter().filter(eligible).map(|member| member.id.clone()).collect();
        replicas.sort_by_cached_key(|id| {
            let weight = blake3::hash(format!("{account}\0{session}\0{id}").as_bytes());
            *weight.as_bytes()
        });
        replicas.truncate(REPLICAS);
        replicas
    }
}

impl Pins {
    fn position(&self, account: &str, session: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| {
            (&*entry.pin.account, &*entry.pin.session).cmp(&(account, session))
        })
    }

    fn get(&self, account: &str, session: &str) -> Option<&Entry> {
        self.position(account, session).ok().map(|at| &self.entries[at])
    }

    /// Merges `pin` into the cache and returns the pin that takes precedence: the one of the higher
    /// generation; within a generation, the one that is in the ledger; otherwise the one that was
    /// cached before.
    fn merge(&mut self, pin: Pin, in_ledger: bool) -> Pin {
        match self.position(&pin.account, &pin.session) {
            Ok(at) => {
                let entry = &mut self.entries[at];
                let same_generation = entry.pin.generation == pin.generation;
                if entry.pin.generation < pin.generation
                    || same_generation && in_ledger && !entry.in_ledger
                {
                    *entry = Entry { pin, in_ledger };
                } else if entry.pin == pin {
                    entry.in_ledger |= in_ledger;
                }
                self.entries[at].pin.clone()
            }
            Err(at) => {
                self.insertion_order.push_back((pin.account.clone(), pin.session.clone()));
                self.entries.insert(at, Entry { pin: pin.clone(), in_ledger });
                self.evict_oldest();
                pin
            }
        }
    }

    fn evict_oldest(&mut self) {
        if self.entries.len() <= MAX_PINS {
            return;
        }
        if let Some((account, session)) = self.insertion_order.pop_front()
            && let Ok(at) = self.position(&account, &session)
        {
            self.entries.remove(at);
        }
    }
}

/// Answers the requests of other instances for which this one is a replica.
struct PinResponder {
    pins: Arc<Mutex<Pins>>,
}

#[async_trait]
impl Responder for PinResponder {
    async fn respond(&self, message: Message) -> Bytes {
        let found = match postcard::from_bytes(&message.payload) {
            Ok(Command::Keep(pin)) => Some(self.pins.lock().merge(pin, false)),
            Ok(Command::Find { account, session }) => {
                self.pins.lock().get(&account, &session).map(|entry| entry.pin.clone())
            }
            Err(_) => None,
        };
        postcard::to_stdvec(&found).unwrap_or_default().into()
    }
}
