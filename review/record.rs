//! The record of what was sent, answered and run.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes lines with the time since the start of the run.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    /// Creates the file `path`.
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("the record");
        Self { file: Mutex::new(file), began: Instant::now() }
    }

    /// Writes the last line, also to standard output.
    pub fn summary(&self, text: &str) {
        self.line(text);
        // Whether anybody reads it does not change what the case finds.
        let _ = writeln!(io::stdout(), "{text}");
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let ms = self.began.elapsed().as_millis();
        // A record that cannot be written does not change what the case finds.
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>6} ms  {text}");
    }
}
