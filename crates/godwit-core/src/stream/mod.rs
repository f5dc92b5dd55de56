//! Assembly of one answer from the token streams of its attempts.

mod assembly;

pub use assembly::{Assembly, Dropped, DroppedPieces, Incomplete};
