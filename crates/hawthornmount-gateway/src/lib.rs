//! The front for opaque requests: routes by host and path to services, whose servers get method,
//! path, query and body unchanged. Requests pass the filters of [`filter::chain`]; what the program
//! knows of configuration and servers is followed by one control thread ([`follow`]) and read as a
//! [`view::View`]. How a platform spells all this is hidden behind [`message::Dialect`] and
//! [`source::Vocabulary`].

pub mod affinity;
pub mod balancing;
pub mod budget;
pub mod cascade;
pub mod filter;
pub mod follow;
pub mod forward;
pub mod freshness;
pub mod frontend;
pub mod instance;
pub mod load;
pub mod message;
pub mod pool;
pub mod registry;
pub mod rollout;
pub mod roster;
pub mod route;
pub mod settings;
pub mod source;
pub mod sse;
pub mod view;

pub use instance::Instance;
