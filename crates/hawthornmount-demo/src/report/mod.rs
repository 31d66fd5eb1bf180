//! Report that the demo prints.

use {
    crate::{
        check::Check,
        deployment::Deployment,
        load::{Completed, Outcome},
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

/// Statistics of one version or service.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// `model@version`, or the name of the service.
    pub release: Arc<str>,
    /// Number of answers.
    pub requests: u64,
    /// Price of the answers, in micro-units.
    pub cost: u64,
    /// Fraction of answers that were good, from 0 to 1; `None` for services.
    pub quality: Option<f64>,
    /// Median time to the last byte of the answer, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile of the time to the last byte, in milliseconds.
    pub p95_ms: f64,
    /// 95th percentile of the time to the first byte, in milliseconds.
    pub first_p95_ms: f64,
}

/// Number of occurrences of a reason.
#[derive(Clone, Debug, Serialize)]
pub struct Count {
    /// Machine-readable reason.
    pub reason: &'static str,
    /// Number of occurrences at all instances.
    pub count: u64,
}

/// Results of a load.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Number of requests that were sent.
    pub requests: usize,
    /// Number of requests that got neither an answer nor a refusal.
    pub failed: usize,
    /// Price billed to the accounts, in micro-units.
    pub billed: u64,
    /// Price of all requests that ran, in micro-units.
    pub cost: u64,
    /// Statistics by version and service.
    pub lines: Vec<Line>,
    /// Refusals by reason.
    pub refusals: Vec<Count>,
    /// Retries by reason.
    pub retries: Vec<Count>,
    /// Results of the checks.
    pub checks: Vec<Check>,
}

/// Accumulated measurements of one version or service. Times are in microseconds.
struct Totals {
    last_byte: Histogram<u64>,
    first_byte: Histogram<u64>,
    cost: u64,
    rated: u64,
    quality_sum: f64,
}

impl Report {
    /// Builds the report from the completed requests, the instances' metrics and the ledger.
    pub async fn new(deployment: &Deployment, completed: &[Completed], checks: Vec<Check>) -> Self {
        let failed =
            completed.iter().filter(|request| matches!(request.outcome, Outcome::Failed)).count();
        let mut report = Self {
            requests: completed.len(),
            failed,
            billed: 0,
            cost: 0,
            lines: lines(deployment, completed),
            refusals: counts(deployment, Refusal::ALL.iter().map(|reason| reason.as_str()), true),
            retries: counts(deployment, Retry::ALL.iter().map(|reason| reason.as_str()), false),
            checks,
        };
        for account in crate::load::ACCOUNTS {
            let Some(instance) = deployment.instances.first() else { continue };
            let total = instance.components().ledger.total(&account.id.into()).await;
            let total = total.unwrap_or_default();
            report.billed += total.billed;
            report.cost += total.cost;
        }
        report
    }

    /// Returns whether every check passed.
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
            let quality =
                line.quality.map_or_else(|| "-".to_owned(), |quality| format!("{quality:.2}"));
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
            let result = if check.pass { "ok  " } else { "FAIL" };
            writeln!(f, "{result} {}: {}", check.name, check.detail)?;
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

fn lines(deployment: &Deployment, completed: &[Completed]) -> Vec<Line> {
    let mut totals: Table<Totals> = Table::new();
    for request in completed {
        let Outcome::Answered(answered) = &request.outcome else { continue };
        let release: Arc<str> = if answered.release.is_empty() {
            "grant-portal".into()
        } else {
            answered.release.clone()
        };
        if !totals.contains(&release) {
            totals.insert(release.clone(), Totals::new());
        }
        let Some(row) = totals.get_mut(&release) else { continue };
        let _ = row.last_byte.record(micros(answered.total));
        let _ = row.first_byte.record(micros(answered.first_byte));
        row.cost += price(deployment, &release, answered.tokens);
        if let Some(quality) = answered.quality {
            row.rated += 1;
            row.quality_sum += quality;
        }
    }
    totals.iter().map(|row| row.value.line(&row.id)).collect()
}

/// Returns the price of one answer, in micro-units.
fn price(deployment: &Deployment, release: &str, tokens: u64) -> u64 {
    let Some(instance) = deployment.instances.first() else { return 0 };
    let config = instance.components().snapshot.load().config.clone();
    let model = release.split('@').next().unwrap_or(release);
    match config.models.get(model) {
        Some(model) => model.price * tokens / TOKENS_PER_PRICE,
        None => config.services.get(release).map_or(0, |service| service.price),
    }
}

impl Totals {
    fn new() -> Self {
        let histogram = Histogram::new(3).expect("3 digits are a valid precision");
        Self {
            last_byte: histogram.clone(),
            first_byte: histogram,
            cost: 0,
            rated: 0,
            quality_sum: 0.0,
        }
    }

    fn line(&self, release: &Arc<str>) -> Line {
        let ms = |histogram: &Histogram<u64>, quantile: f64| {
            histogram.value_at_quantile(quantile) as f64 / 1_000.0
        };
        Line {
            release: release.clone(),
            requests: self.last_byte.len(),
            cost: self.cost,
            quality: (self.rated > 0).then(|| self.quality_sum / self.rated as f64),
            p50_ms: ms(&self.last_byte, 0.5),
            p95_ms: ms(&self.last_byte, 0.95),
            first_p95_ms: ms(&self.first_byte, 0.95),
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the refusals or retries by reason, summed over the instances; reasons that did not occur
/// are left out.
fn counts(
    deployment: &Deployment,
    reasons: impl Iterator<Item = &'static str>,
    refusals: bool,
) -> Vec<Count> {
    let count = |reason: &'static str| {
        let sum = deployment.instances.iter().map(|instance| {
            let metrics = &instance.components().metrics;
            let counter = if refusals { &metrics.refusals } else { &metrics.retries };
            counter.with_label_values(&[reason]).get()
        });
        Count { reason, count: sum.sum() }
    };
    reasons.map(count).filter(|count| count.count > 0).collect()
}
