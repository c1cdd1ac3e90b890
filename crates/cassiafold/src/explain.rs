//! `explain`: the last decisions about one thing.

use cassiafold_operators::source::{Decision, Explanation};
use clap::ArgMatches;

use crate::client::{Call, Client};
use crate::error::{Error, Result};
use crate::output::{Output, print_json, print_table};
use crate::verb::required;

/// `explain`.
#[derive(Debug)]
pub struct ExplainVerb {
    subject: String,
    id: String,
}

impl TryFrom<&ArgMatches> for ExplainVerb {
    type Error = Error;

    fn try_from(matches: &ArgMatches) -> Result<Self> {
        let (subject, id) = (required(matches, "subject")?, required(matches, "id")?);
        // Ids of instances are the platform's, which may use other characters than ours.
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
        if !id.bytes().all(allowed) {
            return Err(Error::Usage(format!("{id} is no id of an instance")));
        }
        Ok(Self { subject, id })
    }
}

impl ExplainVerb {
    /// Prints the last decisions, newest first.
    pub async fn run(&self, client: &Client, output: Output) -> Result<()> {
        let call = Call::get(format!("/explain/{}/{}", self.subject, self.id));
        let answer: Explanation = client.call(&call).await?;
        if output == Output::Json {
            return print_json(&answer);
        }
        println!("{} {}: {}\n", self.subject, answer.id, answer.summary);
        print_table(["UNIX_MS", "EVENT", "DECISION", "INPUTS"], answer.decisions.iter().map(row));
        Ok(())
    }
}

fn row(decision: &Decision) -> [String; 4] {
    let inputs = decision.inputs.iter().map(|(name, value)| format!("{name}={value}"));
    [
        decision.unix_ms.to_string(),
        decision.event.to_string(),
        decision.message.to_string(),
        inputs.collect::<Vec<_>>().join(" "),
    ]
}
