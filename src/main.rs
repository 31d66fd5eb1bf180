//! Command line of hawthornmount.
fn main() {}
