//! The border towards callers: HTTP.
