//! Explanations of requests, looked up in the journals of all instances.

use {
    crate::{instance::Components, trace::Trace},
    async_trait::async_trait,
    bytes::Bytes,
    derive_more::{Display, Error},
    futures::{FutureExt, StreamExt, stream},
    hawthornmount_core::{
        id::{InstanceId, RequestId},
        snapshot::Liveness,
    },
    hawthornmount_fleet::{Fleet, Message, Responder, Topic},
    serde::{Deserialize, Serialize},
    std::{
        sync::{Arc, Weak},
        time::Duration,
    },
};

/// Time limit for the answer of a member.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of members that are queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// Trace of a request, with the instance that recorded it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Explanation {
    /// Instance that answered the request.
    pub instance: InstanceId,
    /// Trace of the decisions.
    #[serde(flatten)]
    pub trace: Trace,
}

/// Error when no trace of a request was found.
#[derive(Clone, Debug, Display, Error)]
pub enum LookupError {
    /// Every live member answered and none has a trace of the request.
    #[display(
        "no member has the request: check its id, and ask soon after its end; {asked} members asked"
    )]
    Unknown {
        /// Number of members that were asked, this instance included.
        asked: usize,
    },
    /// No trace was found, and some members, which may have one, gave no valid answer.
    #[display(
        "the request may be at members that give no answer, ask again later: {}",
        members.join(", ")
    )]
    NoAnswer {
        /// Members that gave no valid answer.
        members: Vec<InstanceId>,
    },
}

/// Answers other instances with traces from the journal of this one.
struct TraceResponder(Weak<Components>);

#[async_trait]
impl Responder for TraceResponder {
    async fn respond(&self, message: Message) -> Bytes {
        let found = self.0.upgrade().and_then(|components| {
            let request = std::str::from_utf8(&message.payload).ok()?;
            components.journal.find(request)
        });
        found.and_then(|trace| serde_json::to_vec(&trace).ok()).unwrap_or_default().into()
    }
}

/// Lets other instances query the traces of this one.
pub fn register_responder(components: &Arc<Components>) {
    components
        .fleet
        .respond_with(Topic::Explain, Arc::new(TraceResponder(Arc::downgrade(components))));
}

/// Returns the trace of a request from this instance or any other member.
///
/// # Errors
///
/// Returns an error if no member that answered has the trace.
pub async fn find(
    components: &Components,
    request: &RequestId,
) -> Result<Explanation, LookupError> {
    let local = components.settings.instance.clone();
    if let Some(trace) = components.journal.find(request) {
        return Ok(Explanation { instance: local, trace });
    }
    let queries: Vec<_> = peers(components)
        .into_iter()
        .map(|peer| query(components.fleet.clone(), peer, request.clone()).boxed())
        .collect();
    let mut answers = stream::iter(queries).buffer_unordered(MAX_CONCURRENT_QUERIES);
    let (mut asked, mut unanswered) = (1, Vec::new());
    while let Some((instance, answer)) = answers.next().await {
        asked += 1;
        match answer {
            Some(bytes) if bytes.is_empty() => {}
            Some(bytes) => {
                if let Ok(trace) = serde_json::from_slice(&bytes) {
                    return Ok(Explanation { instance, trace });
                }
                unanswered.push(instance);
            }
            None => unanswered.push(instance),
        }
    }
    if unanswered.is_empty() {
        Err(LookupError::Unknown { asked })
    } else {
        Err(LookupError::NoAnswer { members: unanswered })
    }
}

/// Returns the other members that are not known to be dead.
fn peers(components: &Components) -> Vec<InstanceId> {
    let members = components.fleet.members();
    let others = members.iter().filter(|member| member.id != components.settings.instance);
    let living = others.filter(|member| member.liveness != Liveness::Dead);
    living.map(|member| member.id.clone()).collect()
}

async fn query(
    fleet: Arc<dyn Fleet>,
    peer: InstanceId,
    request: RequestId,
) -> (InstanceId, Option<Bytes>) {
    let payload = Bytes::copy_from_slice(request.as_bytes());
    let answer = fleet.request(&peer, Topic::Explain, payload);
    let answer = tokio::time::timeout(QUERY_TIMEOUT, answer).await;
    (peer, answer.ok().and_then(Result::ok))
}
