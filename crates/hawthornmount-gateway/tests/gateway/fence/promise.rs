//! What instances promise, checked against all changes that the store has accepted.

use {
    super::node::{Node, REVOCATION},
    std::time::Duration,
};

/// A change that the operator or a server writes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    Configuration(u64),
    Drained,
}

impl Change {
    fn is_in_force(self, node: &Node) -> bool {
        match self {
            Self::Configuration(version) => node.version >= version,
            Self::Drained => !node.uses_server(),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Accepted {
    change: Change,
    at: Duration,
}

/// Changes that the store has accepted.
#[derive(Debug, Default)]
pub struct Ledger {
    accepted: Vec<Accepted>,
    /// When the store was asked the newest question that it has answered.
    answered: Duration,
}

impl Ledger {
    pub fn newest_version(&self) -> u64 {
        let version = |accepted: &Accepted| match accepted.change {
            Change::Configuration(version) => Some(version),
            Change::Drained => None,
        };
        self.accepted.iter().filter_map(version).max().unwrap_or(1)
    }

    pub fn accept(&mut self, change: Change, at: Duration) {
        self.accepted.push(Accepted { change, at });
    }

    pub fn answered(&mut self, asked: Duration) {
        self.answered = self.answered.max(asked);
    }

    /// Returns whether an instance has asked after a change and has all of them in force.
    pub fn is_change_confirmed(&self, node: &Node) -> bool {
        let is_confirmed =
            |one: &Accepted| one.change.is_in_force(node) && node.confirmed() > Some(one.at);
        !self.accepted.is_empty() && self.accepted.iter().all(is_confirmed)
    }

    /// Checks that an instance confirms no state in which a change is missing.
    ///
    /// # Errors
    ///
    /// Returns what is missing.
    pub fn check(&self, node: &Node, now: Duration) -> Result<(), String> {
        let Some(confirmed) = node.confirmed() else { return Ok(()) };
        let is_recent = node.shared.freshness.is_within_revocation_bound();
        for Accepted { change, at } in &self.accepted {
            let is_in_force = change.is_in_force(node);
            if !is_in_force && confirmed > *at {
                return Err(format!(
                    "{change:?} of {at:?} is missing in what it confirms of {confirmed:?}"
                ));
            }
            if !is_in_force && is_recent && now >= *at + REVOCATION {
                return Err(format!("{change:?} of {at:?} is missing at {now:?}"));
            }
        }
        if confirmed > self.answered {
            let answered = self.answered;
            return Err(format!("it confirms {confirmed:?}, the store was asked at {answered:?}"));
        }
        Ok(())
    }
}
