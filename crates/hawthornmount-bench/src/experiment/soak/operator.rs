//! An operator who changes the configuration, also while the store is down.

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

/// Pause before the operator tries again.
const PAUSE: Duration = Duration::from_millis(200);
/// Model whose versions change.
const MODEL: &str = "draft-small";

/// An operator.
pub struct Operator {
    store: Etcd,
    state: Mutex<State>,
}

struct State {
    value: Value,
    step: usize,
    accepts: Vec<Acceptance>,
    withdrawn: Vec<Interval>,
}

/// What the operator makes of the two versions, in turn.
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
    /// Creates an operator who knows the merged value in force.
    pub fn new(world: &Deployment, value: Value) -> Self {
        let state = State { value, step: 0, accepts: Vec::new(), withdrawn: Vec::new() };
        Self { store: Etcd::new(vec![world.store.address()]), state: Mutex::new(state) }
    }

    /// Makes the next change and returns when it is accepted.
    pub async fn change(&self) {
        let mut state = self.state.lock().await;
        let step = &STEPS[state.step % STEPS.len()];
        state.step += 1;
        let began = Instant::now();
        for span in &mut state.withdrawn {
            span.until.get_or_insert(began);
        }
        let model = &mut state.value["models"][MODEL];
        model["stable"] = json!(step.stable);
        model["versions"]["v1"]["state"] = json!(step.v1);
        model["versions"]["v2"]["state"] = json!(step.v2);
        let accept = self.accept(&state.value).await;
        state.accepts.push(accept);
        for (version, version_state) in [("v1", step.v1), ("v2", step.v2)] {
            if version_state == "withdrawn" {
                let what = format!("{MODEL}@{version}").into();
                state.withdrawn.push(Interval { subject: what, from: accept.at, until: None });
            }
        }
    }

    /// Returns the accepted changes and the times in which versions were withdrawn.
    pub async fn history(&self) -> (Vec<Acceptance>, Vec<Interval>) {
        let state = self.state.lock().await;
        (state.accepts.clone(), state.withdrawn.clone())
    }

    /// Applies a value until it is known to be accepted.
    async fn accept(&self, value: &Value) -> Acceptance {
        let apply_id = id::generate("apply");
        loop {
            if let Some(revision) = self.try_accept(value, &apply_id).await {
                return Acceptance { revision, at: Instant::now() };
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn try_accept(&self, value: &Value, apply_id: &str) -> Option<u64> {
        let (base, record) = config::read(&self.store).await.ok()??;
        if *record.apply_id == *apply_id {
            return Some(base);
        }
        config::apply(&self.store, value.clone(), base, apply_id).await.ok()
    }
}
