//! Claims and session pins in hashed shards, each a log of segments on the store.
//!
//! The owner of a shard, chosen by rendezvous hashing over the live members, batches the operations
//! of all instances. Ownership only saves writes: any instance may write at any time, and the store
//! decides which segment is accepted.

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

/// Time for which an instance that gave no answer is not chosen as an owner.
const AVOID_DURATION: Duration = Duration::from_secs(1);
/// Interval at which a flush checks whether operations still wait.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Sharded log of claims and session pins.
pub struct Log {
    shards: Arc<[Arc<Shard>]>,
    fleet: Arc<dyn Fleet>,
    options: Options,
    avoided: Mutex<Vec<Avoided>>,
}

/// Instance that gave no answer as an owner, and the time until which it is not chosen again.
struct Avoided {
    id: InstanceId,
    until: Instant,
}

impl Log {
    /// Creates the log on a store, and registers the responder for the operations that peers
    /// forward to this instance. They take it for the owner of the shard, even if its own view of
    /// the members gives another owner.
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
    /// Returns an error if the claim is not known to be the first. An attempt that may have been
    /// written is then voided, so that it never holds its key.
    pub async fn claim(&self, claim: Claim) -> Result<Claimed, Error> {
        match self.execute(Operation::Claim(claim.clone())).await {
            Ok(Reply::Claimed(claimed)) => Ok(claimed),
            Ok(_) => Err(Error::malformed("not an answer to a claim")),
            Err(error) => {
                if matches!(error, Error::Unknown { .. }) {
                    self.shard_of(&Operation::Claim(claim.clone())).1.void_attempt(&claim);
                }
                Err(error)
            }
        }
    }

    /// Records the outcome of a claimed call.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is not known to be durable. [`Outcome::NotRun`] is then
    /// written in the background, so that the key becomes free.
    pub async fn settle(&self, ticket: &Ticket, outcome: Outcome) -> Result<(), Error> {
        let claim = &ticket.claim;
        let settle = Settle {
            account: claim.account.clone(),
            key: claim.key.clone(),
            attempt: claim.attempt.clone(),
            outcome,
        };
        let was_not_run = settle.outcome == Outcome::NotRun;
        let settled = self.execute(Operation::Settle(settle)).await;
        if settled.is_err() && was_not_run {
            self.shard_of(&Operation::Claim(claim.clone())).1.void_attempt(claim);
        }
        settled.map(|_| ())
    }

    /// Pins a session to a version and returns the pin in effect, which may be an earlier one.
    ///
    /// # Errors
    ///
    /// Returns an error if the store is out of reach.
    pub async fn pin(&self, pin: Pin) -> Result<Pin, Error> {
        match self.execute(Operation::Pin(pin)).await? {
            Reply::Pin(Some(pin)) => Ok(pin),
            _ => Err(Error::malformed("not an answer to a pin")),
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
        match self.execute(operation).await? {
            Reply::Pin(pin) => Ok(pin),
            _ => Err(Error::malformed("not an answer to the question for a pin")),
        }
    }

    /// Waits until every operation is written.
    ///
    /// # Errors
    ///
    /// Returns an error if operations still wait after `timeout`.
    pub async fn flush(&self, timeout: Duration) -> Result<(), Error> {
        let deadline = Instant::now() + timeout;
        loop {
            let waiting: usize = self.shards.iter().map(|shard| shard.waiting()).sum();
            if waiting == 0 {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(Error::Backlog { waiting });
            }
            tokio::time::sleep(FLUSH_POLL_INTERVAL).await;
        }
    }

    /// Forwards an operation to the shard's owner, and executes it locally if the owner fails or
    /// does not answer in time.
    async fn execute(&self, operation: Operation) -> Answer {
        let (number, shard) = self.shard_of(&operation);
        let owner = self.owner(number);
        if owner == self.fleet.local() {
            return shard.execute(operation).await;
        }
        let request = Request { shard: number, operation: operation.clone() };
        match self.forward(&owner, &request).await {
            Some(Ok(reply)) => Ok(reply),
            answer => self.execute_locally(shard, operation, &owner, answer.is_none()).await,
        }
    }

    /// Executes an operation locally after the owner failed to. The owner may have written it, so
    /// an unavailable store is reported as [`Error::Unknown`].
    async fn execute_locally(
        &self,
        shard: &Arc<Shard>,
        operation: Operation,
        owner: &InstanceId,
        no_answer: bool,
    ) -> Answer {
        if no_answer {
            self.avoid(owner);
        }
        match shard.execute(operation).await {
            Err(Error::Unavailable { cause }) => Err(Error::Unknown { cause }),
            answer => answer,
        }
    }

    /// Excludes an instance from ownership for [`AVOID_DURATION`], so that the instances with the
    /// next highest hashes own its shards.
    fn avoid(&self, id: &InstanceId) {
        let now = Instant::now();
        let mut avoided = self.avoided.lock();
        avoided.retain(|entry| entry.until > now && entry.id != *id);
        avoided.push(Avoided { id: id.clone(), until: now + AVOID_DURATION });
    }

    /// Sends an operation to an owner. Returns nothing if there is no answer within the time-out.
    async fn forward(&self, owner: &InstanceId, request: &Request) -> Option<Answer> {
        let payload = encode(request).ok()?.into();
        let answer = self.fleet.request(owner, Topic::Claim, payload);
        let answer = tokio::time::timeout(self.options.forward_timeout, answer).await.ok()?.ok()?;
        decode(&answer).ok()
    }

    /// Returns the shard of an operation with its number.
    fn shard_of(&self, operation: &Operation) -> (u32, &Arc<Shard>) {
        let count = u64::try_from(self.shards.len()).unwrap_or(1);
        let number = hash(operation.shard_key().as_bytes()) % count;
        let at = usize::try_from(number).unwrap_or(0);
        (u32::try_from(number).unwrap_or(0), &self.shards[at])
    }

    /// Returns the live member with the highest hash for a shard, or this instance if there is
    /// none.
    fn owner(&self, shard: u32) -> InstanceId {
        let members = self.fleet.members();
        let weight = |id: &InstanceId| hash(format!("{shard}/{id}").as_bytes());
        let now = Instant::now();
        let avoided = self.avoided.lock();
        let is_avoided =
            |id: &InstanceId| avoided.iter().any(|entry| entry.id == *id && entry.until > now);
        let live = members
            .iter()
            .filter(|member| member.liveness == Liveness::Alive && !is_avoided(&member.id));
        live.map(|member| member.id.clone())
            .max_by_key(weight)
            .unwrap_or_else(|| self.fleet.local())
    }
}

/// Operation that is forwarded to the owner of its shard.
#[derive(serde::Deserialize, serde::Serialize)]
struct Request {
    shard: u32,
    operation: Operation,
}

/// Executes the operations that peers forward to this instance as the owner of a shard.
struct Owner {
    shards: Arc<[Arc<Shard>]>,
    options: Options,
}

impl Owner {
    /// Executes an operation, and stops when the peer no longer waits for the answer.
    async fn execute(&self, shard: &Arc<Shard>, operation: Operation) -> Answer {
        let answer =
            tokio::time::timeout(self.options.forward_timeout, shard.execute(operation)).await;
        answer.unwrap_or_else(|_| Err(Error::unknown("the shard's owner is too slow")))
    }
}

#[async_trait]
impl Responder for Owner {
    async fn respond(&self, message: Message) -> Bytes {
        let answer = match decode::<Request>(&message.payload) {
            Ok(request) => match self.shards.get(request.shard as usize) {
                Some(shard) => self.execute(shard, request.operation).await,
                None => Err(Error::malformed("no such shard")),
            },
            Err(error) => Err(error),
        };
        encode(&answer).unwrap_or_default().into()
    }
}

/// Returns the first eight bytes of a BLAKE3 hash as a little-endian number.
fn hash(bytes: &[u8]) -> u64 {
    let hash = blake3::hash(bytes);
    let mut number = [0; size_of::<u64>()];
    number.copy_from_slice(&hash.as_bytes()[..size_of::<u64>()]);
    u64::from_le_bytes(number)
}
