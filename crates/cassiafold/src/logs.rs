//! Logger setup.

use std::io::Write;
use std::panic;

use cassiafold_event::emit;
use env_logger::{Env, Target};
use log::kv::{Key, Value, VisitSource};
use serde_json::{Map, json};

use crate::command::{LogFormat, LogOutput};
use crate::event::EntryEvent;
use crate::log_queue::LogQueue;

const DEFAULT_FILTER: &str = "info";

/// Initializes the logger; returns the queue of its lines. The environment variable `RUST_LOG`
/// overrides the default filter.
pub fn init(format: &LogFormat, output: LogOutput) -> std::io::Result<LogQueue> {
    let queue = match output {
        LogOutput::Stdout => LogQueue::start(std::io::stdout()),
        LogOutput::Stderr => LogQueue::start(std::io::stderr()),
    }?;
    let mut builder =
        env_logger::Builder::from_env(Env::default().default_filter_or(DEFAULT_FILTER));
    builder.target(Target::Pipe(Box::new(queue.clone())));
    if *format == LogFormat::Json {
        builder.format(|out, record| {
            let mut fields = Fields(Map::new());
            let _ = record.key_values().visit(&mut fields);
            let line = json!({
                "time": out.timestamp_millis().to_string(),
                "level": record.level().as_str(),
                "target": record.target(),
                "message": record.args().to_string(),
                "fields": fields.0,
            });
            writeln!(out, "{line}")
        });
    }
    builder.init();
    panic::set_hook(Box::new(log_panic));
    Ok(queue)
}

/// Logs a panic, in place of a message that waits for the reader of standard error.
fn log_panic(panic: &panic::PanicHookInfo<'_>) {
    let reason = panic.payload_as_str().unwrap_or("unknown");
    let place = panic.location().map(ToString::to_string).unwrap_or_default();
    emit!(EntryEvent::Panicked, place = place, reason = reason);
}

/// Key-value pairs of a log record, collected for JSON output.
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), json!(value.to_string()));
        Ok(())
    }
}
