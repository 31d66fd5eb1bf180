//! Session affinity: a session stays on the version that answered it first.

use {
    super::{Filter, Flow},
    crate::{
        exchange::{Exchange, Kind, SESSION_TOKEN_HEADER},
        instance::Components,
        session::Sessions,
    },
    async_trait::async_trait,
    hawthornmount_core::{metrics::Metrics, problem::Problem, snapshot::Release},
    hawthornmount_ledger::Pin,
    hawthornmount_policy::eligibility,
    std::sync::Arc,
};

/// Filter that finds the version that a session is pinned to.
pub struct Affinity {
    sessions: Arc<Sessions>,
    metrics: Metrics,
}

impl Affinity {
    pub fn new(components: &Components) -> Self {
        Self { sessions: components.sessions.clone(), metrics: components.metrics.clone() }
    }

    /// Returns the pin in the session token of the request, and sets the session from it if the
    /// request has no session header.
    fn pin_from_token(&self, exchange: &mut Exchange) -> Option<Pin> {
        let pin = self.sessions.verify(exchange.header(SESSION_TOKEN_HEADER)?);
        let pin = pin.filter(|pin| {
            let session = exchange.session.as_ref();
            pin.account == exchange.account && session.is_none_or(|id| *id == pin.session)
        });
        if pin.is_none() {
            self.metrics.count_drop("session", "bad_token");
            exchange.trace.step("the session's token is not valid and is passed over");
        }
        let pin = pin?;
        exchange.session = Some(pin.session.clone());
        Some(pin)
    }
}

#[async_trait]
impl Filter for Affinity {
    fn name(&self) -> &'static str {
        "pin"
    }

    async fn apply(&self, exchange: &mut Exchange) -> Result<Flow, Problem> {
        if !matches!(exchange.kind, Kind::Completion(_)) {
            return Ok(Flow::Next);
        }
        let token_pin = self.pin_from_token(exchange);
        let token_release = token_pin.as_ref().map(release);
        let Some(session) = exchange.session.clone() else { return Ok(Flow::Next) };
        let account = exchange.account.clone();
        let mut pin = match token_pin {
            Some(pin) => Some(pin),
            None => self.sessions.find(&account, &session).await,
        };
        // If the account may not use the pinned version, the pin may be outdated: a newer one may
        // be at the replicas or in the ledger.
        if pin.as_ref().is_some_and(|pin| !is_usable(exchange, pin)) {
            let found = self.sessions.find(&account, &session).await;
            pin = latest(pin, found);
        }
        if pin.as_ref().is_some_and(|pin| !is_usable(exchange, pin)) {
            let recorded = self.sessions.find_in_ledger(&account, &session).await;
            pin = latest(pin, recorded);
        }
        if let Some(pin) = pin {
            apply_pin(exchange, pin);
        }
        if exchange.pinned.is_some() && token_release != exchange.pinned {
            exchange.moved_from = token_release;
        }
        Ok(Flow::Next)
    }
}

/// Returns the pin with the higher generation.
fn latest(a: Option<Pin>, b: Option<Pin>) -> Option<Pin> {
    a.into_iter().chain(b).max_by_key(|pin| pin.generation)
}

fn release(pin: &Pin) -> Release {
    Release { model: pin.model.clone(), version: pin.version.clone() }
}

fn is_usable(exchange: &Exchange, pin: &Pin) -> bool {
    eligibility::is_usable(&exchange.snapshot, &exchange.account, &release(pin))
}

/// Pins the exchange to the release of `pin`, or moves it away if the account may not use that
/// release any more.
fn apply_pin(exchange: &mut Exchange, pin: Pin) {
    let name = format!("{}@{}", pin.model, pin.version);
    if is_usable(exchange, &pin) {
        exchange.trace.step(format!("the session keeps {name}"));
        exchange.pinned = Some(release(&pin));
    } else {
        exchange.trace.step(format!("the session has to leave {name}"));
        exchange.moved_from = Some(release(&pin));
    }
    exchange.pin = Some(pin);
}

/// Pins the session to the release that answered, before the first byte of the answer is sent.
/// Returns the release to use instead if a concurrent request of the session pinned it first.
pub async fn pin_release(
    sessions: &Sessions,
    exchange: &mut Exchange,
    answered: &Release,
) -> Option<Release> {
    let session = exchange.session.clone()?;
    if exchange.pinned.is_some() {
        if let Some(pin) = &exchange.pin {
            sessions.record(pin);
        }
        return None;
    }
    let generation = exchange.pin.as_ref().map_or(0, |pin| pin.generation + 1);
    let proposed = Pin {
        account: exchange.account.clone(),
        session,
        model: answered.model.clone(),
        version: answered.version.clone(),
        generation,
    };
    let pin = sessions.establish(proposed).await;
    if release(&pin) == *answered {
        exchange.pin = Some(pin);
        return None;
    }
    apply_pin(exchange, pin);
    exchange.pinned.clone()
}
