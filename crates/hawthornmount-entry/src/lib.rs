//! The request path of an entry instance, as filters from HTTP in to HTTP out.
