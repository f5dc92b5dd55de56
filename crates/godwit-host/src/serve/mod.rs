//! Request pipeline: from a parsed call to its answer.

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
