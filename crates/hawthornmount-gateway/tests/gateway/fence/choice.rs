//! Events that may happen next.

use super::{
    action::{Action, Fault, Setup},
    network::{Network, Port},
};

/// Returns the events that may happen after those that have happened.
pub fn enabled(setup: &Setup, used: &[Action], network: &Network) -> Vec<Action> {
    let may_lose = used.iter().filter(|action| action.is_loss()).count() < setup.losses;
    let is_restart = |action: &&Action| matches!(action, Action::Restart(_));
    let may_restart = used.iter().filter(is_restart).count() < setup.restarts;
    // A stale answer lacks the last change before the call.
    let is_stale = usize::from(setup.fault == Fault::StaleAnswers);
    let mut enabled = vec![Action::Wait];
    for (number, port) in network.ports.iter().enumerate() {
        if let Some(call) = &port.call {
            let changes = network.history.changes() - call.changes;
            enabled.extend((0..=changes + is_stale).map(|lag| Action::Deliver(number, lag)));
        }
        enabled.extend(port.request.as_ref().and_then(|request| {
            if request.update.is_some() {
                return Some(Action::Reply(number));
            }
            request.follow.is_some().then_some(Action::Arrive(number))
        }));
        let watcher = port.watcher.as_ref().filter(|watcher| !watcher.events.is_closed());
        if watcher.is_some_and(|watcher| watcher.delivered < network.history.records.len()) {
            enabled.push(Action::Event(number));
        }
        if may_lose {
            enabled.extend(losses(number, port));
        }
        if may_restart {
            enabled.push(Action::Restart(number));
        }
    }
    let limits = [
        (Action::Configure, setup.configurations),
        (Action::Drain, setup.drains),
        (Action::Record, setup.records),
        (Action::Restore, if network.history.can_restore() { setup.restores } else { 0 }),
    ];
    let is_left = |(action, limit): &(Action, usize)| {
        used.iter().filter(|used| *used == action).count() < *limit
    };
    enabled.extend(limits.into_iter().filter(is_left).map(|(action, _)| action));
    enabled
}

/// Returns what an instance may lose.
fn losses(number: usize, port: &Port) -> Vec<Action> {
    let mut losses = Vec::new();
    if port.call.is_some() {
        losses.push(Action::Lose(number));
    }
    if port.request.as_ref().is_some_and(|request| request.follow.is_some()) {
        losses.push(Action::Cut(number));
    }
    if port.watcher.as_ref().is_some_and(|watcher| !watcher.events.is_closed()) {
        losses.push(Action::Interrupt(number));
    }
    losses
}
