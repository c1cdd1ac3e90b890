//! Stand-ins for the cases of the second review: the platform's store, its machine control, workers,
//! an operator and callers, in one process that starts the entry instances as separate processes.
//!
//! Usage: `standin CASE FOLDER`, from the root of the repository. With `TROUBLE=0` in the
//! environment the case runs without its disruption. Exit code: 0 if the rule held, 1 if it was
//! broken, 2 if the case could not run.

mod cases;
mod cloud;
mod http;
mod instance;
mod json;
mod store;
mod worker;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::run(case, &PathBuf::from(folder), trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("cannot run: {error}");
            ExitCode::from(2)
        }
    }
}
