//! Tests of the decisions of the gateway, without a network.

mod budget;
mod choice;
mod fence;
mod home;
mod ladder;
mod load;
mod registry;
mod rollout;
mod route;
mod settings;
mod verdict;
