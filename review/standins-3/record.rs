//! The record of a case: one line for each thing that was sent, answered, run or changed.
//!
//! The processes of a case append to the same file, each line with one write.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The record of a case.
#[derive(Debug)]
pub struct Record(File);

/// Returns the time of day in ms.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

/// A line of the record.
#[derive(Clone, Debug)]
pub struct Entry {
    /// When it was written, in ms.
    pub at: u64,
    /// The first word.
    pub what: String,
    /// The words after the first one.
    pub words: Vec<String>,
}

impl Entry {
    /// Returns the value of the word `name=value`.
    pub fn value(&self, name: &str) -> &str {
        let pairs = self.words.iter().filter_map(|word| word.split_once('='));
        pairs.filter(|(n, _)| *n == name).map(|(_, value)| value).next().unwrap_or("")
    }
}

impl Record {
    /// Opens the record at `path`, which is created if need be.
    pub fn open(path: &Path) -> io::Result<Self> {
        OpenOptions::new().create(true).append(true).open(path).map(Self)
    }

    /// Appends a line.
    pub fn line(&self, text: &str) {
        // A record that cannot be written shows as a case that could not run.
        let _ = (&self.0).write_all(format!("{} {text}\n", now_ms()).as_bytes());
    }
}

/// Reads the lines of the record at `path`.
pub fn read(path: &Path) -> io::Result<Vec<Entry>> {
    let text = std::fs::read_to_string(path)?;
    let entries = text.lines().filter_map(|line| {
        let mut words = line.split(' ').map(str::to_owned);
        let at = words.next()?.parse().ok()?;
        Some(Entry { at, what: words.next()?, words: words.collect() })
    });
    Ok(entries.collect())
}
