//! Histories of calls with one idempotency key, and their check for linearizability against a
//! register that can be set only once.

use {
    std::{sync::Arc, time::Instant},
    todc_utils::{Action, History, Specification, WGLChecker},
};

/// Effect of a call, according to its answer and to the runs that the service recorded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The call ran with this request id.
    Ran(Arc<str>),
    /// The call replayed the outcome of the run with this request id.
    Replayed(Arc<str>),
    /// The call had no effect.
    Nothing,
}

/// A call with the times of its start and end.
#[derive(Clone, Debug)]
pub struct Call {
    /// When the caller sent it.
    pub called: Instant,
    /// When the caller received the answer; none if it got no answer.
    pub answered: Option<Instant>,
    /// Effect of the call.
    pub effect: Effect,
}

/// Specification of a key that runs at most once: a register that is set only once.
struct WriteOnce;

impl Specification for WriteOnce {
    type State = Option<Arc<str>>;
    type Operation = Effect;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &Effect, state: &Self::State) -> (bool, Self::State) {
        match operation {
            Effect::Ran(run) => (state.is_none(), Some(run.clone())),
            Effect::Replayed(run) => (state.as_ref() == Some(run), state.clone()),
            Effect::Nothing => (true, state.clone()),
        }
    }
}

/// Returns whether the calls with one key are linearizable, that is, whether they can be ordered
/// consistently with their times such that the key ran at most once and every replayed outcome is
/// that of the run.
pub fn is_linearizable(calls: &[Call]) -> bool {
    if calls.is_empty() {
        return true;
    }
    let mut events = Vec::new();
    for (process, call) in calls.iter().enumerate() {
        events.push((Some(call.called), process, Action::Call(call.effect.clone())));
        events.push((call.answered, process, Action::Response(call.effect.clone())));
    }
    events
        .sort_by_key(|(at, _, action)| (at.is_none(), *at, matches!(action, Action::Response(_))));
    let actions = events.into_iter().map(|(_, process, action)| (process, action)).collect();
    WGLChecker::<WriteOnce>::is_linearizable(History::from_actions(actions))
}
