//! The operators' command of godwitdeal.

use std::process::ExitCode;

fn main() -> ExitCode {
    godwit_ctl::run()
}
