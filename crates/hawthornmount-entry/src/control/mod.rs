//! Control thread, which owns all control state and publishes it as immutable snapshots.

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

/// Interval between regular publications. A new configuration and changes of suspensions or shares
/// are published at once.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of changes queued for the control thread.
const CHANGE_QUEUE_CAPACITY: usize = 1_024;

/// Change of the control state.
enum Change {
    /// Result of polling a server's load.
    Load(load::Observation),
    /// Servers that the platform's list of instances shows as leaving.
    Leaving(Vec<Arc<str>>),
}

/// Handle of the running control thread.
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
/// Returns an error if the fleet address can't be bound or the thread can't be started.
pub fn start(parts: &Arc<Parts>) -> io::Result<Handle> {
    let (stop, stopped) = oneshot::channel();
    let responder = status::StatusResponder(Arc::downgrade(parts));
    parts.fleet.respond_with(Topic::Status, Arc::new(responder));
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
    let (sender, mut changes) = mpsc::channel(CHANGE_QUEUE_CAPACITY);
    let mut accepted = follow_config(parts);
    tokio::spawn(parts.mesh.clone().run());
    tokio::spawn(load::poll_servers(parts.clone(), sender.clone()));
    tokio::spawn(demand::run(parts.clone()));
    tokio::spawn(load::poll_instance_list(parts.clone(), sender));
    rollout::start(parts);
    let mut state = State::new(parts);
    let mut publish = tokio::time::interval(PUBLISH_INTERVAL);
    loop {
        tokio::select! {
            Ok(()) = accepted.changed() => {
                if let Some(accepted) = accepted.borrow_and_update().clone() {
                    log::info!("configuration in force; revision={}", accepted.revision);
                    state.update_config(accepted);
                    state.publish(parts);
                }
            }
            change = changes.recv() => match change {
                Some(Change::Load(observation)) => state.update_load(observation),
                Some(Change::Leaving(servers)) => state.set_leaving(servers),
                None => return,
            },
            _ = publish.tick() => state.publish(parts),
            () = parts.evaluator.changed() => state.publish(parts),
        }
    }
}

/// Starts to follow the configuration and returns a receiver of the newest accepted one.
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
