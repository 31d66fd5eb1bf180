//! Tests of the decisions of the gateway, without a network.

mod admission;
mod affinity;
mod balancing;
mod brittle;
mod budget;
mod cascade;
mod classify;
mod cold;
mod evacuation;
mod exchange;
mod exposure;
mod fence;
mod frames;
mod freshness;
mod limit;
mod load;
mod path;
mod preflight;
mod quarantine;
mod registry;
mod relay;
mod rollout;
mod route;
mod settings;
mod transfer;
mod waits;
