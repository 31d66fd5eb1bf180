//! Answers the requests of instances that follow this one.

use {
    super::{
        PeerReport, Shared,
        message::{
            Confirmation, Fetch, Follow, MAX_FRAME_BYTES, Outcome, PATH, Part, Query, Request,
            Response, Update,
        },
    },
    crate::{follow::replica::Cursor, rollout::driver, time},
    bytes::Bytes,
    hawthornmount_core::id::InstanceId,
    hawthornmount_fleet::wire::{Keyring, Reject},
    hawthornmount_http::{
        capacity::{
            Capacity, Group, Holding, Stage,
            body::{self, Failure},
        },
        connection::meter::{Allowance, Meter},
        listener,
    },
    http::StatusCode,
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::net::TcpListener,
};

/// Time in which the head of a request has to arrive, and then its frame.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for which a request waits for something newer.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Serves other instances; never returns. Their connections belong to `group`.
pub async fn serve(listener: TcpListener, shared: Arc<Shared>, group: Group) {
    loop {
        let stream = listener::accept(&listener).await;
        let holding = match group.admit() {
            Ok(holding) => Arc::new(holding),
            Err(shortage) => {
                shared.count_shortage(shortage);
                continue;
            }
        };
        let (served, capacity) = (shared.clone(), group.capacity().clone());
        let requesting = holding.clone();
        let service = service_fn(move |request: http::Request<Incoming>| {
            let (shared, capacity) = (served.clone(), capacity.clone());
            let holding = requesting.clone();
            async move { Ok::<_, Infallible>(respond(&shared, request, &capacity, &holding).await) }
        });
        let stream = Meter::new(stream, Allowance::unbounded());
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(READ_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        let shared = shared.clone();
        tokio::spawn(async move {
            tokio::select! {
                result = connection => {
                    if let Err(error) = result {
                        log::debug!("connection from another instance failed; cause={error}");
                    }
                }
                shortage = holding.yielded() => shared.count_shortage(shortage),
            }
        });
    }
}

/// Returns the response to a request, or a status without a body if it is rejected.
async fn respond(
    shared: &Shared,
    request: http::Request<Incoming>,
    capacity: &Capacity,
    holding: &Holding,
) -> http::Response<Full<Bytes>> {
    let arrived = shared.freshness.now();
    let frame = if request.uri().path() == PATH {
        read_frame(request, capacity).await
    } else {
        Err((StatusCode::NOT_FOUND, "unknown path".into()))
    };
    let result = match frame {
        Ok(frame) => answer(shared, &frame, arrived, holding).await,
        Err(rejection) => Err(rejection),
    };
    match result {
        Ok(frame) => http::Response::new(Full::from(frame)),
        Err((status, cause)) => {
            log::warn!("rejected a frame of another instance; status={status} cause={cause}");
            let mut response = http::Response::new(Full::default());
            *response.status_mut() = status;
            response
        }
    }
}

/// Status and cause of a rejected request.
type Rejection = (StatusCode, Arc<str>);

async fn read_frame(
    request: http::Request<Incoming>,
    capacity: &Capacity,
) -> Result<Bytes, Rejection> {
    let read = body::read(request.into_body(), MAX_FRAME_BYTES, capacity);
    let Ok(frame) = tokio::time::timeout(READ_TIMEOUT, read).await else {
        return Err((StatusCode::REQUEST_TIMEOUT, "the frame did not arrive in time".into()));
    };
    frame.map_err(|failure| {
        let status = match failure {
            Failure::NoRoom(_) => StatusCode::SERVICE_UNAVAILABLE,
            Failure::TooLong | Failure::Broken(_) => StatusCode::BAD_REQUEST,
        };
        (status, failure.to_string().into())
    })
}

/// Answers a frame that arrived at `arrived`.
async fn answer(
    shared: &Shared,
    frame: &[u8],
    arrived: Duration,
    holding: &Holding,
) -> Result<Vec<u8>, Rejection> {
    let Some(secret) = shared.secret.lock().clone() else {
        return Err((StatusCode::SERVICE_UNAVAILABLE, "not registered yet".into()));
    };
    let keyring = Keyring::new(&secret);
    let request: Request = keyring.open(frame, MAX_FRAME_BYTES).map_err(|reject| {
        shared.count_rejected(reject);
        (StatusCode::FORBIDDEN, reject.to_string().into())
    })?;
    if request.to != shared.instance {
        return Err((StatusCode::FORBIDDEN, "addressed to another instance".into()));
    }
    // The connection belongs to an instance, which may be silent for long.
    holding.set_stage(Stage::Busy);
    let outcome = match request.query {
        Query::Follow(follow) => {
            Outcome::Update(answer_follower(shared, &request.from, follow, arrived).await)
        }
        Query::Report { service, reporter, report } => {
            let report = serde_json::from_slice(&report)
                .map_err(|error| (StatusCode::BAD_REQUEST, error.to_string().into()))?;
            shared.add_report(PeerReport { service, reporter, report });
            Outcome::Received
        }
        Query::Fetch(fetch) => Outcome::Part(answer_fetch(shared, &request.from, &fetch)),
    };
    let response = keyring.seal(&Response { nonce: request.nonce, outcome });
    if response.len() > MAX_FRAME_BYTES {
        shared.count_rejected(Reject::TooLarge);
        let cause = format!("the response would have {} bytes", response.len());
        return Err((StatusCode::INSUFFICIENT_STORAGE, cause.into()));
    }
    Ok(response)
}

/// Returns what is newer than the content that a follower knows, which asked at `arrived`.
pub async fn answer_follower(
    shared: &Shared,
    follower: &InstanceId,
    request: Follow,
    arrived: Duration,
) -> Update {
    let Follow { cursor, confirmation, wait, in_flight } = request;
    shared.record_in_flight(follower, in_flight, arrived);
    wait_for_progress(shared, cursor.as_ref(), confirmation, wait.min(MAX_WAIT)).await;
    update(shared, cursor.as_ref(), arrived)
}

/// Returns the part of a large value that another instance asks for.
pub fn answer_fetch(shared: &Shared, receiver: &InstanceId, fetch: &Fetch) -> Option<Part> {
    let replica = shared.replica.lock();
    shared.outbox.lock().part(&replica, receiver, fetch, time::now())
}

/// Waits until there is a change after the cursor or another confirmation than the known one.
async fn wait_for_progress(
    shared: &Shared,
    cursor: Option<&Cursor>,
    confirmation: Option<Confirmation>,
    wait: Duration,
) {
    let deadline = time::now() + wait;
    let mut progress = shared.progress.subscribe();
    loop {
        progress.borrow_and_update();
        let reached = shared.replica.lock().cursor();
        let is_known = cursor.is_some_and(|cursor| {
            cursor.origin == reached.origin
                && cursor.sequence == reached.sequence
                && cursor.stamp.era == reached.stamp.era
        });
        if !is_known || last_confirmation(shared) != confirmation {
            return;
        }
        let changed = tokio::time::timeout_at(deadline.into(), progress.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            return;
        }
    }
}

fn update(shared: &Shared, cursor: Option<&Cursor>, arrived: Duration) -> Update {
    let replica = shared.replica.lock();
    let after_arrival = |confirmed: Option<Duration>| {
        confirmed.map_or(i64::MIN, |confirmed| signed_micros(confirmed) - signed_micros(arrived))
    };
    Update {
        cursor: replica.cursor(),
        delta: replica.changes_after(cursor, |key| !driver::is_report(key)),
        confirmation: last_confirmation(shared),
        confirmed_after_arrival_us: after_arrival(shared.freshness.confirmed()),
        directory_after_arrival_us: after_arrival(shared.freshness.directory().confirmed()),
    }
}

fn last_confirmation(shared: &Shared) -> Option<Confirmation> {
    let directory = shared.freshness.directory().confirmed().map(micros)?;
    let content = shared.freshness.confirmed().map_or(0, micros);
    Some(Confirmation { content, directory })
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn signed_micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}
