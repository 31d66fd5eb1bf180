//! Looks at the servers' load pages and at the platform's list.

use {
    super::Change,
    crate::instance::Parts,
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

/// Pause between two looks at a server, or at the list, at the least.
const PAUSE: Duration = Duration::from_millis(250);
/// Looks a second of one instance at the most, so that they don't grow with the fleet.
const LOOKS_PER_SECOND: u32 = 120;
/// Time that a look may take.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Looks at a time.
const AT_A_TIME: usize = 16;

/// Load page of a server.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    /// Requests that run or wait.
    pub load: u32,
    /// Age of the report when it was handed out.
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

/// A loaded version.
#[derive(Clone, Debug, Deserialize)]
pub struct Loaded {
    /// The model.
    pub model: Arc<str>,
    /// The version.
    pub version: Arc<str>,
}

/// What one look at a server saw.
pub struct Seen {
    /// The server.
    pub server: ServerId,
    /// Its load page; none if it did not answer.
    pub report: Option<Report>,
    /// When the report was made.
    pub at: Instant,
}

#[derive(Deserialize)]
struct Listed {
    id: Arc<str>,
    kind: Arc<str>,
    state: Arc<str>,
}

/// Looks at every server of the configuration again and again.
pub async fn watch_servers(parts: Arc<Parts>, sender: mpsc::Sender<Change>) {
    let client = Client::new();
    loop {
        let config = parts.snapshot.load().config.clone();
        let looks: Vec<_> = config
            .servers
            .iter()
            .map(|row| look(client.clone(), row.id.clone(), row.value.address))
            .collect();
        stream::iter(looks)
            .buffer_unordered(AT_A_TIME)
            .for_each(|seen| async {
                let _ = sender.send(Change::Load(seen)).await;
            })
            .await;
        tokio::time::sleep(pause(config.servers.len())).await;
    }
}

/// Returns the pause between two rounds of looks at `servers` servers.
fn pause(servers: usize) -> Duration {
    let servers = u32::try_from(servers).unwrap_or(u32::MAX);
    (Duration::from_secs(1) / LOOKS_PER_SECOND).saturating_mul(servers).max(PAUSE)
}

async fn look(client: Client, server: ServerId, address: SocketAddr) -> Seen {
    let report: Option<Report> = client.get(address, "/load", TIMEOUT).await.ok();
    let age = report.as_ref().map_or(Duration::ZERO, |report| report.age);
    let now = Instant::now();
    Seen { server, report, at: now.checked_sub(age).unwrap_or(now) }
}

/// Looks at the platform's list again and again.
pub async fn watch_list(parts: Arc<Parts>, sender: mpsc::Sender<Change>) {
    let Some(address) = parts.settings.instance_list else { return };
    let client = Client::new();
    loop {
        let listed: Result<Vec<Listed>, _> = client.get(address, "/instances", TIMEOUT).await;
        if let Ok(listed) = listed {
            let leaving = listed
                .into_iter()
                .filter(|one| &*one.kind == "server" && &*one.state == "leaving")
                .map(|one| one.id)
                .collect();
            let _ = sender.send(Change::Leaving(leaving)).await;
        }
        tokio::time::sleep(PAUSE).await;
    }
}
