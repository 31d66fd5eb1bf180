//! Pause of one instance, as if its process were stopped: its tasks are not polled, and what is
//! sent to it is queued.

use {
    parking_lot::Mutex,
    std::{
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, Waker},
    },
};

#[derive(Default)]
struct State {
    is_paused: bool,
    waker: Option<Waker>,
}

/// Switch that pauses the futures it wraps.
#[derive(Clone, Default)]
pub struct Switch(Arc<Mutex<State>>);

impl Switch {
    pub fn pause(&self) {
        self.0.lock().is_paused = true;
    }

    pub fn resume(&self) {
        let mut state = self.0.lock();
        state.is_paused = false;
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }

    pub fn wrap(
        &self,
        inner: impl Future<Output = ()> + Send + 'static,
    ) -> impl Future<Output = ()> + Send + 'static {
        Pausable { pause_switch: self.clone(), inner: Box::pin(inner) }
    }
}

struct Pausable {
    pause_switch: Switch,
    inner: Pin<Box<dyn Future<Output = ()> + Send>>,
}

impl Future for Pausable {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        {
            let mut state = self.pause_switch.0.lock();
            state.waker = Some(context.waker().clone());
            if state.is_paused {
                return Poll::Pending;
            }
        }
        self.inner.as_mut().poll(context)
    }
}
