//! Connections of callers.

use {
    super::{accept, answer},
    crate::{
        filter::{self, Answer, Exchange, Filter},
        instance::Parts,
    },
    hawthornmount_core::{id, problem::Problem},
    http::header,
    http_body::Body,
    hyper::{Request, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, pin::pin, sync::Arc, time::Instant},
    tokio::net::{TcpListener, TcpStream},
};

/// Smallest buffer that the library takes, in bytes.
const MIN_BUFFER: usize = 8_192;

/// Filters with the parts that they share.
struct Front {
    parts: Arc<Parts>,
    path: Vec<Box<dyn Filter>>,
}

/// Serves callers for ever.
pub async fn serve(listener: TcpListener, parts: Arc<Parts>) {
    let path = filter::path(&parts);
    let front = Arc::new(Front { parts, path });
    loop {
        let stream = accept(&listener).await;
        tokio::spawn(front.clone().connection(stream));
    }
}

impl Front {
    /// Serves one connection; when the instance stops, requests in flight end and the connection is
    /// closed.
    async fn connection(self: Arc<Self>, stream: TcpStream) {
        let limits = self.parts.cell.load().rules.limits.clone();
        let front = self.clone();
        let service = service_fn(move |request| {
            let front = front.clone();
            async move { Ok::<_, Infallible>(front.handle(request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.head_bytes.max(MIN_BUFFER))
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = pin!(connection);
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = self.closing() => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = ended {
            log::debug!("a caller's connection ended; cause={error}");
        }
    }

    /// Waits until connections are to be closed.
    async fn closing(&self) {
        let mut closing = self.parts.closing.subscribe();
        if closing.wait_for(|closing| *closing).await.is_err() {
            log::debug!("the instance is gone while a connection is open");
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Answer {
        let arrived = Instant::now();
        let place = self.parts.in_flight.enter();
        let (head, incoming) = request.into_parts();
        let ask = self.parts.dialect.ask(&head);
        let id = ask.id.clone().unwrap_or_else(|| id::fresh("r"));
        let mut exchange = Exchange {
            id,
            arrived,
            head,
            incoming: Some(incoming),
            body: bytes::Bytes::new(),
            ask,
            view: self.parts.cell.load(),
            route: None,
            holder: None,
            answer: None,
        };
        let outcome = self.run(&mut exchange).await;
        let mut answer = match outcome {
            Ok(answer) => answer,
            Err(problem) => {
                self.parts.metrics.refuse(problem.reason);
                log::info!(
                    "no answer; id={} reason={} status={} route={} account={} revision={} \
                     confirmed_ms={} waited_ms={} detail={}",
                    exchange.id,
                    problem.reason,
                    problem.status,
                    exchange.route.as_ref().map_or("none", |route| &*route.id),
                    exchange.holder.as_ref().map_or("none", |holder| &*holder.account),
                    exchange.view.rules.revision,
                    self.parts.fence.age().as_millis(),
                    arrived.elapsed().as_millis(),
                    problem.detail
                );
                answer::problem(&problem, &exchange.id)
            }
        };
        let is_unread = exchange.incoming.as_ref().is_some_and(|body| !body.is_end_stream());
        if self.parts.is_stopping() || is_unread {
            answer.headers_mut().insert(header::CONNECTION, answer::CLOSE);
        }
        answer::hold(answer, place)
    }

    /// Passes a request through the filters.
    async fn run(&self, exchange: &mut Exchange) -> Result<Answer, Problem> {
        for filter in &self.path {
            filter.apply(exchange).await?;
        }
        Ok(exchange.answer.take().unwrap_or_else(answer::missing))
    }
}
