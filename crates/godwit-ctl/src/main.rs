//! Entry point of `godwitctl`, the operators' command of godwitdeal.

use std::process::ExitCode;

fn main() -> ExitCode {
    godwit_ctl::run()
}
