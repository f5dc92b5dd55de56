//! The border towards plain services.
