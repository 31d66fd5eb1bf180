//! Rules that no decision may break.

use {
    hawthornmount_core::{
        config::State,
        id::ModelId,
        snapshot::{Release, Snapshot},
    },
    std::cmp::Ordering,
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

/// Returns the newest proven version of `model` that new work of `account` may go to, for when the
/// stable one is withdrawn or suspended. The newest is the last in order of the names, in which
/// numbers count by their value.
pub fn fallback(snapshot: &Snapshot, account: &str, model: &ModelId) -> Option<Release> {
    let row = snapshot.config.models.get(model)?;
    row.versions
        .iter()
        .filter(|version| version.value.state == State::Proven)
        .map(|version| Release { model: model.clone(), version: version.id.clone() })
        .filter(|release| is_usable(snapshot, account, release))
        .max_by(|a, b| by_number(&a.version, &b.version))
}

/// Compares names whose runs of digits count as numbers.
fn by_number(a: &str, b: &str) -> Ordering {
    parts(a).cmp(parts(b)).then_with(|| a.cmp(b))
}

/// Returns the parts of a name: a run of digits with its number, or one other character.
fn parts(name: &str) -> impl Iterator<Item = (u64, char)> {
    let mut rest = name;
    std::iter::from_fn(move || {
        let digits = rest.len() - rest.trim_start_matches(|c: char| c.is_ascii_digit()).len();
        if digits > 0 {
            let number = rest[..digits].parse().unwrap_or(u64::MAX);
            rest = &rest[digits..];
            return Some((number, '0'));
        }
        let first = rest.chars().next()?;
        rest = &rest[first.len_utf8()..];
        Some((0, first))
    })
}
