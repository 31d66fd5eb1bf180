//! Selects the models and versions to try for a completion, and their order.

use {
    super::{Filter, Flow},
    crate::{
        exchange::{Exchange, Kind},
        instance::Components,
    },
    async_trait::async_trait,
    hawthornmount_core::{problem::Problem, reason::Refusal},
    std::sync::Arc,
};

/// Filter that sets the plan of a completion.
pub struct Selection {
    components: Arc<Components>,
}

impl Selection {
    pub fn new(components: &Arc<Components>) -> Self {
        Self { components: components.clone() }
    }
}

#[async_trait]
impl Filter for Selection {
    fn name(&self) -> &'static str {
        "choose"
    }

    async fn apply(&self, exchange: &mut Exchange) -> Result<Flow, Problem> {
        if !matches!(exchange.kind, Kind::Completion(_)) {
            return Ok(Flow::Next);
        }
        let settings = &self.components.settings;
        let query = exchange.query(&settings.data_centre, &settings.region);
        let plan = self.components.router.plan(&exchange.snapshot, &query).map_err(no_version)?;
        for candidate in &plan.candidates {
            let release = &candidate.release;
            exchange.trace.step(format!(
                "candidate {}@{} with quality {:.2}",
                release.model, release.version, candidate.quality
            ));
        }
        exchange.plan = plan;
        Ok(Flow::Next)
    }
}

fn no_version(reason: Refusal) -> Problem {
    Problem::new(reason, "no version that the account may use can answer: ask your operator")
}
