//! HTTP gateway for requests whose content it does not interpret. It routes them by host and path
//! to services, whose servers receive method, path, query and body unchanged.
//!
//! Requests pass the filters of [`filter::chain`]. One control thread ([`follow`]) follows the
//! configuration and the servers in the store; the traffic thread reads them as a [`view::View`].
//! How a platform encodes requests and stored values is hidden behind [`message::Dialect`] and
//! [`schema::Codec`].

pub mod adaptation;
pub mod affinity;
pub mod balancing;
pub mod budget;
pub mod cascade;
pub mod clients;
pub mod evacuation;
pub mod filter;
pub mod follow;
pub mod forward;
pub mod freshness;
pub mod frontend;
pub mod instance;
pub mod limit;
pub mod load;
pub mod membership;
pub mod message;
pub mod path;
pub mod pool;
pub mod quarantine;
pub mod registry;
pub mod relay;
pub mod rollout;
pub mod route;
pub mod schema;
pub mod settings;
pub mod sse;
pub mod time;
pub mod view;

pub use instance::Instance;
