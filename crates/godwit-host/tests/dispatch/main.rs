//! Tests of dispatch against stand-ins. The journals of the stand-ins show what each of them ran, and how often.

mod broken;
mod crash;
mod engines;
mod exchanges;
mod generate;
mod scripted;
mod service;
mod split;
mod support;
