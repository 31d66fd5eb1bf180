//! Time that each filter takes, one request at a time.

use {
    super::path::{MODEL, key},
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

/// Requests that are timed.
const REQUESTS: u32 = 200;
/// Requests before them.
const WARM_UP: u32 = 20;
/// Name of the time that the answer hooks take.
const FINISH: &str = "finish";
/// Name of the time that reading the request takes.
const PARSE: &str = "parse";

/// Returns the mean time of each filter, in microseconds.
pub async fn times(components: &Arc<Components>) -> Table<f64> {
    let mut sums = Table::new();
    for number in 0..WARM_UP + REQUESTS {
        if number == WARM_UP {
            sums = Table::new();
        }
        one(components, &mut sums).await;
    }
    sums.iter().map(|row| (row.id.clone(), row.value / f64::from(REQUESTS))).collect()
}

async fn one(components: &Arc<Components>, sums: &mut Table<f64>) {
    let body = format!(
        r#"{{"model":"{MODEL}","messages":[{{"role":"user","content":"Draft a note."}}],"max_tokens":16}}"#
    );
    let started = Instant::now();
    let Ok(completion) = Completion::parse(body.as_bytes()) else { return };
    let kind = Kind::Completion(completion);
    let mut exchange =
        Exchange::new(components.snapshot.load(), id::generate("req"), kind, headers());
    exchange.body = body.into();
    add(sums, PARSE, started);
    for filter in filter::chain(components) {
        let started = Instant::now();
        if let Err(problem) = filter.apply(&mut exchange).await {
            log::warn!("{} refused; detail={}", filter.name(), problem.detail);
            return;
        }
        add(sums, filter.name(), started);
    }
    let Some(answer) = exchange.answer.take() else { return };
    let Content::Buffered(bytes) = answer.content else { return };
    let started = Instant::now();
    let (usage, text) = read_completion(&bytes).unwrap_or_default();
    let end = Summary {
        status: answer.status.as_u16(),
        content_type: answer.content_type,
        body: Some(bytes),
        usage,
        text,
    };
    for hook in std::mem::take(&mut exchange.answer_hooks) {
        let _ = hook.on_complete(&end).await;
    }
    add(sums, FINISH, started);
}

fn headers() -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&format!("Bearer {}", key())) {
        headers.insert("authorization", value);
    }
    headers
}

fn add(sums: &mut Table<f64>, name: &str, started: Instant) {
    let sum = sums.get(name).copied().unwrap_or(0.0);
    sums.insert(name.into(), sum + started.elapsed().as_secs_f64() * 1e6);
}
