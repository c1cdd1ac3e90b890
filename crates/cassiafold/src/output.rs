//! Prints results as text tables or JSON.

use clap::ArgMatches;
use jiff::Timestamp;
use serde::Serialize;

use crate::error::Result;

/// Format of results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Text with tables.
    Text,
    /// One JSON document.
    Json,
}

impl From<&ArgMatches> for Output {
    fn from(matches: &ArgMatches) -> Self {
        let json = matches.get_one::<String>("output").is_some_and(|name| name == "json");
        if json { Self::Json } else { Self::Text }
    }
}

/// Prints a value as indented JSON.
pub fn print_json(value: &impl Serialize) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Prints a heading and rows with aligned columns.
pub fn print_table<const N: usize>(
    heading: [&str; N],
    rows: impl IntoIterator<Item = [String; N]>,
) {
    print!("{}", table(heading, rows));
}

fn table<const N: usize>(
    heading: [&str; N],
    rows: impl IntoIterator<Item = [String; N]>,
) -> String {
    let mut lines = vec![heading.map(str::to_owned)];
    lines.extend(rows);
    let width = |column: usize| {
        lines.iter().map(|line| line[column].chars().count()).max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..N).map(width).collect();
    let mut text = String::new();
    for line in &lines {
        let cells = line.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        let cells: Vec<String> = cells.collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// Formats a time in milliseconds since the Unix epoch as RFC 3339 in UTC.
pub fn utc_time(unix_ms: u64) -> String {
    let unix_ms = i64::try_from(unix_ms).unwrap_or(i64::MAX);
    Timestamp::from_millisecond(unix_ms)
        .map_or_else(|_| unix_ms.to_string(), |time| time.to_string())
}

/// Formats an optional value, with `-` for `None`.
pub fn or_dash<T: ToString>(value: Option<T>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
