//! Fleet capacity and maintenance manager.

use std::process::ExitCode;

fn main() -> ExitCode {
    cassiafold::run()
}
