//! The platform's key-value service behind a trait, with an adapter for the etcd v3 JSON gateway.
