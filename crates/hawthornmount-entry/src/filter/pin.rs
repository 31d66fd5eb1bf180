//! Keeps a session on its version.

use {
    super::{Filter, Flow},
    crate::{
        exchange::{Exchange, Kind, TOKEN_HEADER},
        instance::Parts,
        session::Sessions,
    },
    async_trait::async_trait,
    hawthornmount_core::{metrics::Metrics, problem::Problem, snapshot::Release},
    hawthornmount_ledger::Pin as Held,
    hawthornmount_policy::eligibility,
    std::sync::Arc,
};

pub struct Pin {
    sessions: Arc<Sessions>,
    metrics: Metrics,
}

impl Pin {
    pub fn new(parts: &Parts) -> Self {
        Self { sessions: parts.sessions.clone(), metrics: parts.metrics.clone() }
    }

    /// Returns the pin of the request's token, and takes the session's name from it if the caller
    /// gave none.
    fn brought(&self, exchange: &mut Exchange) -> Option<Held> {
        let held = self.sessions.verify(exchange.header(TOKEN_HEADER)?);
        let held = held.filter(|held| {
            let named = exchange.session.as_ref();
            held.account == exchange.account && named.is_none_or(|named| *named == held.session)
        });
        if held.is_none() {
            self.metrics.count_drop("session", "bad_token");
            exchange.trace.step("the session's token is not valid and is passed over");
        }
        let held = held?;
        exchange.session = Some(held.session.clone());
        Some(held)
    }
}

#[async_trait]
impl Filter for Pin {
    fn name(&self) -> &'static str {
        "pin"
    }

    async fn apply(&self, exchange: &mut Exchange) -> Result<Flow, Problem> {
        if !matches!(exchange.kind, Kind::Completion(_)) {
            return Ok(Flow::Next);
        }
        let brought = self.brought(exchange);
        let believed = brought.as_ref().map(release);
        let Some(session) = exchange.session.clone() else { return Ok(Flow::Next) };
        let account = exchange.account.clone();
        let mut held = match brought {
            Some(held) => Some(held),
            None => self.sessions.find(&account, &session).await,
        };
        if held.as_ref().is_some_and(|held| !is_usable(exchange, held)) {
            let later = self.sessions.find(&account, &session).await;
            held = latest(held, later);
        }
        if held.as_ref().is_some_and(|held| !is_usable(exchange, held)) {
            let later = self.sessions.find_recorded(&account, &session).await;
            held = latest(held, later);
        }
        if let Some(held) = held {
            keep(exchange, held);
        }
        if exchange.pinned.is_some() && believed != exchange.pinned {
            exchange.moved_from = believed;
        }
        Ok(Flow::Next)
    }
}

fn latest(one: Option<Held>, other: Option<Held>) -> Option<Held> {
    one.into_iter().chain(other).max_by_key(|held| held.generation)
}

fn release(held: &Held) -> Release {
    Release { model: held.model.clone(), version: held.version.clone() }
}

fn is_usable(exchange: &Exchange, held: &Held) -> bool {
    eligibility::is_usable(&exchange.snapshot, &exchange.account, &release(held))
}

fn keep(exchange: &mut Exchange, held: Held) {
    let name = format!("{}@{}", held.model, held.version);
    if is_usable(exchange, &held) {
        exchange.trace.step(format!("the session keeps {name}"));
        exchange.pinned = Some(release(&held));
    } else {
        exchange.trace.step(format!("the session has to leave {name}"));
        exchange.moved_from = Some(release(&held));
    }
    exchange.pin = Some(held);
}

/// Pins a session to the release that answered it first, before a byte of the answer goes out.
/// Returns the release that the session has to keep instead, if another answer was first.
pub async fn confirm(
    sessions: &Sessions,
    exchange: &mut Exchange,
    answered: &Release,
) -> Option<Release> {
    let session = exchange.session.clone()?;
    if exchange.pinned.is_some() {
        if let Some(held) = &exchange.pin {
            sessions.note(held);
        }
        return None;
    }
    let generation = exchange.pin.as_ref().map_or(0, |held| held.generation + 1);
    let proposed = Held {
        account: exchange.account.clone(),
        session,
        model: answered.model.clone(),
        version: answered.version.clone(),
        generation,
    };
    let held = sessions.settle(proposed).await;
    if release(&held) == *answered {
        exchange.pin = Some(held);
        return None;
    }
    keep(exchange, held);
    exchange.pinned.clone()
}
