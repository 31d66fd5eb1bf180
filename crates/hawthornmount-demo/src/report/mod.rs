//! What the demo prints.

use {
    crate::{
        check::Check,
        load::{Done, Outcome},
        world::World,
    },
    hawthornmount_core::{
        reason::{Refusal, Retry},
        table::Table,
        units::TOKENS_PER_PRICE,
    },
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{fmt, sync::Arc, time::Duration},
};

/// Figures of one version.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// Model and version, or the service.
    pub release: Arc<str>,
    /// Answers.
    pub requests: u64,
    /// Price of the answers, in micro-units.
    pub cost: u64,
    /// Part of the answers that were good, from 0 to 1; none for services.
    pub quality: Option<f64>,
    /// Median time to the whole answer, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile of the time to the whole answer, in milliseconds.
    pub p95_ms: f64,
    /// 95th percentile of the time to the first byte, in milliseconds.
    pub first_p95_ms: f64,
}

/// A reason with how often it occurred.
#[derive(Clone, Debug, Serialize)]
pub struct Count {
    /// Stable reason.
    pub reason: &'static str,
    /// How often it occurred, all instances together.
    pub count: u64,
}

/// Everything that the demo prints.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Requests that were sent.
    pub requests: usize,
    /// Requests that got neither an answer nor a refusal.
    pub failed: usize,
    /// Price that the accounts pay, in micro-units.
    pub billed: u64,
    /// Price of everything that ran, in micro-units.
    pub cost: u64,
    /// Figures by version.
    pub lines: Vec<Line>,
    /// Refusals by reason.
    pub refusals: Vec<Count>,
    /// Retries by reason.
    pub retries: Vec<Count>,
    /// Checks.
    pub checks: Vec<Check>,
}

struct Figures {
    total: Histogram<u64>,
    first: Histogram<u64>,
    cost: u64,
    rated: u64,
    quality: f64,
}

impl Report {
    /// Puts the report together.
    pub async fn new(world: &World, done: &[Done], checks: Vec<Check>) -> Self {
        let failed = done.iter().filter(|one| matches!(one.outcome, Outcome::Failed)).count();
        let mut report = Self {
            requests: done.len(),
            failed,
            billed: 0,
            cost: 0,
            lines: lines(world, done),
            refusals: counts(world, Refusal::ALL.iter().map(|one| one.as_str()), true),
            retries: counts(world, Retry::ALL.iter().map(|one| one.as_str()), false),
            checks,
        };
        for account in crate::load::ACCOUNTS {
            let Some(instance) = world.instances.first() else { continue };
            let total = instance.parts().ledger.total(&account.id.into()).await;
            let total = total.unwrap_or_default();
            report.billed += total.billed;
            report.cost += total.cost;
        }
        report
    }

    /// Tells whether every check held.
    pub fn passes(&self) -> bool {
        self.checks.iter().all(|check| check.pass)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<18} {:>8} {:>8} {:>8} {:>9} {:>9} {:>10}",
            "model@version", "requests", "cost", "quality", "p50 ms", "p95 ms", "first p95"
        )?;
        for line in &self.lines {
            let quality = line.quality.map_or_else(|| "-".to_owned(), |one| format!("{one:.2}"));
            writeln!(
                f,
                "{:<18} {:>8} {:>8} {:>8} {:>9.1} {:>9.1} {:>10.1}",
                line.release,
                line.requests,
                line.cost,
                quality,
                line.p50_ms,
                line.p95_ms,
                line.first_p95_ms
            )?;
        }
        writeln!(f, "\nbilled {} and spent {} micro-units", self.billed, self.cost)?;
        write_counts(f, "refusals", &self.refusals)?;
        write_counts(f, "retries", &self.retries)?;
        writeln!(f, "failed: {} of {}\n", self.failed, self.requests)?;
        for check in &self.checks {
            let mark = if check.pass { "ok  " } else { "FAIL" };
            writeln!(f, "{mark} {}: {}", check.name, check.detail)?;
        }
        Ok(())
    }
}

fn write_counts(f: &mut fmt::Formatter<'_>, name: &str, counts: &[Count]) -> fmt::Result {
    let texts: Vec<String> =
        counts.iter().map(|count| format!("{} {}", count.reason, count.count)).collect();
    let text = if texts.is_empty() { "none".to_owned() } else { texts.join(", ") };
    writeln!(f, "{name}: {text}")
}

fn lines(world: &World, done: &[Done]) -> Vec<Line> {
    let mut figures: Table<Figures> = Table::new();
    for one in done {
        let Outcome::Answered(answered) = &one.outcome else { continue };
        let release: Arc<str> = if answered.release.is_empty() {
            "grant-portal".into()
        } else {
            answered.release.clone()
        };
        if !figures.contains(&release) {
            figures.insert(release.clone(), Figures::new());
        }
        let Some(row) = figures.get_mut(&release) else { continue };
        let _ = row.total.record(micros(answered.total));
        let _ = row.first.record(micros(answered.first));
        row.cost += price(world, &release, answered.tokens);
        if let Some(quality) = answered.quality {
            row.rated += 1;
            row.quality += quality;
        }
    }
    figures.iter().map(|row| row.value.line(&row.id)).collect()
}

/// Returns the price of one answer, in micro-units.
fn price(world: &World, release: &str, tokens: u64) -> u64 {
    let Some(instance) = world.instances.first() else { return 0 };
    let config = instance.parts().snapshot.load().config.clone();
    let model = release.split('@').next().unwrap_or(release);
    match config.models.get(model) {
        Some(model) => model.price * tokens / TOKENS_PER_PRICE,
        None => config.services.get(release).map_or(0, |service| service.price),
    }
}

impl Figures {
    fn new() -> Self {
        let histogram = Histogram::new(3).expect("3 digits are a valid precision");
        Self { total: histogram.clone(), first: histogram, cost: 0, rated: 0, quality: 0.0 }
    }

    fn line(&self, release: &Arc<str>) -> Line {
        let ms = |histogram: &Histogram<u64>, quantile: f64| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        Line {
            release: release.clone(),
            requests: self.total.len(),
            cost: self.cost,
            quality: (self.rated > 0).then(|| self.quality / self.rated as f64),
            p50_ms: ms(&self.total, 0.5),
            p95_ms: ms(&self.total, 0.95),
            first_p95_ms: ms(&self.first, 0.95),
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn counts(
    world: &World,
    reasons: impl Iterator<Item = &'static str>,
    refusals: bool,
) -> Vec<Count> {
    let count = |reason: &'static str| {
        let sum = world.instances.iter().map(|instance| {
            let metrics = &instance.parts().metrics;
            let counter = if refusals { &metrics.refusals } else { &metrics.retries };
            counter.with_label_values(&[reason]).get()
        });
        Count { reason, count: sum.sum() }
    };
    reasons.map(count).filter(|count| count.count > 0).collect()
}
