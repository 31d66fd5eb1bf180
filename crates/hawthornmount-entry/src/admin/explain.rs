//! Explanations of requests, asked of the whole fleet.

use {
    crate::{instance::Parts, trace::Trace},
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

/// Time that a member may take.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Members that are asked at a time.
const AT_A_TIME: usize = 32;

/// Record of a request, with the instance that kept it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Explanation {
    /// Instance that answered the request.
    pub instance: InstanceId,
    /// The decisions.
    #[serde(flatten)]
    pub trace: Trace,
}

/// Why there is no explanation.
#[derive(Clone, Debug, Display, Error)]
pub enum Missing {
    /// Every live member answered and none has the request.
    #[display(
        "no member has the request: check its id, and ask soon after its end; {asked} members asked"
    )]
    Unknown {
        /// Members that were asked.
        asked: usize,
    },
    /// Members that may have the request gave no answer.
    #[display("the request may be at members that give no answer, ask again later: {}", silent.join(", "))]
    Silent {
        /// Members that gave no answer.
        silent: Vec<InstanceId>,
    },
}

/// Answers other instances from the journal of this one.
struct Journal(Weak<Parts>);

#[async_trait]
impl Responder for Journal {
    async fn respond(&self, message: Message) -> Bytes {
        let found = self.0.upgrade().and_then(|parts| {
            let request = std::str::from_utf8(&message.payload).ok()?;
            parts.journal.find(request)
        });
        found.and_then(|trace| serde_json::to_vec(&trace).ok()).unwrap_or_default().into()
    }
}

/// Lets other instances ask for the records of this one.
pub fn answer_peers(parts: &Arc<Parts>) {
    parts.fleet.respond_with(Topic::Explain, Arc::new(Journal(Arc::downgrade(parts))));
}

/// Returns the record of a request from whichever member has it.
///
/// # Errors
///
/// Returns an error if no member that answered has it.
pub async fn find(parts: &Parts, request: &RequestId) -> Result<Explanation, Missing> {
    let local = parts.settings.instance.clone();
    if let Some(trace) = parts.journal.find(request) {
        return Ok(Explanation { instance: local, trace });
    }
    let asks: Vec<_> = peers(parts)
        .into_iter()
        .map(|peer| ask(parts.fleet.clone(), peer, request.clone()).boxed())
        .collect();
    let mut answers = stream::iter(asks).buffer_unordered(AT_A_TIME);
    let (mut asked, mut silent) = (1, Vec::new());
    while let Some((instance, answer)) = answers.next().await {
        asked += 1;
        match answer {
            Some(bytes) if bytes.is_empty() => {}
            Some(bytes) => {
                if let Ok(trace) = serde_json::from_slice(&bytes) {
                    return Ok(Explanation { instance, trace });
                }
                silent.push(instance);
            }
            None => silent.push(instance),
        }
    }
    if silent.is_empty() {
        Err(Missing::Unknown { asked })
    } else {
        Err(Missing::Silent { silent })
    }
}

/// Returns the other members that may answer.
fn peers(parts: &Parts) -> Vec<InstanceId> {
    let members = parts.fleet.members();
    let others = members.iter().filter(|member| member.id != parts.settings.instance);
    let living = others.filter(|member| member.liveness != Liveness::Dead);
    living.map(|member| member.id.clone()).collect()
}

async fn ask(
    fleet: Arc<dyn Fleet>,
    peer: InstanceId,
    request: RequestId,
) -> (InstanceId, Option<Bytes>) {
    let payload = Bytes::copy_from_slice(request.as_bytes());
    let asked = fleet.request(&peer, Topic::Explain, payload);
    let answer = tokio::time::timeout(TIMEOUT, asked).await;
    (peer, answer.ok().and_then(Result::ok))
}
