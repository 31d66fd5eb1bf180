//! Which configuration each instance of the fleet has in force, asked of the instances themselves.

use {
    crate::instance::Parts,
    async_trait::async_trait,
    bytes::Bytes,
    futures::{StreamExt, stream},
    hawthornmount_core::{
        id::{DataCentreId, Incarnation, InstanceId, Revision},
        snapshot::{Liveness, Member},
    },
    hawthornmount_fleet::{Fleet, Message, Responder, Topic},
    serde::{Deserialize, Serialize},
    serde_with::{DurationMilliSeconds, serde_as},
    std::{
        sync::{Arc, Weak},
        time::Duration,
    },
};

/// Instances that are asked at a time.
const AT_A_TIME: usize = 32;
/// Time in which an instance has to answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// What one instance says of itself.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Held {
    /// Configuration revision in force.
    pub revision: Revision,
    /// Time since the store last confirmed it, as far as the instance knows.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
}

/// One instance as seen from the asked one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Row {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Life of the instance.
    pub incarnation: Incarnation,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// What it is doing: alive, suspect, leaving or dead.
    pub liveness: Arc<str>,
    /// What it says of itself; absent if it gave no answer.
    #[serde(flatten)]
    pub held: Option<Held>,
}

/// Returns what this instance holds.
pub fn held(parts: &Parts) -> Held {
    let snapshot = parts.cell.load();
    let age = parts.clock.now().saturating_duration_since(snapshot.confirmed);
    Held { revision: snapshot.revision, age }
}

/// Asks all members but the dead ones.
pub async fn rows(parts: &Parts) -> Vec<Row> {
    let members = parts.fleet.members();
    let asked = members.iter().cloned().map(|member| row(parts, member));
    stream::iter(asked.collect::<Vec<_>>()).buffered(AT_A_TIME).collect().await
}

async fn row(parts: &Parts, member: Member) -> Row {
    let held = match member.liveness {
        _ if member.id == parts.fleet.local() => Some(held(parts)),
        Liveness::Dead => None,
        Liveness::Alive | Liveness::Suspect | Liveness::Leaving => {
            ask(&*parts.fleet, &member.id).await
        }
    };
    Row {
        instance: member.id,
        incarnation: member.incarnation,
        data_centre: member.data_centre,
        liveness: name(member.liveness).into(),
        held,
    }
}

async fn ask(fleet: &dyn Fleet, peer: &InstanceId) -> Option<Held> {
    let answer = fleet.request(peer, Topic::Status, Bytes::new());
    let answer = tokio::time::timeout(TIMEOUT, answer).await.ok()?.ok()?;
    serde_json::from_slice(&answer).ok()
}

const fn name(liveness: Liveness) -> &'static str {
    match liveness {
        Liveness::Alive => "alive",
        Liveness::Suspect => "suspect",
        Liveness::Leaving => "leaving",
        Liveness::Dead => "dead",
    }
}

/// Answers the other instances.
pub struct Source(pub Weak<Parts>);

#[async_trait]
impl Responder for Source {
    async fn respond(&self, _message: Message) -> Bytes {
        let Some(parts) = self.0.upgrade() else { return Bytes::new() };
        serde_json::to_vec(&held(&parts)).unwrap_or_default().into()
    }
}
