//! Soft roles: rendezvous hashing over the live members says who plays a part. Two views of the
//! members may name different players, so no result may rest on there being only one.

use hawthornmount_core::{
    id::InstanceId,
    snapshot::{Liveness, Member},
};

/// Returns the rank of `local` for `role` among the live members of its data centre; 0 goes first.
/// An instance that is not among them has no rank.
pub fn rank(members: &[Member], local: &InstanceId, role: &str) -> Option<usize> {
    let here = members.iter().find(|member| member.id == *local)?;
    let own = weight(&here.id, role);
    let ahead = |member: &&Member| {
        member.data_centre == here.data_centre
            && is_live(member)
            && (weight(&member.id, role), &member.id) > (own, &here.id)
    };
    is_live(here).then(|| members.iter().filter(ahead).count())
}

/// Tells whether a member may play a part.
pub const fn is_live(member: &Member) -> bool {
    matches!(member.liveness, Liveness::Alive | Liveness::Suspect)
}

fn weight(id: &InstanceId, role: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(role.as_bytes());
    hasher.update(&[0]);
    hasher.update(id.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
