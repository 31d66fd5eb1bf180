//! Membership, gossip and configuration propagation between entry instances.
