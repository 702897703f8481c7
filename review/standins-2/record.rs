//! The record of a run: what was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A file to which lines are appended.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = Mutex::new(File::create(path).expect("the record"));
        Self { file, start: Instant::now() }
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let ms = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} ms  {text}");
    }
}
