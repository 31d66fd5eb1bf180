//! Ledger that writes each record under a key of its own in the store, without batches. Experiments
//! compare the sharded ledger with it.

use {
    crate::{Claim, Claimed, Error, Ledger, Outcome, Pin, Ticket, Total, Usage},
    async_trait::async_trait,
    hawthornmount_core::id::{AccountId, SessionId},
    hawthornmount_store::{self as store, Entry, Store, Txn},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::sync::Arc,
};

/// Limit on the records of one page of a listing.
const PAGE_RECORDS: usize = 1_000;

/// Ledger that writes each record under a key of its own.
pub struct Direct {
    store: Arc<dyn Store>,
}

/// Stored claim, with the outcome of its call once that has ended.
#[derive(Deserialize, Serialize)]
struct Record {
    claim: Claim,
    outcome: Option<Outcome>,
}

impl Direct {
    /// Creates a ledger on a store.
    pub fn new(store: Arc<dyn Store>) -> Self {
        Self { store }
    }

    /// Creates the record of `key` if there is none, and returns the one that the key then holds.
    async fn create<T: Serialize + DeserializeOwned + Sync>(
        &self,
        key: &str,
        value: &T,
    ) -> Result<T, Error> {
        let txn = Txn::new().if_absent(key).put(key, encode(value)?);
        match self.store.commit(txn).await {
            Ok(commit) if commit.applied => decode(&encode(value)?),
            Ok(_) => self.read(key).await?.ok_or_else(|| unknown("the record has gone")),
            Err(error) if error.may_have_applied() => {
                self.read(key).await?.ok_or_else(|| unavailable(&error))
            }
            Err(error) => Err(unavailable(&error)),
        }
    }

    async fn read<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, Error> {
        let entry = self.store.get(key).await.map_err(|error| unknown(&error.to_string()))?;
        entry.map(|entry| decode(&entry.value)).transpose()
    }

    /// Replaces a record if it has not changed since `entry` was read. Returns whether it was
    /// replaced.
    async fn replace(&self, key: &str, entry: &Entry, record: &Record) -> Result<bool, Error> {
        let txn = Txn::new().if_unchanged(key, entry.revision).put(key, encode(record)?);
        match self.store.commit(txn).await {
            Ok(commit) => Ok(commit.applied),
            Err(error) => Err(unknown(&error.to_string())),
        }
    }
}

#[async_trait]
impl Ledger for Direct {
    async fn claim(&self, claim: Claim) -> Result<Claimed, Error> {
        let key = claim_key(&claim);
        let first = Record { claim: claim.clone(), outcome: None };
        let record = self.create(&key, &first).await?;
        if record.claim.digest != claim.digest {
            return Ok(Claimed::Conflict);
        }
        if record.claim.attempt == claim.attempt {
            return Ok(Claimed::First(Ticket { claim }));
        }
        let attempt = record.claim.attempt.clone();
        match record.outcome {
            None => Ok(Claimed::Running { attempt }),
            Some(Outcome::NotRun) => self.reclaim(&key, claim).await,
            Some(outcome) => Ok(Claimed::Ended { attempt, outcome }),
        }
    }

    async fn settle(&self, ticket: &Ticket, outcome: Outcome) -> Result<(), Error> {
        let key = claim_key(&ticket.claim);
        let entry = self.store.get(&key).await.map_err(|error| unavailable(&error))?;
        let Some(entry) = entry else { return Ok(()) };
        let record: Record = decode(&entry.value)?;
        if record.claim.attempt != ticket.claim.attempt {
            return Ok(());
        }
        let settled = Record { claim: record.claim, outcome: Some(outcome) };
        self.replace(&key, &entry, &settled).await?;
        Ok(())
    }

    async fn record(&self, usage: Usage) -> Result<(), Error> {
        let key = format!("{}{}", usage_prefix(&usage.account), usage.request);
        self.create(&key, &usage).await?;
        Ok(())
    }

    async fn pin(&self, pin: Pin) -> Result<Pin, Error> {
        self.create(&pin_key(&pin.account, &pin.session), &pin).await
    }

    async fn pinned(&self, account: &AccountId, session: &SessionId) -> Result<Option<Pin>, Error> {
        self.read(&pin_key(account, session)).await
    }

    async fn total(&self, account: &AccountId) -> Result<Total, Error> {
        let prefix = usage_prefix(account);
        let mut total = Total::default();
        let mut after: Option<Arc<str>> = None;
        loop {
            let page = self.store.list(&prefix, after.as_deref(), PAGE_RECORDS).await;
            let page = page.map_err(|error| unavailable(&error))?;
            for entry in &page.entries {
                total.add(&decode(&entry.value)?);
            }
            after = page.entries.last().map(|entry| entry.key.clone());
            if !page.more {
                return Ok(total);
            }
        }
    }

    async fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

impl Direct {
    /// Claims a key whose earlier attempt did not run.
    async fn reclaim(&self, key: &str, claim: Claim) -> Result<Claimed, Error> {
        let entry = self.store.get(key).await.map_err(|error| unavailable(&error))?;
        let entry = entry.ok_or_else(|| unknown("the record has gone"))?;
        let record: Record = decode(&entry.value)?;
        let attempt = record.claim.attempt.clone();
        if record.outcome != Some(Outcome::NotRun) {
            return Ok(Claimed::Running { attempt });
        }
        let first = Record { claim: claim.clone(), outcome: None };
        if self.replace(key, &entry, &first).await? {
            Ok(Claimed::First(Ticket { claim }))
        } else {
            Ok(Claimed::Running { attempt })
        }
    }
}

fn claim_key(claim: &Claim) -> String {
    format!("/hawthornmount/claim/{}/{}", claim.account, claim.key)
}

fn usage_prefix(account: &str) -> String {
    format!("/hawthornmount/usage/{account}/")
}

fn pin_key(account: &str, session: &str) -> String {
    format!("/hawthornmount/session/{account}/{session}")
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(value).map_err(|error| unknown(&error.to_string()))
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes).map_err(|error| unknown(&error.to_string()))
}

fn unavailable(error: &store::Error) -> Error {
    Error::Unavailable { cause: error.to_string().into() }
}

fn unknown(cause: &str) -> Error {
    Error::Unknown { cause: cause.into() }
}
