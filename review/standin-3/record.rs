//! The record of what was sent, answered and run.

use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines of one kind that are written out; the others are counted.
const REPEATED_MAX: u32 = 5;

/// The record. Clones share it.
#[derive(Clone)]
pub struct Record(Arc<Mutex<Lines>>);

struct Lines {
    file: File,
    started: Instant,
    repeated: HashMap<String, u32>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let lines =
            Lines { file: File::create(path)?, started: Instant::now(), repeated: HashMap::new() };
        Ok(Self(Arc::new(Mutex::new(lines))))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut lines = self.0.lock().unwrap_or_else(|error| error.into_inner());
        let elapsed = lines.started.elapsed().as_secs_f64();
        let _ = writeln!(lines.file, "{elapsed:8.3} s  {}", text.as_ref());
    }

    /// Writes a line that may come very often: only the first few.
    pub fn repeated(&self, text: String) {
        let count = {
            let mut lines = self.0.lock().unwrap_or_else(|error| error.into_inner());
            let count = lines.repeated.entry(text.clone()).or_default();
            *count += 1;
            *count
        };
        if count <= REPEATED_MAX {
            self.line(text);
        }
    }

    /// Writes how often the repeated lines came.
    pub fn close(&self) {
        let repeated = self.0.lock().unwrap_or_else(|error| error.into_inner()).repeated.clone();
        for (text, count) in repeated {
            self.line(format!("{count} times in all: {text}"));
        }
    }
}
