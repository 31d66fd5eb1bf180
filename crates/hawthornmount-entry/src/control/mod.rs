//! Control thread, which owns all control state and publishes it as immutable snapshots.

pub mod status;

mod demand;
mod load;
mod rollout;
mod state;
#[cfg(test)]
mod tests;

use {
    crate::instance::Components,
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
pub fn start(components: &Arc<Components>) -> io::Result<Handle> {
    let (stop, stopped) = oneshot::channel();
    let responder = status::StatusResponder(Arc::downgrade(components));
    components.fleet.respond_with(Topic::Status, Arc::new(responder));
    let components = components.clone();
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    {
        let _guard = runtime.enter();
        components.mesh.attach(Arc::new(Net::bind(components.settings.fleet)?));
    }
    thread::Builder::new().name("control".to_owned()).spawn(move || {
        runtime.block_on(async {
            tokio::select! {
                () = run(&components) => {}
                _ = stopped => {}
            }
        });
        runtime.shutdown_background();
    })?;
    Ok(Handle { stop: Some(stop) })
}

async fn run(components: &Arc<Components>) {
    let (sender, mut changes) = mpsc::channel(CHANGE_QUEUE_CAPACITY);
    let mut accepted = follow_config(components);
    tokio::spawn(components.mesh.clone().run());
    tokio::spawn(load::poll_servers(components.clone(), sender.clone()));
    tokio::spawn(demand::run(components.clone()));
    tokio::spawn(load::poll_instance_list(components.clone(), sender));
    rollout::start(components);
    let mut state = State::new(components);
    let mut publish = tokio::time::interval(PUBLISH_INTERVAL);
    loop {
        tokio::select! {
            Ok(()) = accepted.changed() => {
                if let Some(accepted) = accepted.borrow_and_update().clone() {
                    log::info!("configuration in force; revision={}", accepted.revision);
                    state.update_config(accepted);
                    state.publish(components);
                }
            }
            change = changes.recv() => match change {
                Some(Change::Load(observation)) => state.update_load(observation),
                Some(Change::Leaving(servers)) => state.set_leaving(servers),
                None => return,
            },
            _ = publish.tick() => state.publish(components),
            () = components.evaluator.changed() => state.publish(components),
        }
    }
}

/// Starts to follow the configuration and returns a receiver of the newest accepted one.
fn follow_config(components: &Components) -> watch::Receiver<Option<config::Accepted>> {
    let follower = config::Follower::new(
        components.store.clone(),
        components.fleet.clone(),
        components.mesh.tracker().clone(),
        components.metrics.clone(),
    );
    let accepted = follower.subscribe();
    tokio::spawn(async move { follower.run().await });
    accepted
}
