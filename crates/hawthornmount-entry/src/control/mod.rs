//! The control thread: it owns all control state and publishes it as one snapshot.

pub mod status;

mod demand;
mod load;
mod rollout;
mod state;
#[cfg(test)]
mod tests;

use {
    crate::instance::Parts,
    hawthornmount_fleet::{Topic, config, transport::net::Net},
    state::State,
    std::{io, sync::Arc, thread, time::Duration},
    tokio::{
        runtime,
        sync::{mpsc, oneshot, watch},
    },
};

/// Pause between two publications at the least.
const PUBLISH_PAUSE: Duration = Duration::from_millis(100);
/// Changes that wait for the control thread.
const CHANGE_BACKLOG: usize = 1_024;

/// A change of the control state.
enum Change {
    /// A server reported its load, or did not answer.
    Load(load::Seen),
    /// The platform's list names servers that are leaving.
    Leaving(Vec<Arc<str>>),
}

/// The running control thread.
pub struct Handle {
    stop: Option<oneshot::Sender<()>>,
}

impl Handle {
    /// Stops the thread.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }
}

/// Starts the control thread.
///
/// # Errors
///
/// Returns an error if the address for frames can't be bound or the operating system gives no
/// thread.
pub fn start(parts: &Arc<Parts>) -> io::Result<Handle> {
    let (stop, stopped) = oneshot::channel();
    let source = status::Source(Arc::downgrade(parts));
    parts.fleet.respond_with(Topic::Status, Arc::new(source));
    let parts = parts.clone();
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    {
        let _guard = runtime.enter();
        parts.mesh.attach(Arc::new(Net::bind(parts.settings.fleet)?));
    }
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        runtime.block_on(async {
            tokio::select! {
                () = run(&parts) => {}
                _ = stopped => {}
            }
        });
        runtime.shutdown_background();
    })?;
    Ok(Handle { stop: Some(stop) })
}

async fn run(parts: &Arc<Parts>) {
    let (sender, mut changes) = mpsc::channel(CHANGE_BACKLOG);
    let mut accepted = follow_config(parts);
    tokio::spawn(parts.mesh.clone().run());
    tokio::spawn(load::watch_servers(parts.clone(), sender.clone()));
    tokio::spawn(demand::share(parts.clone()));
    tokio::spawn(load::watch_list(parts.clone(), sender));
    rollout::start(parts);
    let mut state = State::new(parts);
    let mut publish = tokio::time::interval(PUBLISH_PAUSE);
    loop {
        tokio::select! {
            Ok(()) = accepted.changed() => {
                if let Some(accepted) = accepted.borrow_and_update().clone() {
                    log::info!("configuration in force; revision={}", accepted.revision);
                    state.take_config(accepted);
                    state.publish(parts);
                }
            }
            change = changes.recv() => match change {
                Some(Change::Load(seen)) => state.take_load(seen),
                Some(Change::Leaving(servers)) => state.take_leaving(servers),
                None => return,
            },
            _ = publish.tick() => state.publish(parts),
            () = parts.judge.changed() => state.publish(parts),
        }
    }
}

/// Starts to follow the configuration; the receiver shows the newest accepted one.
fn follow_config(parts: &Parts) -> watch::Receiver<Option<config::Accepted>> {
    let follower = config::Follower::new(
        parts.store.clone(),
        parts.fleet.clone(),
        parts.mesh.tracker().clone(),
        parts.metrics.clone(),
    );
    let accepted = follower.subscribe();
    tokio::spawn(async move { follower.run().await });
    accepted
}
