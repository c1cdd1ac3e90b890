//! Prints accepted configuration changes.

use cassiafold_operators::wire::ChangeResponse;

use crate::error::Result;
use crate::output::{Output, print_json, print_table};

/// Prints the response to a change.
pub fn print_change(response: &ChangeResponse, output: Output) -> Result<()> {
    if output == Output::Json {
        return print_json(response);
    }
    let suffix = match (response.unchanged, response.repeated) {
        (true, _) => ", which was so before",
        (_, true) => ", by an earlier request",
        _ => "",
    };
    println!("version {}{suffix}", response.version);
    if response.unconfirmed.is_empty() {
        println!("confirmed by every entry instance");
        return Ok(());
    }
    println!("not confirmed by:");
    let row = |entry: &cassiafold_operators::wire::Unconfirmed| {
        [entry.instance_id.to_string(), entry.zone.to_string(), entry.version.to_string()]
    };
    print_table(["ENTRY", "ZONE", "VERSION"], response.unconfirmed.iter().map(row));
    Ok(())
}
