//! Keeps a session on its version.

use {
    super::{Filter, Flow},
    crate::{
        exchange::{Exchange, Kind},
        instance::Parts,
    },
    async_trait::async_trait,
    hawthornmount_core::{problem::Problem, snapshot::Release},
    hawthornmount_ledger::{self as ledger, Ledger},
    hawthornmount_policy::rule,
    std::sync::Arc,
};

pub struct Pin {
    ledger: Arc<dyn Ledger>,
}

impl Pin {
    pub fn new(parts: &Parts) -> Self {
        Self { ledger: parts.ledger.clone() }
    }
}

#[async_trait]
impl Filter for Pin {
    fn name(&self) -> &'static str {
        "pin"
    }

    async fn apply(&self, exchange: &mut Exchange) -> Result<Flow, Problem> {
        let Some(session) = exchange.session.clone() else { return Ok(Flow::Next) };
        if !matches!(exchange.kind, Kind::Completion(_)) {
            return Ok(Flow::Next);
        }
        match self.ledger.pinned(&exchange.account, &session).await {
            Ok(Some(pin)) => keep(exchange, Release { model: pin.model, version: pin.version }),
            Ok(None) => {}
            Err(error) => {
                exchange.trace.step(format!("the session's version can't be read: {error}"));
            }
        }
        Ok(Flow::Next)
    }
}

fn keep(exchange: &mut Exchange, release: Release) {
    let name = format!("{}@{}", release.model, release.version);
    if rule::is_usable(&exchange.snapshot, &exchange.account, &release) {
        exchange.trace.step(format!("the session keeps {name}"));
        exchange.pinned = Some(release);
    } else {
        exchange.trace.step(format!("the session has to leave {name}"));
        exchange.moved_from = Some(release);
    }
}

/// Pins a session to the release that answered it first, before a byte of the answer goes out.
/// Returns the release that the session has to keep instead, if another answer was first.
pub async fn confirm(
    ledger: &dyn Ledger,
    exchange: &mut Exchange,
    release: &Release,
) -> Option<Release> {
    let session = exchange.session.clone()?;
    if exchange.pinned.is_some() {
        return None;
    }
    let wish = ledger::Pin {
        account: exchange.account.clone(),
        session,
        model: release.model.clone(),
        version: release.version.clone(),
        generation: 0,
    };
    let pin = match ledger.pin(wish).await {
        Ok(pin) => pin,
        Err(error) => {
            exchange.trace.step(format!("the session's version can't be recorded: {error}"));
            return None;
        }
    };
    let kept = Release { model: pin.model, version: pin.version };
    if kept == *release {
        return None;
    }
    keep(exchange, kept);
    exchange.pinned.clone()
}
