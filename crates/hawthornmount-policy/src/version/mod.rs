//! Choice of the models for a request and of the version of a model for a new session.

use {
    crate::eligibility,
    hawthornmount_core::{
        config::{Account, Config},
        id::ModelId,
        reason::Refusal,
        snapshot::{Release, Snapshot},
    },
    rand::RngExt,
};

/// Returns the models that a request may try, from cheap to costly: the named model, or those of
/// the account's cascade.
///
/// # Errors
///
/// Returns the reason if the account has no cascade and the request names no model.
pub fn models(
    config: &Config,
    account: &Account,
    named: Option<&ModelId>,
) -> Result<Vec<ModelId>, Refusal> {
    if let Some(model) = named {
        return Ok(vec![model.clone()]);
    }
    let cascade = account.cascade.as_ref().and_then(|id| config.cascades.get(id));
    cascade.map(|cascade| cascade.models.clone()).ok_or(Refusal::NotAllowed)
}

/// Returns the version of `model` for a new session: the one under roll-out for its share of the
/// sessions, otherwise the stable one, otherwise the newest proven one that the account may use.
pub fn choose(snapshot: &Snapshot, account: &str, model: &ModelId) -> Option<Release> {
    let row = snapshot.config.models.get(model)?;
    let rollout_share = snapshot.shares.iter().find(|share| share.release.model == *model);
    if let Some(share) = rollout_share
        && eligibility::is_usable(snapshot, account, &share.release)
        && rand::rng().random_bool(share.fraction.clamp(0.0, 1.0))
    {
        return Some(share.release.clone());
    }
    let stable = Release { model: model.clone(), version: row.stable.clone() };
    let usable = eligibility::is_usable(snapshot, account, &stable).then_some(stable);
    usable.or_else(|| eligibility::fallback(snapshot, account, model))
}
