//! Rules that no decision may break.

use hawthornmount_core::{
    config::State,
    snapshot::{Release, Snapshot},
};

/// Tells whether new work of `account` may go to `release`: it exists, is neither withdrawn nor
/// suspended, and the account may use it.
pub fn is_usable(snapshot: &Snapshot, account: &str, release: &Release) -> bool {
    let config = &snapshot.config;
    let Some(account) = config.accounts.get(account) else { return false };
    let Some(model) = config.models.get(&release.model) else { return false };
    let Some(version) = model.versions.get(&release.version) else { return false };
    version.state != State::Withdrawn
        && account.allows(&release.model, &release.version)
        && !snapshot.is_suspended(release)
}
