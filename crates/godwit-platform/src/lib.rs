//! The border towards the platform: Object API, host list, weight store.
