//! Load and experiments for development; not shipped.
