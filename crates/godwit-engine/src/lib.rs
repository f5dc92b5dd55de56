//! The border towards model engines.
