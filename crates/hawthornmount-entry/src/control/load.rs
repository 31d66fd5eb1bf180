//! Polls the load reports of the servers and the platform's list of instances.

use {
    super::Change,
    crate::instance::Components,
    futures::{StreamExt, stream},
    hawthornmount_core::id::ServerId,
    hawthornmount_http::client::Client,
    serde::Deserialize,
    serde_with::{DurationMilliSeconds, serde_as},
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::mpsc,
};

/// Shortest pause between two polls of a server, and the pause between two polls of the list.
const MIN_POLL_PAUSE: Duration = Duration::from_millis(250);
/// Maximum number of server polls of one instance per second, so that its polling rate does not
/// grow with the number of servers.
const MAX_POLLS_PER_SECOND: u32 = 120;
/// Time limit of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of concurrent polls.
const MAX_CONCURRENT_POLLS: usize = 16;

/// Load report of a server.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    /// Requests that are running or waiting.
    pub load: u32,
    /// Age of the report when the server sent it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default, rename = "age_ms")]
    pub age: Duration,
    /// Whether the server is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Loaded versions.
    #[serde(default)]
    pub loaded: Vec<Loaded>,
}

/// Version of a model that is loaded on a server.
#[derive(Clone, Debug, Deserialize)]
pub struct Loaded {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: Arc<str>,
}

/// Result of one poll of a server.
pub struct Observation {
    /// The server.
    pub server: ServerId,
    /// Load report of the server, or `None` if the poll failed.
    pub report: Option<Report>,
    /// When the report was made, or when the poll failed.
    pub at: Instant,
}

/// Entry of the platform's list of instances.
#[derive(Deserialize)]
struct Listed {
    id: Arc<str>,
    kind: Arc<str>,
    state: Arc<str>,
}

/// Polls all servers of the configuration repeatedly.
pub async fn poll_servers(components: Arc<Components>, sender: mpsc::Sender<Change>) {
    let client = Client::new();
    loop {
        let config = components.snapshot.load().config.clone();
        let polls: Vec<_> = config
            .servers
            .iter()
            .map(|row| poll(client.clone(), row.id.clone(), row.value.address))
            .collect();
        stream::iter(polls)
            .buffer_unordered(MAX_CONCURRENT_POLLS)
            .for_each(|observation| async {
                let _ = sender.send(Change::Load(observation)).await;
            })
            .await;
        tokio::time::sleep(pause(config.servers.len())).await;
    }
}

/// Returns the pause between two rounds of polls of `servers` servers.
fn pause(servers: usize) -> Duration {
    let servers = u32::try_from(servers).unwrap_or(u32::MAX);
    (Duration::from_secs(1) / MAX_POLLS_PER_SECOND).saturating_mul(servers).max(MIN_POLL_PAUSE)
}

async fn poll(client: Client, server: ServerId, address: SocketAddr) -> Observation {
    let report: Option<Report> = client.get(address, "/load", POLL_TIMEOUT).await.ok();
    let age = report.as_ref().map_or(Duration::ZERO, |report| report.age);
    let now = Instant::now();
    Observation { server, report, at: now.checked_sub(age).unwrap_or(now) }
}

/// Polls the platform's list of instances repeatedly; returns at once if the settings name none.
pub async fn poll_instance_list(components: Arc<Components>, sender: mpsc::Sender<Change>) {
    let Some(address) = components.settings.instance_list else { return };
    let client = Client::new();
    loop {
        let listed: Result<Vec<Listed>, _> = client.get(address, "/instances", POLL_TIMEOUT).await;
        if let Ok(listed) = listed {
            let leaving = listed
                .into_iter()
                .filter(|entry| &*entry.kind == "server" && &*entry.state == "leaving")
                .map(|entry| entry.id)
                .collect();
            let _ = sender.send(Change::Leaving(leaving)).await;
        }
        tokio::time::sleep(MIN_POLL_PAUSE).await;
    }
}
