//! The control thread: it owns all control state and publishes it as one snapshot.

mod load;
mod rollout;
mod state;

use {
    crate::instance::Parts,
    hawthornmount_fleet::{config, transport::net::Net},
    state::State,
    std::{io, sync::Arc, thread, time::Duration},
    tokio::{
        runtime,
        sync::{mpsc, oneshot},
    },
};

/// Pause between two publications at the least.
const PUBLISH_PAUSE: Duration = Duration::from_millis(100);
/// Changes that wait for the control thread.
const CHANGE_BACKLOG: usize = 1_024;

/// A change of the control state.
enum Change {
    /// A newer configuration was accepted.
    Config(config::Accepted),
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
    tokio::spawn(parts.mesh.clone().run());
    tokio::spawn(follow_config(parts.clone(), sender.clone()));
    tokio::spawn(load::watch_servers(parts.clone(), sender.clone()));
    tokio::spawn(load::watch_list(parts.clone(), sender));
    rollout::start(parts);
    let mut state = State::new(parts);
    let mut publish = tokio::time::interval(PUBLISH_PAUSE);
    loop {
        tokio::select! {
            change = changes.recv() => match change {
                Some(Change::Config(accepted)) => {
                    log::info!("configuration in force; revision={}", accepted.revision);
                    state.take_config(accepted);
                    state.publish(parts);
                }
                Some(Change::Load(seen)) => state.take_load(seen),
                Some(Change::Leaving(servers)) => state.take_leaving(servers),
                None => return,
            },
            _ = publish.tick() => state.publish(parts),
            () = parts.judge.changed() => state.publish(parts),
        }
    }
}

async fn follow_config(parts: Arc<Parts>, sender: mpsc::Sender<Change>) {
    config::follow(&*parts.store, |accepted| {
        if sender.try_send(Change::Config(accepted)).is_err() {
            parts.metrics.drop_one("control", "backlog");
        }
    })
    .await;
}
