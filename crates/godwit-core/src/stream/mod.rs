//! Assembly of an answer from the token streams of its attempts.

mod assembly;

pub use assembly::{AnswerAssembly, DropReason, DroppedPieces, IncompleteReason};
