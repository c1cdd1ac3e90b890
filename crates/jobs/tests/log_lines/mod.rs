//! Captures the log lines of each test.

use std::collections::HashMap;
use std::sync::{Mutex, Once};
use std::thread::{self, ThreadId};

use log::kv::{Error, Key, Value, VisitSource};

static LINES: Mutex<Vec<(ThreadId, Line)>> = Mutex::new(Vec::new());
static START: Once = Once::new();

/// Fields of a line.
pub type Line = HashMap<String, String>;

struct Capture;

struct Fields(Line);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

impl log::Log for Capture {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let mut fields = Fields(HashMap::new());
        record.key_values().visit(&mut fields).expect("fields");
        LINES.lock().expect("lock").push((thread::current().id(), fields.0));
    }

    fn flush(&self) {}
}

/// Starts to capture lines.
pub fn capture() {
    START.call_once(|| {
        log::set_boxed_logger(Box::new(Capture)).expect("no other logger");
        log::set_max_level(log::LevelFilter::Info);
    });
}

/// Lines of an event that this test, which runs on one thread, has written.
pub fn lines(event: u16) -> Vec<Line> {
    let thread = thread::current().id();
    let lines = LINES.lock().expect("lock");
    let of_test = lines.iter().filter(|(of, _)| *of == thread).map(|(_, line)| line);
    of_test.filter(|line| line["event"] == event.to_string()).cloned().collect()
}
