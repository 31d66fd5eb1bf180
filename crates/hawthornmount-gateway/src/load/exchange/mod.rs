//! Exchange of loads between the instances of a data centre.
//!
//! Load: tens of instances before the same servers, of which each sees the report of a server every few
//! seconds only, and sends prompts to servers where others have just sent theirs. Each instance sends
//! the others a datagram a few times a second: what it has in flight at each server, the work of the
//! prompts that have not started, and the reports that it has seen since. Datagrams may be lost; an old
//! one expires. An instance without any decides by what it sees itself.
//!
//! Builds that don't know the exchange don't listen for it, so nothing reaches them.

pub mod task;

use {
    super::{Load, PeerLoad, Tracker},
    hawthornmount_core::id::{InstanceId, ServerId},
    hawthornmount_fleet::{
        role,
        wire::{Keyring, MAX_DATAGRAM_BYTES, Reject},
    },
    hawthornmount_policy::{admission::Rate, speed::Measurement},
    serde::{Deserialize, Serialize},
    std::time::{Duration, Instant},
};

/// Most servers that a datagram describes.
const MAX_ROWS: usize = 40;
/// Context of the hashes of instances.
const INSTANCE_HASH: &str = "load";

/// What an instance tells the others of its data centre.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Digest {
    /// The sender.
    pub from: InstanceId,
    /// Requests a second at the sender, by service.
    pub rates: Vec<Rate>,
    /// Servers, those with most work first.
    pub rows: Vec<Row>,
}

/// What an instance knows of a server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// The server.
    pub server: ServerId,
    /// Unix time in milliseconds at which it started.
    pub start_ms: u64,
    /// Requests of the sender in flight there.
    pub in_flight: u16,
    /// Those of them whose prompts have not started.
    pub pending: u16,
    /// Prefill time of these prompts at the usual speed, in milliseconds.
    pub backlog_ms: u16,
    /// Lasting slowness as the sender has measured it, in percent, and its tenths of samples; `None` if
    /// it has measured none.
    pub slowness: Option<(u16, u16)>,
    /// Failures there in a row, as the sender has seen them.
    pub failures: u16,
    /// Load that the server reported since the sender's last datagram.
    pub report: Option<Report>,
}

/// Load as a server reported it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Requests that ran.
    pub running: u16,
    /// Requests that waited.
    pub waiting: u16,
    /// Requests that can run concurrently.
    pub slots: u16,
    /// How long work takes, in percent of the usual time, if the server states it.
    pub slowdown_percent: Option<u16>,
    /// Age of the report, in milliseconds.
    pub age_ms: u16,
}

impl Digest {
    /// Seals the digest in one datagram, with as many rows as fit.
    pub fn seal(mut self, keyring: &Keyring) -> Vec<u8> {
        self.rows.truncate(MAX_ROWS);
        loop {
            let frame = keyring.seal(&self);
            if frame.len() <= MAX_DATAGRAM_BYTES || self.rows.is_empty() {
                return frame;
            }
            self.rows.truncate(self.rows.len() * 3 / 4);
        }
    }

    /// Opens a datagram.
    ///
    /// # Errors
    ///
    /// Returns the reason if it is not an authentic digest.
    pub fn open(frame: &[u8], keyring: &Keyring) -> Result<Self, Reject> {
        keyring.open(frame, MAX_DATAGRAM_BYTES)
    }
}

impl Tracker {
    /// Returns what the others of the data centre don't know yet, since the last call.
    pub fn take_rows(&mut self, now: Instant) -> Vec<Row> {
        let since = self.digested_at.replace(now);
        let mut rows = Vec::new();
        for server in &mut self.rows {
            let stats = &mut server.stats;
            let report = stats
                .report
                .filter(|report| report.is_own && since.is_none_or(|since| report.at > since));
            let is_busy = stats.in_flight > 0 || stats.pending_prompts > 0;
            if !is_busy && !stats.was_busy && report.is_none() {
                continue;
            }
            stats.was_busy = is_busy;
            rows.push(Row {
                server: server.id.clone(),
                start_ms: stats.start_ms,
                in_flight: clamp(f64::from(stats.in_flight)),
                pending: clamp(f64::from(stats.pending_prompts)),
                backlog_ms: clamp(stats.prefill_backlog_ms),
                slowness: stats
                    .slowness
                    .measured(now)
                    .map(|one| (clamp(one.value * 100.0), clamp(one.samples * 10.0))),
                failures: clamp(f64::from(stats.failures.max(stats.errors))),
                report: report.map(|report| Report {
                    running: clamp(f64::from(report.load.running)),
                    waiting: clamp(f64::from(report.load.waiting)),
                    slots: clamp(f64::from(report.load.slots)),
                    slowdown_percent: report.load.slowdown_percent,
                    age_ms: clamp(millis(now.saturating_duration_since(report.at))),
                }),
            });
        }
        rows.sort_by_key(|row| std::cmp::Reverse((row.backlog_ms, row.in_flight)));
        rows
    }

    /// Applies what another instance sent. Rows of servers that this instance does not know, or of
    /// another start of them, are skipped.
    pub fn apply_digest(&mut self, digest: &Digest, now: Instant) {
        let peer = role::weight(&digest.from, INSTANCE_HASH);
        for row in digest.rows.iter().take(MAX_ROWS) {
            let Ok(at) = self.rows.binary_search_by(|known| known.id.cmp(&row.server)) else {
                continue;
            };
            let stats = &mut self.rows[at].stats;
            if stats.start_ms != row.start_ms {
                continue;
            }
            stats.set_peer(PeerLoad {
                peer,
                at: now,
                pending_prompts: row.pending.into(),
                backlog_ms: row.backlog_ms.into(),
                slowness: row.slowness.map(|(percent, tenths)| Measurement {
                    value: f64::from(percent) / 100.0,
                    samples: f64::from(tenths) / 10.0,
                }),
                failures: row.failures.into(),
            });
            if let Some(report) = row.report {
                let load = Load {
                    running: report.running.into(),
                    waiting: report.waiting.into(),
                    slots: report.slots.into(),
                    slowdown_percent: report.slowdown_percent,
                };
                let age = Duration::from_millis(report.age_ms.into());
                if let Some(at) = now.checked_sub(age) {
                    stats.record_shared_report(load, at);
                }
            }
        }
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

/// Returns a number as it fits into a row.
fn clamp(number: f64) -> u16 {
    number.clamp(0.0, f64::from(u16::MAX)) as u16
}
