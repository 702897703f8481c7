//! Renders sessions as transcripts in which values that differ between runs are replaced.

use crate::support::RawAnswer;

const COMPARED_COUNTERS: [&str; 5] = [
    "yuccanotch_answers_total",
    "yuccanotch_frame_faults_total",
    "yuccanotch_refusals_total",
    "yuccanotch_retries_total",
    "yuccanotch_tokens_total",
];

/// Renders a request as it was sent.
pub fn render_request(raw: &[u8]) -> String {
    prefix_lines("> ", &String::from_utf8_lossy(raw))
}

/// Renders an answer, without headers and values that differ between runs.
pub fn render_answer(answer: &RawAnswer) -> String {
    let head: Vec<&str> = answer
        .head
        .lines()
        .filter(|line| {
            let line = line.to_lowercase();
            !["date:", "content-length:", "yuccanotch-digest:"].iter().any(|h| line.starts_with(h))
        })
        .collect();
    let body: Vec<&str> =
        answer.body.lines().filter(|line| !line.is_empty() && !is_chunk_size(line)).collect();
    let text = format!("{}\n\n{}", head.join("\n"), body.join("\n"));
    prefix_lines("< ", &mask_variable_parts(&text))
}

/// Renders those of [`COMPARED_COUNTERS`] that are not 0.
pub fn render_counters(metrics: &str) -> String {
    let mut lines: Vec<&str> = metrics
        .lines()
        .filter(|line| COMPARED_COUNTERS.iter().any(|name| line.starts_with(name)))
        .filter(|line| !line.ends_with(" 0"))
        .collect();
    lines.sort_unstable();
    prefix_lines("# ", &lines.join("\n"))
}

fn prefix_lines(prefix: &str, text: &str) -> String {
    text.lines().map(|line| format!("{prefix}{line}").trim_end().to_owned() + "\n").collect()
}

fn is_chunk_size(line: &str) -> bool {
    line.len() <= 4 && line.chars().all(|c| c.is_ascii_hexdigit())
}

fn mask_variable_parts(text: &str) -> String {
    let text = replace_sequences(text, 32, |c| c.is_ascii_hexdigit(), "<request>");
    let text = replace_number_after(&text, "\"created\":", "<created>");
    let text = replace_number_after(&text, "\"retry_after_ms\":", "<ms>");
    let text = replace_number_after(&text, "retry-after: ", "<s>");
    let text = replace_number_after(&text, "127.0.0.1:", "<port>");
    let text = replace_text_after(&text, "\"detail\":\"", "<detail>");
    replace_server(&text)
}

/// Replaces sequences of exactly `len` characters that satisfy `is_member`.
fn replace_sequences(text: &str, len: usize, is_member: fn(char) -> bool, with: &str) -> String {
    let mut out = String::new();
    let mut run = String::new();
    let flush = |run: &mut String, out: &mut String| {
        out.push_str(if run.len() == len { with } else { run });
        run.clear();
    };
    for c in text.chars() {
        if is_member(c) {
            run.push(c);
        } else {
            flush(&mut run, &mut out);
            out.push(c);
        }
    }
    flush(&mut run, &mut out);
    out
}

fn replace_number_after(text: &str, before: &str, with: &str) -> String {
    let mut parts = text.split(before);
    let mut out = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        out.push_str(before);
        out.push_str(with);
        out.push_str(part.trim_start_matches(|c: char| c.is_ascii_digit()));
    }
    out
}

fn replace_text_after(text: &str, before: &str, with: &str) -> String {
    let Some((head, tail)) = text.split_once(before) else {
        return text.to_owned();
    };
    let rest = tail.split_once("\",\"").map_or("", |(_, rest)| rest);
    format!("{head}{before}{with}\",\"{rest}")
}

/// Replaces the part of a server's name that distinguishes replicas, since any of them may serve.
fn replace_server(text: &str) -> String {
    let mut text = text.to_owned();
    for domain in ["sahab", "marka", "abdali", "zona-gaucha", "zona-parana", "zona-ilha"] {
        for service in ["ordering", "registro"] {
            text = text.replace(&format!("{service}-{domain}"), &format!("{service}-*"));
        }
    }
    for model in ["assistant", "redacao"] {
        for stage in 0..4 {
            for replica in 0..2 {
                text = text
                    .replace(&format!("{model}-{stage}-{replica}"), &format!("{model}-{stage}-*"));
            }
        }
    }
    text
}
