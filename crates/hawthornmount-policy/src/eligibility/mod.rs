//! Which versions a request may use. No routing decision may break these rules. The exception is
//! the baseline, [`basic`](crate::basic), which does not check a pinned version.

use {
    hawthornmount_core::{
        config::State,
        id::ModelId,
        snapshot::{Release, Snapshot},
    },
    std::cmp::Ordering,
};

/// Returns whether new requests of `account` may use `release`: it exists, is neither withdrawn nor
/// suspended, and the account is allowed to use it.
pub fn is_usable(snapshot: &Snapshot, account: &str, release: &Release) -> bool {
    let config = &snapshot.config;
    let Some(account) = config.accounts.get(account) else { return false };
    let Some(model) = config.models.get(&release.model) else { return false };
    let Some(version) = model.versions.get(&release.version) else { return false };
    version.state != State::Withdrawn
        && account.allows(&release.model, &release.version)
        && !snapshot.is_suspended(release)
}

/// Returns the newest proven version of `model` that new requests of `account` may use. It is the
/// fallback while the stable version is withdrawn or suspended. The newest version is the last one
/// in the natural order of the names, where `v10` follows `v9`.
pub fn fallback(snapshot: &Snapshot, account: &str, model: &ModelId) -> Option<Release> {
    let row = snapshot.config.models.get(model)?;
    row.versions
        .iter()
        .filter(|version| version.value.state == State::Proven)
        .map(|version| Release { model: model.clone(), version: version.id.clone() })
        .filter(|release| is_usable(snapshot, account, release))
        .max_by(|a, b| natural_order(&a.version, &b.version))
}

/// Compares names in natural order: runs of digits are compared as numbers.
fn natural_order(a: &str, b: &str) -> Ordering {
    natural_key(a).cmp(natural_key(b)).then_with(|| a.cmp(b))
}

/// Returns the sort key of a name, with one part for each run of digits and each other character.
fn natural_key(name: &str) -> impl Iterator<Item = (u64, char)> {
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
