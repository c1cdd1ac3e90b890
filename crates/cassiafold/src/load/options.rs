//! Options of the load tool and their limits.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::builder::RangedU64ValueParser;
use clap::{Arg, ArgMatches, Command, value_parser};
use http::Method;

use super::sender::RequestTemplate;
use crate::error::{Error, Result};
use crate::output::Output;

/// Maximum number of requests in one run.
const REQUESTS_MAX: u64 = 200_000;
/// Maximum duration of a run, in seconds.
const DURATION_S_MAX: u64 = 600;
/// Maximum rate, in requests per second.
const RATE_PER_S_MAX: u64 = 5_000;
/// Maximum number of concurrent requests.
const CONCURRENCY_MAX: u64 = 256;
/// Maximum timeout of one request, in milliseconds.
const TIMEOUT_MS_MAX: u64 = 60_000;
/// Environment variable that holds the key of a team.
const KEY_VARIABLE: &str = "CASSIAFOLD_KEY";

/// Validated options of `load`.
#[derive(Debug)]
pub struct LoadOptions {
    /// Entry instances on the loopback interface.
    pub addresses: Vec<SocketAddr>,
    /// Template of the requests.
    pub request: RequestTemplate,
    /// Requests per second.
    pub rate_per_s: u32,
    /// Number of requests.
    pub requests: u64,
    /// Planned duration of the run.
    pub duration: Duration,
    /// Number of concurrent requests.
    pub concurrency: usize,
    /// Timeout of one request.
    pub timeout: Duration,
    /// Format of the report.
    pub output: Output,
}

/// Returns the definition of the subcommand.
pub fn command() -> Command {
    let number = |name: &'static str, help: &'static str, default: &'static str, max: u64| {
        Arg::new(name)
            .long(name)
            .help(help)
            .value_name("NUMBER")
            .default_value(default)
            .value_parser(RangedU64ValueParser::<u64>::new().range(1..=max))
    };
    Command::new("load")
        .about("Sends requests at a fixed rate to entry instances on loopback")
        .arg(
            Arg::new("address")
                .long("address")
                .help("Callers' addresses of entry instances on the loopback interface")
                .value_name("ADDRESS")
                .value_delimiter(',')
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(
            Arg::new("queue")
                .long("queue")
                .help("Queue to which the requests go")
                .value_name("QUEUE")
                .required(true),
        )
        .arg(
            Arg::new("key-file")
                .long("key-file")
                .help("File with the team's key, in place of CASSIAFOLD_KEY")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("method")
                .long("method")
                .help("Method; POST is not idempotent")
                .value_parser(["GET", "POST"])
                .default_value("GET"),
        )
        .arg(number("rate", "Requests per second", "100", RATE_PER_S_MAX))
        .arg(number("duration-s", "Length of the run, in seconds", "10", DURATION_S_MAX))
        .arg(number("requests", "Most requests to send", "200000", REQUESTS_MAX))
        .arg(number("concurrency", "Requests sent at once", "32", CONCURRENCY_MAX))
        .arg(number("timeout-ms", "Timeout of one request", "10000", TIMEOUT_MS_MAX))
}

impl TryFrom<&ArgMatches> for LoadOptions {
    type Error = Error;

    fn try_from(matches: &ArgMatches) -> Result<Self> {
        let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
        let addresses: Vec<SocketAddr> =
            matches.get_many::<SocketAddr>("address").unwrap_or_default().copied().collect();
        if addresses.is_empty() || !addresses.iter().all(|address| address.ip().is_loopback()) {
            return Err(Error::Usage("load accepts only loopback addresses".into()));
        }
        let rate_per_s = number("rate");
        let duration_s = number("duration-s");
        let requests = number("requests").min(rate_per_s * duration_s);
        Ok(Self {
            addresses,
            request: template(matches)?,
            rate_per_s: u32::try_from(rate_per_s).unwrap_or(u32::MAX),
            requests,
            duration: Duration::from_secs(duration_s),
            concurrency: usize::try_from(number("concurrency")).unwrap_or(1),
            timeout: Duration::from_millis(number("timeout-ms")),
            output: Output::from(matches),
        })
    }
}

fn template(matches: &ArgMatches) -> Result<RequestTemplate> {
    let queue = matches.get_one::<String>("queue").map_or("", String::as_str);
    let post = matches.get_one::<String>("method").is_some_and(|method| method == "POST");
    let method = if post { Method::POST } else { Method::GET };
    let key = key(matches)?;
    RequestTemplate::new(method, queue, key.as_deref())
}

fn key(matches: &ArgMatches) -> Result<Option<String>> {
    let Some(path) = matches.get_one::<PathBuf>("key-file") else {
        return Ok(std::env::var(KEY_VARIABLE).ok());
    };
    let text = std::fs::read_to_string(path)
        .map_err(|source| Error::ReadFile { path: path.clone(), source })?;
    Ok(Some(text.trim().to_owned()))
}
