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

#[derive(Clone, Default)]
pub struct Gate(Arc<Mutex<State>>);

impl Gate {
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

    pub fn guard(
        &self,
        inner: impl Future<Output = ()> + Send + 'static,
    ) -> impl Future<Output = ()> + Send + 'static {
        Guarded { gate: self.clone(), inner: Box::pin(inner) }
    }
}

struct Guarded {
    gate: Gate,
    inner: Pin<Box<dyn Future<Output = ()> + Send>>,
}

impl Future for Guarded {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        {
            let mut state = self.gate.0.lock();
            state.waker = Some(context.waker().clone());
            if state.is_paused {
                return Poll::Pending;
            }
        }
        self.inner.as_mut().poll(context)
    }
}
