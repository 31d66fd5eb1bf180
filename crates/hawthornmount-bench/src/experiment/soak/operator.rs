//! Operator that changes the configuration, also while the store is unavailable.

use {
    hawthornmount_core::id,
    hawthornmount_demo::{
        check::invariant::{Acceptance, Interval},
        deployment::Deployment,
    },
    hawthornmount_fleet::config,
    hawthornmount_store::etcd::Etcd,
    serde_json::{Value, json},
    std::time::{Duration, Instant},
    tokio::sync::Mutex,
};

/// Pause before a rejected or failed change is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Model whose versions are changed.
const MODEL: &str = "draft-small";

/// Operator that changes the versions of a model.
pub struct Operator {
    store: Etcd,
    state: Mutex<State>,
}

struct State {
    value: Value,
    next_step: usize,
    acceptances: Vec<Acceptance>,
    withdrawn: Vec<Interval>,
}

/// States of the two versions that the operator sets in turn.
const STEPS: [Step; 4] = [
    Step { stable: "v2", v1: "withdrawn", v2: "proven" },
    Step { stable: "v2", v1: "proven", v2: "proven" },
    Step { stable: "v1", v1: "proven", v2: "withdrawn" },
    Step { stable: "v1", v1: "proven", v2: "candidate" },
];

struct Step {
    stable: &'static str,
    v1: &'static str,
    v2: &'static str,
}

impl Operator {
    /// Creates an operator that starts from the merged configuration in force.
    pub fn new(deployment: &Deployment, value: Value) -> Self {
        let state = State { value, next_step: 0, acceptances: Vec::new(), withdrawn: Vec::new() };
        Self { store: Etcd::new(vec![deployment.store.address()]), state: Mutex::new(state) }
    }

    /// Makes the next change and waits until it is accepted.
    pub async fn change(&self) {
        let mut state = self.state.lock().await;
        let step = &STEPS[state.next_step % STEPS.len()];
        state.next_step += 1;
        let now = Instant::now();
        for interval in &mut state.withdrawn {
            interval.until.get_or_insert(now);
        }
        let model = &mut state.value["models"][MODEL];
        model["stable"] = json!(step.stable);
        model["versions"]["v1"]["state"] = json!(step.v1);
        model["versions"]["v2"]["state"] = json!(step.v2);
        let acceptance = self.apply(&state.value).await;
        state.acceptances.push(acceptance);
        for (version, version_state) in [("v1", step.v1), ("v2", step.v2)] {
            if version_state == "withdrawn" {
                let subject = format!("{MODEL}@{version}").into();
                state.withdrawn.push(Interval { subject, from: acceptance.at, until: None });
            }
        }
    }

    /// Returns the accepted changes and the periods in which versions were withdrawn.
    pub async fn history(&self) -> (Vec<Acceptance>, Vec<Interval>) {
        let state = self.state.lock().await;
        (state.acceptances.clone(), state.withdrawn.clone())
    }

    /// Applies a configuration until it is confirmed to be accepted.
    async fn apply(&self, value: &Value) -> Acceptance {
        let apply_id = id::generate("apply");
        loop {
            if let Some(revision) = self.try_apply(value, &apply_id).await {
                return Acceptance { revision, at: Instant::now() };
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn try_apply(&self, value: &Value, apply_id: &str) -> Option<u64> {
        let (base, record) = config::read(&self.store).await.ok()??;
        // An earlier attempt may have been accepted although its answer was lost.
        if *record.apply_id == *apply_id {
            return Some(base);
        }
        config::apply(&self.store, value.clone(), base, apply_id).await.ok()
    }
}
