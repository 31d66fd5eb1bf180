//! Role assignment by rendezvous hashing over the live members. Instances with different views of
//! the membership may assign a role to different members, so correctness must not depend on a role
//! having a single holder.

use hawthornmount_core::{
    id::InstanceId,
    snapshot::{Liveness, Member},
};

/// Returns the rank of `local` for `role` among the live members of its data centre, where rank 0
/// is the first choice. An instance that is not a live member has no rank.
pub fn rank(members: &[Member], local: &InstanceId, role: &str) -> Option<usize> {
    let own = members.iter().find(|member| member.id == *local)?;
    let own_place = place(&own.id, role);
    let ahead = |member: &&Member| {
        member.data_centre == own.data_centre
            && is_live(member)
            && place(&member.id, role) > own_place
    };
    is_live(own).then(|| members.iter().filter(ahead).count())
}

/// Returns whether a member may hold a role.
pub const fn is_live(member: &Member) -> bool {
    matches!(member.liveness, Liveness::Alive | Liveness::Suspect)
}

/// Returns the place of an instance in the order for a role; the greatest place comes first, and no two
/// instances have the same one.
pub fn place(id: &InstanceId, role: &str) -> (u64, InstanceId) {
    (weight(id, role), id.clone())
}

/// Returns the rendezvous weight of an instance for a role; the highest weight comes first.
pub fn weight(id: &InstanceId, role: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(role.as_bytes());
    hasher.update(&[0]);
    hasher.update(id.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
