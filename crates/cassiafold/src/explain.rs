//! The `explain` command, which shows recent decisions about an instance, pool, team or wave.

use cassiafold_operators::source::{Decision, Explanation, Fact, Inputs, WhyNot};
use clap::ArgMatches;

use crate::client::{ApiRequest, Client};
use crate::error::{Error, Result};
use crate::operator_command::required;
use crate::output::{Output, or_dash, print_json, print_table, utc_time};

/// The `explain` command.
#[derive(Debug)]
pub struct ExplainCommand {
    subject: String,
    id: String,
}

impl TryFrom<&ArgMatches> for ExplainCommand {
    type Error = Error;

    fn try_from(matches: &ArgMatches) -> Result<Self> {
        let (subject, id) = (required(matches, "subject")?, required(matches, "id")?);
        // The platform assigns instance ids and may use characters that `is_valid_id` rejects.
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
        if !id.bytes().all(allowed) {
            return Err(Error::Usage(format!("{id} is no id of an instance")));
        }
        Ok(Self { subject, id })
    }
}

impl ExplainCommand {
    /// Prints recent decisions, newest first.
    pub async fn run(&self, client: &Client, output: Output) -> Result<()> {
        let request = ApiRequest::get(format!("/explain/{}/{}", self.subject, self.id));
        let response: Explanation = client.send(&request).await?;
        if output == Output::Json {
            return print_json(&response);
        }
        print_explanation(&response);
        Ok(())
    }
}

fn print_explanation(explanation: &Explanation) {
    let fact = |fact: &Fact| [fact.name.to_string(), fact.value.to_string()];
    print_table(["FACT", "VALUE"], explanation.facts.iter().map(fact));
    if !explanation.why_not.is_empty() {
        println!();
        let heading = ["NOT_NOW", "CODE", "REASON", "INPUTS"];
        print_table(heading, explanation.why_not.iter().map(why_not_row));
    }
    if !explanation.decisions.is_empty() {
        println!();
        let heading = ["TIME", "EVENT", "DECISION", "INSTANCE", "POOL", "WAVE", "INPUTS"];
        print_table(heading, explanation.decisions.iter().map(decision_row));
    }
}

fn why_not_row(why_not: &WhyNot) -> [String; 4] {
    let reason = &why_not.reason;
    [
        why_not.step.to_string(),
        reason.code.to_string(),
        reason.meaning.to_string(),
        inputs_text(&why_not.inputs),
    ]
}

fn decision_row(decision: &Decision) -> [String; 7] {
    [
        utc_time(decision.unix_ms),
        decision.event.to_string(),
        decision.message.to_string(),
        or_dash(decision.instance.as_ref()),
        or_dash(decision.pool.as_ref()),
        or_dash(decision.wave.as_ref()),
        inputs_text(&decision.inputs),
    ]
}

fn inputs_text(inputs: &Inputs) -> String {
    let inputs = inputs.iter().map(|(name, value)| format!("{name}={value}"));
    inputs.collect::<Vec<_>>().join(" ")
}
