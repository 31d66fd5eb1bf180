//! Sessions while the store is out of reach.

use {
    hawthornmount_demo::{
        load::{ACCOUNTS, Ask, Caller, Kind, Outcome},
        world::World,
    },
    std::{sync::Arc, time::Duration},
};

/// Sessions of the test.
const SESSIONS: usize = 24;
/// Time in which the instances tell each other of new sessions.
const SPREAD: Duration = Duration::from_secs(1);

/// Returns the version that answers a session and whether the answer says that it moved.
async fn ask(world: &World, instance: usize, session: usize) -> Option<(Arc<str>, bool)> {
    let session = Some(format!("session-{session}").into());
    let ask = Ask { account: ACCOUNTS[0], kind: Kind::Json, session, max_tokens: 8 };
    match Caller::new().ask(world.callers()[instance], ask).await.outcome {
        Outcome::Answered(answered) => Some((answered.release, answered.moved)),
        Outcome::Refused(_) | Outcome::Failed => None,
    }
}

/// A session that one instance began keeps its version on another instance of the data centre
/// while the store is down; a refusal is allowed, another version is not.
#[tokio::test(flavor = "multi_thread")]
async fn sessions_keep_their_version_while_the_store_is_down() {
    let world = World::start().await.expect("the world starts");
    let mut first = Vec::new();
    for session in 0..SESSIONS {
        first.push(ask(&world, 0, session).await);
    }
    tokio::time::sleep(SPREAD).await;
    world.store.faults().set_down(true);
    let mut moved = Vec::new();
    for (session, before) in first.into_iter().enumerate() {
        let Some((before, _)) = before else { continue };
        let Some((after, _)) = ask(&world, 1, session).await else { continue };
        if after != before {
            moved.push(format!("session-{session} from {before} to {after}"));
        }
    }
    assert!(moved.is_empty(), "{moved:?}");
}
