//! The border towards operators: state dump, metrics, readiness.
