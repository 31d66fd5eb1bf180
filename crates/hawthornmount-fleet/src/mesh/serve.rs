//! Server side of requests between instances.

use {
    super::{Mesh, request},
    crate::{
        Message, Topic,
        transport::Connection,
        wire::{MAX_STREAM_BYTES, Outcome, Query, Request, Response},
    },
    std::{io, sync::Arc, time::Duration},
    tokio::{io::AsyncWriteExt, sync::Semaphore},
};

/// Connections that are served concurrently; further ones are closed.
const MAX_CONNECTIONS: usize = 32;
/// Timeout of one connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

impl Mesh {
    pub(super) async fn accept_loop(self: &Arc<Self>) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let connection = match self.transport().accept().await {
                Ok(connection) => connection,
                Err(error) => {
                    log::warn!("a connection was not accepted; cause={error}");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                    continue;
                }
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                self.count_drop("connections");
                continue;
            };
            let mesh = self.clone();
            tokio::spawn(async move {
                let _permit = permit;
                let served = tokio::time::timeout(CONNECTION_TIMEOUT, mesh.serve(connection)).await;
                if !matches!(served, Ok(Ok(()))) {
                    mesh.count_drop("connection");
                }
            });
        }
    }

    async fn serve(self: &Arc<Self>, mut connection: Connection) -> io::Result<()> {
        let nonce = self.state.lock().nonce();
        connection.write_u64(nonce).await?;
        connection.flush().await?;
        let bytes = request::read(&mut connection).await?;
        let request: Request = self.keyring.open(&bytes, MAX_STREAM_BYTES).map_err(|reject| {
            self.count_drop(&reject.to_string());
            io::Error::other(reject)
        })?;
        if request.nonce != nonce {
            self.count_drop("replayed");
            return Err(io::Error::other("the request belongs to another connection"));
        }
        let outcome = self.execute(request).await;
        let from = self.state.lock().roster.local().clone();
        let response = Response { nonce, from, digest: self.digest(), outcome };
        let written = request::write(&mut connection, &self.keyring.seal(&response)).await?;
        self.state.lock().traffic.inbound += written + bytes.len() as u64;
        Ok(())
    }

    async fn execute(self: &Arc<Self>, request: Request) -> Outcome {
        if request.to != self.id {
            return Outcome::Misaddressed;
        }
        let requester = request.from.id.clone();
        if requester != self.id {
            self.merge_record(request.from);
        }
        match request.query {
            Query::Check => Outcome::Reachable(true),
            Query::Relay(record) => Outcome::Reachable(self.is_reachable(&record).await),
            Query::Sync(records) => {
                let known = self.all_records();
                for record in records {
                    self.merge_record(record);
                }
                Outcome::Members(known)
            }
            Query::Topic(topic, payload) => {
                let message = Message { from: requester, payload: payload.into() };
                self.respond(topic, message).await
            }
        }
    }

    async fn respond(&self, topic: Topic, message: Message) -> Outcome {
        let responder = {
            let responders = self.responders.lock();
            let found = responders.iter().find(|registered| registered.topic == topic);
            found.map(|registered| registered.responder.clone())
        };
        match responder {
            Some(responder) => Outcome::Topic(responder.respond(message).await.to_vec()),
            None => Outcome::NoResponder,
        }
    }
}
