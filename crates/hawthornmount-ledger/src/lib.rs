//! Claims, usage records and session pins kept on the key-value service.
