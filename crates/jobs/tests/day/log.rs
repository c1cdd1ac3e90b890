//! Log of all days of a test process, in the file that `LONG_DAY_LOG` names.

use std::fmt::Write as _;
use std::fs::File;
use std::io::Write as _;
use std::sync::{Mutex, OnceLock};

use cassiafold_platform::since_boot;
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};

struct FileLog(Mutex<File>);

struct Pairs(String);

impl<'a> VisitSource<'a> for Pairs {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), Error> {
        let _ = write!(self.0, " {key}={value}");
        Ok(())
    }
}

impl Log for FileLog {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target().starts_with("cassiafold") || metadata.target().starts_with("day")
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut pairs = Pairs(String::new());
        let _ = record.key_values().visit(&mut pairs);
        let thread = std::thread::current();
        let name = thread.name().unwrap_or("-");
        let line = format!(
            "{:.3} {name} {} {}{}\n",
            since_boot().as_secs_f64(),
            record.target(),
            record.args(),
            pairs.0
        );
        let _ = self.0.lock().expect("lock").write_all(line.as_bytes());
    }

    fn flush(&self) {}
}

/// Starts the log, if the variable is set.
pub fn start() {
    static LOG: OnceLock<FileLog> = OnceLock::new();
    let Some(path) = std::env::var_os("LONG_DAY_LOG") else { return };
    let log = LOG.get_or_init(|| FileLog(Mutex::new(File::create(path).expect("log file"))));
    if log::set_logger(log).is_ok() {
        log::set_max_level(LevelFilter::Trace);
    }
}
