//! Logger setup.

use std::io::Write;

use env_logger::{Env, Target};
use log::kv::{Key, Value, VisitSource};
use serde_json::{Map, json};

use crate::command::LogFormat;

const DEFAULT_FILTER: &str = "info";

/// Initializes the logger. The environment variable `RUST_LOG` overrides the default filter.
pub fn init(format: &LogFormat, target: Target) {
    let mut builder =
        env_logger::Builder::from_env(Env::default().default_filter_or(DEFAULT_FILTER));
    builder.target(target);
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
}

/// Key-value pairs of a log record, collected for JSON output.
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.0.insert(key.to_string(), json!(value.to_string()));
        Ok(())
    }
}
