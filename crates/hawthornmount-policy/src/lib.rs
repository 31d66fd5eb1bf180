//! Pure routing decisions: cascade, version, server, admission and retry.
