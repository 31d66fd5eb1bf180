//! End-to-end tests: real instances over loopback against the stand-ins.

mod command_line;
mod config;
mod demo;
mod fleet;
mod guide;
mod log;
mod once;
mod orders;
mod problems;
mod serve;
mod session;
mod stream;
mod version;
