//! Histories of calls under one key, and their check against a register that is set once.

use {
    std::{sync::Arc, time::Instant},
    todc_utils::{Action, History, Specification, WGLChecker},
};

/// What a call did, as its answer and the service's own record tell.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// It ran under this request id.
    Ran(Arc<str>),
    /// It repeated the outcome of the run with this request id.
    Repeated(Arc<str>),
    /// It did nothing.
    Nothing,
}

/// One call with its times.
#[derive(Clone, Debug)]
pub struct Call {
    /// When the caller sent it.
    pub called: Instant,
    /// When the caller had the answer; none if it never came.
    pub answered: Option<Instant>,
    /// What it did.
    pub effect: Effect,
}

/// Key that runs at most once.
struct Once;

impl Specification for Once {
    type State = Option<Arc<str>>;
    type Operation = Effect;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &Effect, state: &Self::State) -> (bool, Self::State) {
        match operation {
            Effect::Ran(run) => (state.is_none(), Some(run.clone())),
            Effect::Repeated(run) => (state.as_ref() == Some(run), state.clone()),
            Effect::Nothing => (true, state.clone()),
        }
    }
}

/// Tells whether the calls under one key can be explained by one order in which the key ran at
/// most once and every repeated outcome is that of the run.
pub fn is_once(calls: &[Call]) -> bool {
    if calls.is_empty() {
        return true;
    }
    let mut moments = Vec::new();
    for (process, call) in calls.iter().enumerate() {
        moments.push((Some(call.called), process, Action::Call(call.effect.clone())));
        moments.push((call.answered, process, Action::Response(call.effect.clone())));
    }
    moments
        .sort_by_key(|(at, _, action)| (at.is_none(), *at, matches!(action, Action::Response(_))));
    let actions = moments.into_iter().map(|(_, process, action)| (process, action)).collect();
    WGLChecker::<Once>::is_linearizable(History::from_actions(actions))
}
