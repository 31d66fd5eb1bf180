//! Measures the time that each filter takes, with one request at a time.

use {
    super::setup::{MODEL, api_key},
    hawthornmount_core::{id, table::Table},
    hawthornmount_entry::{
        answer::{Content, Summary, read_completion},
        exchange::{Completion, Exchange, Kind},
        filter,
        instance::Components,
    },
    hawthornmount_http::{HeaderMap, HeaderValue},
    std::{sync::Arc, time::Instant},
};

/// Number of requests that are timed.
const REQUESTS: u32 = 200;
/// Number of warm-up requests before the timed ones.
const WARM_UP_REQUESTS: u32 = 20;
/// Name of the figure for the time that the answer hooks take.
const FINISH: &str = "finish";
/// Name of the figure for the time that parsing the request takes.
const PARSE: &str = "parse";

/// Returns the mean time of each filter, of parsing and of the answer hooks, in microseconds.
pub async fn mean_times(components: &Arc<Components>) -> Table<f64> {
    let mut sums = Table::new();
    for number in 0..WARM_UP_REQUESTS + REQUESTS {
        if number == WARM_UP_REQUESTS {
            sums = Table::new();
        }
        time_request(components, &mut sums).await;
    }
    sums.iter().map(|row| (row.id.clone(), row.value / f64::from(REQUESTS))).collect()
}

async fn time_request(components: &Arc<Components>, sums: &mut Table<f64>) {
    let body = format!(
        r#"{{"model":"{MODEL}","messages":[{{"role":"user","content":"Draft a note."}}],"max_tokens":16}}"#
    );
    let started = Instant::now();
    let Ok(completion) = Completion::parse(body.as_bytes()) else { return };
    let kind = Kind::Completion(completion);
    let mut exchange =
        Exchange::new(components.snapshot.load(), id::generate("req"), kind, headers());
    exchange.body = body.into();
    add_elapsed(sums, PARSE, started);
    for filter in filter::chain(components) {
        let started = Instant::now();
        if let Err(problem) = filter.apply(&mut exchange).await {
            log::warn!("filter {} rejected the request; detail={}", filter.name(), problem.detail);
            return;
        }
        add_elapsed(sums, filter.name(), started);
    }
    let Some(answer) = exchange.answer.take() else { return };
    let Content::Buffered(bytes) = answer.content else { return };
    let started = Instant::now();
    let (usage, text) = read_completion(&bytes).unwrap_or_default();
    let summary = Summary {
        status: answer.status.as_u16(),
        content_type: answer.content_type,
        body: Some(bytes),
        usage,
        text,
    };
    for hook in std::mem::take(&mut exchange.answer_hooks) {
        let _ = hook.on_complete(&summary).await;
    }
    add_elapsed(sums, FINISH, started);
}

fn headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&format!("Bearer {}", api_key())) {
        headers.insert("authorization", value);
    }
    headers
}

fn add_elapsed(sums: &mut Table<f64>, name: &str, started: Instant) {
    let sum = sums.get(name).copied().unwrap_or(0.0);
    sums.insert(name.into(), sum + started.elapsed().as_secs_f64() * 1e6);
}
