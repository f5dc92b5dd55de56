//! The path of a request: from a call that was read to its answer.

mod claim;
mod completion;
mod generate;
mod pipeline;
mod replay;
mod report;
mod service;
mod source;
mod split_source;

pub use pipeline::{Pipeline, PipelineParts};
