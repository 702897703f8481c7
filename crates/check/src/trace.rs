//! Log of the steps of one run, printed when the run fails.

/// Log of the steps of one run.
#[derive(Debug, Default)]
pub struct Trace {
    lines: Vec<String>,
}

impl Trace {
    /// Maximum number of lines kept; the oldest half is dropped when it is reached.
    const MAX_LINES: usize = 4_000;

    /// Adds one step.
    pub fn add(&mut self, line: impl Into<String>) {
        if self.lines.len() == Self::MAX_LINES {
            self.lines.drain(..Self::MAX_LINES / 2);
        }
        self.lines.push(line.into());
    }

    /// Returns the steps kept, oldest first.
    pub fn lines(&self) -> &[String] {
        &self.lines
    }
}
