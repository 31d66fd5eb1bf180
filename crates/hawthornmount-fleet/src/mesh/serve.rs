//! Answers to the questions of peers.

use {
    super::{Mesh, ask},
    crate::{
        Message, Topic,
        transport::Connection,
        wire::{Answer, MAX_STREAM_BYTES, Outcome, Question, Request},
    },
    std::{io, sync::Arc, time::Duration},
    tokio::{io::AsyncWriteExt, sync::Semaphore},
};

/// Connections that are served at a time.
const AT_A_TIME: usize = 32;
/// Time that one connection may take.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

impl Mesh {
    pub(super) async fn serve_all(self: &Arc<Self>) {
        let permits = Arc::new(Semaphore::new(AT_A_TIME));
        loop {
            let connection = match self.transport().accept().await {
                Ok(connection) => connection,
                Err(error) => {
                    log::warn!("a connection was not accepted; cause={error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                self.drop_one("connections");
                continue;
            };
            let mesh = self.clone();
            tokio::spawn(async move {
                let _permit = permit;
                let served = tokio::time::timeout(TIMEOUT, mesh.serve(connection)).await;
                if !matches!(served, Ok(Ok(()))) {
                    mesh.drop_one("connection");
                }
            });
        }
    }

    async fn serve(self: &Arc<Self>, mut connection: Connection) -> io::Result<()> {
        let nonce = self.state.lock().nonce();
        connection.write_u64(nonce).await?;
        connection.flush().await?;
        let bytes = ask::read(&mut connection).await?;
        let request: Request = self.key.open(&bytes, MAX_STREAM_BYTES).map_err(|reject| {
            self.drop_one(&reject.to_string());
            io::Error::other(reject)
        })?;
        if request.nonce != nonce {
            self.drop_one("replayed");
            return Err(io::Error::other("the question is of another connection"));
        }
        let outcome = self.answer(request).await;
        let from = self.state.lock().roster.local().clone();
        let answer = Answer { nonce, from, digest: self.digest(), outcome };
        let sent = ask::write(&mut connection, &self.key.seal(&answer)).await?;
        self.state.lock().traffic.inbound += sent + bytes.len() as u64;
        Ok(())
    }

    async fn answer(self: &Arc<Self>, request: Request) -> Outcome {
        if request.to != self.id {
            return Outcome::Misaddressed;
        }
        let asker = request.from.id.clone();
        if asker != self.id {
            self.learn(request.from);
        }
        match request.question {
            Question::Check => Outcome::Reachable(true),
            Question::Relay(record) => Outcome::Reachable(self.is_reachable(&record).await),
            Question::Sync(records) => {
                let known = self.all_records();
                for record in records {
                    self.learn(record);
                }
                Outcome::Members(known)
            }
            Question::Topic(topic, payload) => {
                let message = Message { from: asker, payload: payload.into() };
                self.respond(topic, message).await
            }
        }
    }

    async fn respond(&self, topic: Topic, message: Message) -> Outcome {
        let responder = {
            let responders = self.responders.lock();
            let found = responders.iter().find(|one| one.topic == topic);
            found.map(|one| one.responder.clone())
        };
        match responder {
            Some(responder) => Outcome::Topic(responder.respond(message).await.to_vec()),
            None => Outcome::NoResponder,
        }
    }
}
