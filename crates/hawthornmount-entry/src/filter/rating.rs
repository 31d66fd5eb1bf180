//! Has a sample of the answers rated in the background after they are complete.

use {
    super::{AnswerHook, Filter, Flow},
    crate::{
        answer::Summary,
        exchange::{Exchange, Kind, TASK_KIND_HEADER},
        instance::Components,
    },
    async_trait::async_trait,
    hawthornmount_core::{
        id::{AccountId, DataCentreId, RequestId, ServerId},
        problem::Problem,
        snapshot::Release,
    },
    hawthornmount_rollout::{Sample, sample::Outcome},
    rand::RngExt,
    std::{sync::Arc, time::Duration},
};

/// Fraction of the answers that are rated in the background and whose rating is reported to the
/// evaluator.
pub const SAMPLE_RATIO: f64 = 0.5;
/// Maximum time that a rating in the background may take.
const RATING_TIMEOUT: Duration = Duration::from_secs(10);

/// Filter that registers the hook that samples answers for rating.
pub struct Rating {
    components: Arc<Components>,
}

impl Rating {
    pub fn new(components: &Arc<Components>) -> Self {
        Self { components: components.clone() }
    }
}

#[async_trait]
impl Filter for Rating {
    fn name(&self) -> &'static str {
        "rate"
    }

    async fn apply(&self, exchange: &mut Exchange) -> Result<Flow, Problem> {
        let (Kind::Completion(_), Some(release)) = (&exchange.kind, &exchange.answered_by) else {
            return Ok(Flow::Next);
        };
        let last_attempt = exchange.trace.attempts.last();
        let server = last_attempt.map(|attempt| attempt.server.clone()).unwrap_or_default();
        let data_centre = exchange
            .snapshot
            .backend(&server)
            .map(|backend| backend.data_centre.clone())
            .unwrap_or_default();
        exchange.answer_hooks.push(Box::new(RatingSampler(Arc::new(Subject {
            components: self.components.clone(),
            request: exchange.id.clone(),
            account: exchange.account.clone(),
            task: exchange.header(TASK_KIND_HEADER).unwrap_or("default").into(),
            release: release.clone(),
            server,
            data_centre,
        }))));
        Ok(Flow::Next)
    }
}

/// Request whose answer is rated, with the release and the server that answered it.
struct Subject {
    components: Arc<Components>,
    request: RequestId,
    account: AccountId,
    task: Arc<str>,
    release: Release,
    server: ServerId,
    data_centre: DataCentreId,
}

/// Starts the rating of a sampled answer in the background.
struct RatingSampler(Arc<Subject>);

#[async_trait]
impl AnswerHook for RatingSampler {
    async fn on_complete(&self, summary: &Summary) -> Result<(), Problem> {
        if !summary.text.is_empty() && rand::rng().random_bool(SAMPLE_RATIO) {
            tokio::spawn(rate(self.0.clone(), summary.text.clone()));
        }
        Ok(())
    }
}

async fn rate(subject: Arc<Subject>, text: Arc<str>) {
    let components = &subject.components;
    let Some(rating) = components.rater.rate(&text, RATING_TIMEOUT).await else { return };
    components.router.record_rating(&subject.account, &subject.task, &subject.release, rating);
    components.evaluator.observe(Sample {
        release: subject.release.clone(),
        server: subject.server.clone(),
        data_centre: subject.data_centre.clone(),
        outcome: Outcome::Rated(rating),
    });
    components.journal.set_rating(&subject.request, rating);
}
