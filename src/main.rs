//! The process of an entry host; everything it does is in `godwit-host`.

fn main() {}
