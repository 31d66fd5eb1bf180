//! Sessions and the versions that they keep.
//!
//! A pin travels three ways: in a token that the caller brings along, at instances that rendezvous
//! hashing names for the session (two of the data centre, and two of the whole fleet), and in the
//! ledger. The highest generation holds; a generation grows only when a session has to leave its
//! version.

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

/// Pins that an instance remembers.
const MAX_PINS: usize = 20_000;
/// Instances of a data centre, and of the whole fleet, that remember the pin of a session.
const HOMES: usize = 2;
/// Time in which an instance of the data centre has to answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time in which the ledger has to answer before a request goes on without it.
const LEDGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Message between the instances of a data centre.
#[derive(Debug, Deserialize, Serialize)]
enum Command {
    /// Remember the pin.
    Keep(Pin),
    /// Return the pin of a session.
    Find { account: Arc<str>, session: Arc<str> },
}

/// Pins in order of account and session, bounded by their age.
#[derive(Default)]
struct Pins {
    rows: Vec<Known>,
    ages: VecDeque<(Arc<str>, Arc<str>)>,
}

#[derive(Clone)]
struct Known {
    pin: Pin,
    /// Whether the ledger has the pin.
    recorded: bool,
}

/// Sessions as this instance knows them.
pub struct Sessions {
    ledger: Arc<dyn Ledger>,
    fleet: Arc<dyn Fleet>,
    keys: Keys,
    pins: Arc<Mutex<Pins>>,
}

impl Sessions {
    /// Creates the sessions and answers for those of which this instance is a home.
    pub fn new(settings: &Settings, ledger: Arc<dyn Ledger>, fleet: Arc<dyn Fleet>) -> Self {
        let pins: Arc<Mutex<Pins>> = Arc::default();
        fleet.respond_with(Topic::Session, Arc::new(Home { pins: pins.clone() }));
        Self { ledger, fleet, keys: Keys::new(settings), pins }
    }

    /// Returns the token of a pin.
    pub fn sign(&self, pin: &Pin) -> Option<String> {
        self.keys.sign(pin)
    }

    /// Returns the pin of a token; nothing if no key of the fleet made it.
    pub fn verify(&self, token: &str) -> Option<Pin> {
        self.keys.verify(token)
    }

    /// Returns the latest pin that this instance, the session's homes or, failing these, the
    /// ledger know.
    pub async fn find(&self, account: &Arc<str>, session: &Arc<str>) -> Option<Pin> {
        if let Some(known) = self.pins.lock().get(account, session) {
            return Some(known.pin.clone());
        }
        if let Some(pin) = self.find_at(&self.near_homes(account, session), account, session).await
        {
            return Some(pin);
        }
        match self.read(account, session).await {
            Some(found) => found,
            None => self.find_at(&self.far_homes(account, session), account, session).await,
        }
    }

    /// Asks instances for a pin, in order.
    async fn find_at(
        &self,
        homes: &[InstanceId],
        account: &Arc<str>,
        session: &Arc<str>,
    ) -> Option<Pin> {
        let command = Command::Find { account: account.clone(), session: session.clone() };
        let local = self.fleet.local();
        for home in homes.iter().filter(|home| **home != local) {
            if let Some(pin) = self.ask(home, &command).await {
                return Some(self.pins.lock().put(pin, false));
            }
        }
        None
    }

    /// Returns the pin that the ledger has.
    pub async fn find_recorded(&self, account: &Arc<str>, session: &Arc<str>) -> Option<Pin> {
        self.read(account, session).await.flatten()
    }

    /// Reads the ledger; nothing if it is out of reach.
    async fn read(&self, account: &Arc<str>, session: &Arc<str>) -> Option<Option<Pin>> {
        let asked = self.ledger.pinned(account, session);
        match tokio::time::timeout(LEDGER_TIMEOUT, asked).await {
            Ok(Ok(Some(pin))) => Some(Some(self.pins.lock().put(pin, true))),
            Ok(Ok(None)) => Some(None),
            Err(_) => None,
            Ok(Err(error)) => {
                log::debug!("the session's version can't be read; cause={error}");
                None
            }
        }
    }

    /// Makes a pin hold, or returns the one that held already.
    ///
    /// The first reachable home of the whole fleet decides between first answers that come at the
    /// same time, so that they agree while the ledger is out of reach or slow; where the ledger
    /// knows better, it is right.
    pub async fn settle(&self, proposed: Pin) -> Pin {
        let held = self.decide(proposed).await;
        let recorded = self.ledger.pin(held.clone());
        let pin = match tokio::time::timeout(LEDGER_TIMEOUT, recorded).await {
            Ok(Ok(pin)) => self.pins.lock().put(pin, true),
            Ok(Err(_)) | Err(_) => self.pins.lock().put(held, false),
        };
        self.tell_homes(&pin);
        pin
    }

    /// Asks the homes of the whole fleet: a pin that a later one has, because the first could not
    /// be reached, holds; else the first that answers decides.
    async fn decide(&self, proposed: Pin) -> Pin {
        let homes = self.far_homes(&proposed.account, &proposed.session);
        let later = homes.get(1..).unwrap_or_default();
        if let Some(pin) = self.find_at(later, &proposed.account, &proposed.session).await
            && pin.generation >= proposed.generation
        {
            return pin;
        }
        let local = self.fleet.local();
        for home in homes {
            if home == local {
                return self.pins.lock().put(proposed, false);
            }
            if let Some(pin) = self.ask(&home, &Command::Keep(proposed.clone())).await {
                return pin;
            }
        }
        proposed
    }

    /// Remembers the pin that a request was answered under, and records it if the ledger was out
    /// of reach when it came about.
    pub fn note(&self, pin: &Pin) {
        let known = {
            let mut pins = self.pins.lock();
            pins.put(pin.clone(), false);
            pins.get(&pin.account, &pin.session).cloned()
        };
        let Some(known) = known else { return };
        if known.recorded {
            return;
        }
        let (ledger, pins) = (self.ledger.clone(), self.pins.clone());
        tokio::spawn(async move {
            if ledger.pin(known.pin.clone()).await.is_ok() {
                pins.lock().put(known.pin, true);
            }
        });
    }

    fn tell_homes(&self, pin: &Pin) {
        let mut homes = self.near_homes(&pin.account, &pin.session);
        homes.extend(self.far_homes(&pin.account, &pin.session));
        homes.sort_unstable();
        homes.dedup();
        let local = self.fleet.local();
        for home in homes.into_iter().filter(|home| *home != local) {
            let Ok(payload) = postcard::to_stdvec(&Command::Keep(pin.clone())) else { return };
            let fleet = self.fleet.clone();
            tokio::spawn(async move {
                let told = fleet.request(&home, Topic::Session, payload.into());
                let _ = tokio::time::timeout(PEER_TIMEOUT, told).await;
            });
        }
    }

    async fn ask(&self, home: &InstanceId, command: &Command) -> Option<Pin> {
        let payload = postcard::to_stdvec(command).ok()?.into();
        let asked = self.fleet.request(home, Topic::Session, payload);
        let answer = tokio::time::timeout(PEER_TIMEOUT, asked).await.ok()?.ok()?;
        postcard::from_bytes(&answer).ok()?
    }

    /// Returns the instances of this data centre that remember a session.
    fn near_homes(&self, account: &str, session: &str) -> Vec<InstanceId> {
        let members = self.fleet.members();
        let local = self.fleet.local();
        let own = members.iter().find(|member| member.id == local);
        let own = own.map(|member| member.data_centre.clone());
        self.homes(account, session, |member| Some(&member.data_centre) == own.as_ref())
    }

    /// Returns the instances of the whole fleet that remember a session.
    fn far_homes(&self, account: &str, session: &str) -> Vec<InstanceId> {
        self.homes(account, session, |_| true)
    }

    fn homes(
        &self,
        account: &str,
        session: &str,
        is_able: impl Fn(&Member) -> bool,
    ) -> Vec<InstanceId> {
        let members = self.fleet.members();
        let able = |member: &&Member| member.liveness == Liveness::Alive && is_able(member);
        let mut homes: Vec<InstanceId> =
            members.iter().filter(able).map(|member| member.id.clone()).collect();
        homes.sort_by_cached_key(|id| {
            let weight = blake3::hash(format!("{account}\0{session}\0{id}").as_bytes());
            *weight.as_bytes()
        });
        homes.truncate(HOMES);
        homes
    }
}

impl Pins {
    fn position(&self, account: &str, session: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| (&*row.pin.account, &*row.pin.session).cmp(&(account, session)))
    }

    fn get(&self, account: &str, session: &str) -> Option<&Known> {
        self.position(account, session).ok().map(|at| &self.rows[at])
    }

    /// Puts in a pin unless one of the same or a later generation stands; of the same generation,
    /// the one that the ledger has is right. Returns what holds.
    fn put(&mut self, pin: Pin, recorded: bool) -> Pin {
        match self.position(&pin.account, &pin.session) {
            Ok(at) => {
                let row = &mut self.rows[at];
                let is_same = row.pin.generation == pin.generation;
                if row.pin.generation < pin.generation || is_same && recorded && !row.recorded {
                    *row = Known { pin, recorded };
                } else if row.pin == pin {
                    row.recorded |= recorded;
                }
                self.rows[at].pin.clone()
            }
            Err(at) => {
                self.ages.push_back((pin.account.clone(), pin.session.clone()));
                self.rows.insert(at, Known { pin: pin.clone(), recorded });
                self.forget_oldest();
                pin
            }
        }
    }

    fn forget_oldest(&mut self) {
        if self.rows.len() <= MAX_PINS {
            return;
        }
        if let Some((account, session)) = self.ages.pop_front()
            && let Ok(at) = self.position(&account, &session)
        {
            self.rows.remove(at);
        }
    }
}

/// Answers the other instances of the data centre.
struct Home {
    pins: Arc<Mutex<Pins>>,
}

#[async_trait]
impl Responder for Home {
    async fn respond(&self, message: Message) -> Bytes {
        let found = match postcard::from_bytes(&message.payload) {
            Ok(Command::Keep(pin)) => Some(self.pins.lock().put(pin, false)),
            Ok(Command::Find { account, session }) => {
                self.pins.lock().get(&account, &session).map(|known| known.pin.clone())
            }
            Err(_) => None,
        };
        postcard::to_stdvec(&found).unwrap_or_default().into()
    }
}
