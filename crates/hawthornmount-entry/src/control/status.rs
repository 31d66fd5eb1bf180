//! Status of the configuration at each instance of the fleet, queried from the instances.

use {
    crate::instance::Components,
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

/// Maximum number of instances that are queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 32;
/// Time limit for the answer of an instance.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Status of the configuration that an instance has in force.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigStatus {
    /// Configuration revision in force.
    pub revision: Revision,
    /// Time since the store last confirmed the revision, as far as the instance knows.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
}

/// Status of one instance as seen from the instance that compiles the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Incarnation of the instance, which grows with each start.
    pub incarnation: Incarnation,
    /// Data centre of the instance.
    pub data_centre: DataCentreId,
    /// State of the instance: alive, suspect, leaving or dead.
    pub liveness: Arc<str>,
    /// Configuration of the instance; absent if it gave no answer.
    #[serde(flatten)]
    pub config: Option<ConfigStatus>,
}

/// Returns the status of the configuration at this instance.
pub fn config_status(components: &Components) -> ConfigStatus {
    let snapshot = components.snapshot.load();
    let age = components.clock.now().saturating_duration_since(snapshot.confirmed);
    ConfigStatus { revision: snapshot.revision, age }
}

/// Returns the status of all members; those that are not dead are queried.
pub async fn fleet_status(components: &Components) -> Vec<InstanceStatus> {
    let members = components.fleet.members();
    let queries = members.iter().cloned().map(|member| instance_status(components, member));
    stream::iter(queries.collect::<Vec<_>>()).buffered(MAX_CONCURRENT_QUERIES).collect().await
}

async fn instance_status(components: &Components, member: Member) -> InstanceStatus {
    let config = match member.liveness {
        _ if member.id == components.fleet.local() => Some(config_status(components)),
        Liveness::Dead => None,
        Liveness::Alive | Liveness::Suspect | Liveness::Leaving => {
            query(&*components.fleet, &member.id).await
        }
    };
    InstanceStatus {
        instance: member.id,
        incarnation: member.incarnation,
        data_centre: member.data_centre,
        liveness: liveness_name(member.liveness).into(),
        config,
    }
}

async fn query(fleet: &dyn Fleet, peer: &InstanceId) -> Option<ConfigStatus> {
    let answer = fleet.request(peer, Topic::Status, Bytes::new());
    let answer = tokio::time::timeout(QUERY_TIMEOUT, answer).await.ok()?.ok()?;
    serde_json::from_slice(&answer).ok()
}

const fn liveness_name(liveness: Liveness) -> &'static str {
    match liveness {
        Liveness::Alive => "alive",
        Liveness::Suspect => "suspect",
        Liveness::Leaving => "leaving",
        Liveness::Dead => "dead",
    }
}

/// Answers status queries of other instances.
pub struct StatusResponder(pub Weak<Components>);

#[async_trait]
impl Responder for StatusResponder {
    async fn respond(&self, _message: Message) -> Bytes {
        let Some(components) = self.0.upgrade() else { return Bytes::new() };
        serde_json::to_vec(&config_status(&components)).unwrap_or_default().into()
    }
}
