//! Compares the figures of two reports.

use std::fmt::Write;

use serde_json::Value;

/// Members of a report that hold lists instead of single figures; the comparison skips them.
const LIST_MEMBERS: [&str; 5] =
    ["series", "first_token", "inter_token", "faults", "broken_examples"];

/// Values of one figure in two reports.
#[derive(Clone, Debug, PartialEq)]
pub struct FigureComparison {
    /// JSON pointer to the figure in the report.
    pub pointer: String,
    /// Value in the first report.
    pub a: f64,
    /// Value in the second report.
    pub b: f64,
}

impl FigureComparison {
    /// Returns the second value divided by the first; `None` when the first is zero.
    pub fn ratio(&self) -> Option<f64> {
        (self.a != 0.0).then(|| self.b / self.a)
    }
}

/// Collects the figures that at least one of the reports has, sorted by JSON pointer. A figure that
/// is missing in one of them counts as 0.
pub fn compare_figures(a: &Value, b: &Value) -> Vec<FigureComparison> {
    let mut rows = Vec::new();
    collect("", a, b, &mut rows);
    rows.sort_by(|x, y| x.pointer.cmp(&y.pointer));
    rows
}

fn collect(pointer: &str, a: &Value, b: &Value, rows: &mut Vec<FigureComparison>) {
    if a.is_number() || b.is_number() {
        let number = |value: &Value| value.as_f64().unwrap_or(0.0);
        rows.push(FigureComparison { pointer: pointer.to_owned(), a: number(a), b: number(b) });
        return;
    }
    let keys = |value: &Value| -> Vec<String> {
        value.as_object().map(|map| map.keys().cloned().collect()).unwrap_or_default()
    };
    let mut names = keys(a);
    names.extend(keys(b));
    names.sort();
    names.dedup();
    for name in names.iter().filter(|name| !LIST_MEMBERS.contains(&name.as_str())) {
        collect(&format!("{pointer}/{name}"), &a[name], &b[name], rows);
    }
}

/// Formats the figures as a text table.
pub fn format_table(rows: &[FigureComparison]) -> String {
    let mut out = format!("{:<40} {:>12} {:>12} {:>8}\n", "figure", "A", "B", "B/A");
    for row in rows {
        let ratio = row.ratio().map_or("-".to_owned(), |ratio| format!("{ratio:.3}"));
        let _ = writeln!(out, "{:<40} {:>12.3} {:>12.3} {ratio:>8}", row.pointer, row.a, row.b);
    }
    out
}
