//! End-to-end tests: real instances on loopback with stand-ins for the backend servers and the
//! platform.

mod at_most_once;
mod captured_log;
mod command_line;
mod config;
mod demo;
mod fleet;
mod guide;
mod log;
mod orders;
mod problems;
mod serve;
mod session;
mod stream;
mod version;
