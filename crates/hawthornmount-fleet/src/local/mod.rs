//! Fleet of a single instance, without a network.

use {
    crate::{Error, Fleet, Message, Responder, Topic},
    async_trait::async_trait,
    bytes::Bytes,
    hawthornmount_core::{id::InstanceId, snapshot::Member},
    std::sync::Arc,
    tokio::sync::mpsc,
};

/// Fleet whose only member is this instance.
pub struct Local {
    members: Arc<[Member]>,
}

impl Local {
    /// Creates a fleet whose only member is `member`.
    pub fn new(member: Member) -> Self {
        Self { members: Arc::from([member]) }
    }
}

#[async_trait]
impl Fleet for Local {
    fn members(&self) -> Arc<[Member]> {
        self.members.clone()
    }

    fn local(&self) -> InstanceId {
        self.members[0].id.clone()
    }

    fn broadcast(&self, _topic: Topic, _payload: Bytes) -> Result<(), Error> {
        Ok(())
    }

    async fn request(
        &self,
        peer: &InstanceId,
        _topic: Topic,
        _payload: Bytes,
    ) -> Result<Bytes, Error> {
        Err(Error::NotMember { peer: peer.clone() })
    }

    fn subscribe(&self, _topic: Topic, _sender: mpsc::Sender<Message>) {}

    fn respond_with(&self, _topic: Topic, _responder: Arc<dyn Responder>) {}
}
