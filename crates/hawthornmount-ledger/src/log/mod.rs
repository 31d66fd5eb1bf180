//! Claims and session pins in hashed shards, each a log of segments on the store.
//!
//! The owner of a shard, by rendezvous hashing over the live members, batches the operations of all
//! instances. It is only a choice that saves writes: any instance may write at any time, and the
//! store decides whose segment stands.

mod journal;
mod options;
pub(crate) mod record;
mod shard;
mod state;

#[cfg(test)]
mod tests;

pub use options::{Mutation, Options};

use {
    crate::{Claim, Claimed, Error, Outcome, Pin, Ticket},
    async_trait::async_trait,
    bytes::Bytes,
    hawthornmount_core::{
        clock::Clock,
        id::{AccountId, InstanceId, SessionId},
        snapshot::Liveness,
    },
    hawthornmount_fleet::{Fleet, Message, Responder, Topic},
    hawthornmount_store::Store,
    journal::Journal,
    parking_lot::Mutex,
    record::{Answer, Operation, Reply, Settle, decode, encode},
    shard::Shard,
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Time for which an instance that gave no answer is not asked again.
const AVOID_FOR: Duration = Duration::from_secs(1);
/// Pause between looks at what still waits.
const FLUSH_PAUSE: Duration = Duration::from_millis(10);

/// Claims and session pins.
pub struct Log {
    shards: Arc<[Arc<Shard>]>,
    fleet: Arc<dyn Fleet>,
    options: Options,
    avoided: Mutex<Vec<Avoided>>,
}

/// An instance that gave no answer as an owner, and until when it is passed over.
struct Avoided {
    id: InstanceId,
    until: Instant,
}

impl Log {
    /// Creates the log on a store and answers for the shards that peers think this instance owns.
    pub fn new(
        store: &Arc<dyn Store>,
        fleet: Arc<dyn Fleet>,
        clock: &Arc<dyn Clock>,
        options: Options,
    ) -> Self {
        let shard = |number| {
            let journal = Journal::new(store.clone(), options, number);
            Shard::new(journal, clock.clone(), options)
        };
        let shards: Arc<[Arc<Shard>]> = (0..options.shards.max(1)).map(shard).collect();
        fleet.respond_with(Topic::Claim, Arc::new(Owner { shards: shards.clone(), options }));
        Self { shards, fleet, options, avoided: Mutex::default() }
    }

    /// Claims the only run of a non-idempotent call.
    ///
    /// # Errors
    ///
    /// Returns an error if the claim is not known to be the first; it never holds its key then.
    pub async fn claim(&self, claim: Claim) -> Result<Claimed, Error> {
        match self.grant(Operation::Claim(claim.clone())).await {
            Ok(Reply::Claimed(claimed)) => Ok(claimed),
            Ok(_) => Err(Error::form("not an answer to a claim")),
            Err(error) => {
                if matches!(error, Error::Unknown { .. }) {
                    self.shard_of(&Operation::Claim(claim.clone())).1.give_up(&claim);
                }
                Err(error)
            }
        }
    }

    /// Records how a claimed call ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is not known to be durable.
    pub async fn settle(&self, ticket: &Ticket, outcome: Outcome) -> Result<(), Error> {
        let claim = &ticket.claim;
        let settle = Settle {
            account: claim.account.clone(),
            key: claim.key.clone(),
            attempt: claim.attempt.clone(),
            outcome,
        };
        let is_unrun = settle.outcome == Outcome::NotRun;
        let settled = self.grant(Operation::Settle(settle)).await;
        if settled.is_err() && is_unrun {
            self.shard_of(&Operation::Claim(claim.clone())).1.give_up(claim);
        }
        settled.map(|_| ())
    }

    /// Pins a session and returns the pin that holds.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is out of reach.
    pub async fn pin(&self, pin: Pin) -> Result<Pin, Error> {
        match self.grant(Operation::Pin(pin)).await? {
            Reply::Pin(Some(pin)) => Ok(pin),
            _ => Err(Error::form("not an answer to a pin")),
        }
    }

    /// Returns the pin of a session.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is out of reach.
    pub async fn pinned(
        &self,
        account: &AccountId,
        session: &SessionId,
    ) -> Result<Option<Pin>, Error> {
        let operation = Operation::Pinned { account: account.clone(), session: session.clone() };
        match self.grant(operation).await? {
            Reply::Pin(pin) => Ok(pin),
            _ => Err(Error::form("not an answer to the question for a pin")),
        }
    }

    /// Waits until nothing waits any more.
    ///
    /// # Errors
    ///
    /// Returns an error if records still wait after `bound`.
    pub async fn flush(&self, bound: Duration) -> Result<(), Error> {
        let ends = Instant::now() + bound;
        loop {
            let waiting: usize = self.shards.iter().map(|shard| shard.waiting()).sum();
            if waiting == 0 {
                return Ok(());
            }
            if Instant::now() >= ends {
                return Err(Error::Backlog { waiting });
            }
            tokio::time::sleep(FLUSH_PAUSE).await;
        }
    }

    /// Asks the shard's owner, and writes itself if the owner gives no answer in time.
    async fn grant(&self, operation: Operation) -> Answer {
        let (number, shard) = self.shard_of(&operation);
        let owner = self.owner(number);
        if owner == self.fleet.local() {
            return shard.grant(operation).await;
        }
        let asked = Request { shard: number, operation: operation.clone() };
        match self.ask(&owner, &asked).await {
            Some(Ok(reply)) => Ok(reply),
            answer => self.grant_alone(shard, operation, &owner, answer.is_none()).await,
        }
    }

    /// Writes an operation itself, because the owner could not grant it.
    async fn grant_alone(
        &self,
        shard: &Arc<Shard>,
        operation: Operation,
        owner: &InstanceId,
        silent: bool,
    ) -> Answer {
        if silent {
            self.avoid(owner);
        }
        match shard.grant(operation).await {
            Err(Error::Unavailable { cause }) => Err(Error::Unknown { cause }),
            answer => answer,
        }
    }

    /// Passes an instance over for a while, so that the next one by its hash owns its shards.
    fn avoid(&self, id: &InstanceId) {
        let now = Instant::now();
        let mut avoided = self.avoided.lock();
        avoided.retain(|one| one.until > now && one.id != *id);
        avoided.push(Avoided { id: id.clone(), until: now + AVOID_FOR });
    }

    async fn ask(&self, owner: &InstanceId, request: &Request) -> Option<Answer> {
        let payload = encode(request).ok()?.into();
        let asked = self.fleet.request(owner, Topic::Claim, payload);
        let answer = tokio::time::timeout(self.options.forward_timeout, asked).await.ok()?.ok()?;
        decode(&answer).ok()
    }

    fn shard_of(&self, operation: &Operation) -> (u32, &Arc<Shard>) {
        let count = u64::try_from(self.shards.len()).unwrap_or(1);
        let number = hash(operation.subject().as_bytes()) % count;
        let at = usize::try_from(number).unwrap_or(0);
        (u32::try_from(number).unwrap_or(0), &self.shards[at])
    }

    /// Returns the live member with the highest hash for a shard.
    fn owner(&self, shard: u32) -> InstanceId {
        let members = self.fleet.members();
        let weight = |id: &InstanceId| hash(format!("{shard}/{id}").as_bytes());
        let now = Instant::now();
        let avoided = self.avoided.lock();
        let is_avoided =
            |id: &InstanceId| avoided.iter().any(|one| one.id == *id && one.until > now);
        let live = members
            .iter()
            .filter(|member| member.liveness == Liveness::Alive && !is_avoided(&member.id));
        live.map(|member| member.id.clone())
            .max_by_key(weight)
            .unwrap_or_else(|| self.fleet.local())
    }
}

/// An operation on its way to the shard's owner.
#[derive(serde::Deserialize, serde::Serialize)]
struct Request {
    shard: u32,
    operation: Operation,
}

/// Answers the operations of peers.
struct Owner {
    shards: Arc<[Arc<Shard>]>,
    options: Options,
}

impl Owner {
    /// Grants an operation as long as the peer waits for it.
    async fn grant(&self, shard: &Arc<Shard>, operation: Operation) -> Answer {
        let granted =
            tokio::time::timeout(self.options.forward_timeout, shard.grant(operation)).await;
        granted.unwrap_or_else(|_| Err(Error::unknown("the shard's owner is too slow")))
    }
}

#[async_trait]
impl Responder for Owner {
    async fn respond(&self, message: Message) -> Bytes {
        let answer = match decode::<Request>(&message.payload) {
            Ok(request) => match self.shards.get(request.shard as usize) {
                Some(shard) => self.grant(shard, request.operation).await,
                None => Err(Error::form("no such shard")),
            },
            Err(error) => Err(error),
        };
        encode(&answer).unwrap_or_default().into()
    }
}

/// Returns the first bytes of a BLAKE3 hash as a number.
fn hash(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let mut number = [0; size_of::<u64>()];
    number.copy_from_slice(&hash.as_bytes()[..size_of::<u64>()]);
    u64::from_le_bytes(number)
}
