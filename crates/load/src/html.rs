//! Renders a report as one self-contained HTML page with inline SVG plots.

use std::fmt::Write;
use std::ops::Range;

use plotters::prelude::*;

use crate::error::LoadError;
use crate::report::Bucket;
use crate::report::Quantiles;
use crate::report::Report;
use crate::report::THROUGHPUT_STEP_MS;
use crate::teams::format_ratio;
use crate::teams::TeamFigures;

const PLOT_SIZE: (u32, u32) = (860, 300);
/// The throughput plot omits a bound above this multiple of the highest received throughput.
const MAX_PLOTTED_BOUND_RATIO: f64 = 3.0;
const DATA_COLOR: RGBColor = RGBColor(31, 99, 168);
const BOUND_COLOR: RGBColor = RGBColor(180, 60, 40);
const PAGE_STYLE: &str = "body{font:15px/1.5 system-ui,sans-serif;max-width:900px;margin:2em auto;\
padding:0 1em;color:#222;background:#fff}table{border-collapse:collapse;margin:1em 0}\
td,th{border:1px solid #ccc;padding:.25em .7em;text-align:right}th:first-child,\
td:first-child{text-align:left}.kept{color:#166534}.broken{color:#b91c1c}svg{max-width:100%;\
height:auto}";

/// Renders the HTML page of a report.
///
/// # Errors
///
/// Returns an error when a plot cannot be drawn.
pub fn render_page(report: &Report) -> Result<String, LoadError> {
    let mut out = String::new();
    write_page(&mut out, report).map_err(plot_error)?;
    Ok(out)
}

fn plot_error(e: impl std::fmt::Display) -> LoadError {
    LoadError::Plot(e.to_string())
}

type PageResult = Result<(), Box<dyn std::error::Error>>;

fn write_page(out: &mut String, report: &Report) -> PageResult {
    let title = escape(&report.title);
    write!(
        out,
        "<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{PAGE_STYLE}</style></head><body><h1>{title}</h1>"
    )?;
    write!(
        out,
        "<p>Seed {}, routing policy {}, {} s of arrivals.</p>",
        report.seed,
        escape(&report.policy),
        report.seconds
    )?;
    write_verdict(out, report)?;
    write_summary(out, report)?;
    write_teams(out, report)?;
    write!(out, "<h2>Throughput against the bound</h2>{}", throughput_plot(report)?)?;
    let bound = report.chat.bound_tokens_per_s;
    if bound <= throughput_axis_max(report) {
        write!(out, "<p>The red line is the bound, {bound:.0}; grey lines are faults.</p>")?;
    } else {
        write!(out, "<p>The bound, {bound:.0}, is above the plot; grey lines are faults.</p>")?;
    }
    let first = histogram_plot("first token", &report.first_token)?;
    write!(out, "<h2>Time to the first token</h2>{first}")?;
    let inter = histogram_plot("between tokens", &report.inter_token)?;
    write!(out, "<h2>Time between tokens</h2>{inter}")?;
    write_faults(out, report)?;
    write_refusals(out, report)?;
    out.push_str("</body></html>\n");
    Ok(())
}

fn write_verdict(out: &mut String, report: &Report) -> PageResult {
    if report.promises_held() {
        out.push_str("<p class=\"kept\"><strong>All promises held.</strong></p>");
        return Ok(());
    }
    out.push_str("<p class=\"broken\"><strong>Broken promises</strong></p><ul class=\"broken\">");
    for (kind, count) in &report.broken {
        write!(out, "<li>{count} &times; {}</li>", escape(kind))?;
    }
    for example in &report.broken_examples {
        write!(out, "<li><code>{}</code></li>", escape(example))?;
    }
    out.push_str("</ul>");
    Ok(())
}

fn write_summary(out: &mut String, report: &Report) -> PageResult {
    let chat = &report.chat;
    let calls = &report.calls;
    out.push_str("<h2>Results</h2><table>");
    out.push_str("<tr><th></th><th>sent</th><th>whole</th><th>refused</th><th>broken</th></tr>");
    write!(
        out,
        "<tr><td>models</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
        chat.sent, chat.whole, chat.refused, chat.broken
    )?;
    write!(
        out,
        "<tr><td>services</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr></table>",
        calls.sent, calls.answered, calls.refused, calls.broken
    )?;
    out.push_str("<table><tr><th>ms</th><th>p50</th><th>p95</th><th>p99</th><th>max</th></tr>");
    let rows = [
        ("first token", &chat.first_token_ms),
        ("between tokens", &chat.inter_token_ms),
        ("service call", &calls.answer_ms),
    ];
    for (name, q) in rows {
        write_quantiles(out, name, q)?;
    }
    out.push_str("</table><table><tr><th>tokens/s</th><th></th></tr>");
    write!(out, "<tr><td>received</td><td>{:.0}</td></tr>", chat.tokens_per_s)?;
    write!(out, "<tr><td>offered</td><td>{:.0}</td></tr>", chat.offered_tokens_per_s)?;
    write!(out, "<tr><td>bound</td><td>{:.0}</td></tr>", chat.bound_tokens_per_s)?;
    let slot_bound = chat.slot_bound_tokens_per_s;
    write!(out, "<tr><td>bound with slots of chains</td><td>{slot_bound:.0}</td></tr>")?;
    write!(out, "<tr><td>received of bound</td><td>{:.3}</td></tr>", chat.share_of_bound)?;
    write!(out, "<tr><td>made per received</td><td>{:.3}</td></tr></table>", chat.work_per_token)?;
    Ok(())
}

fn write_quantiles(out: &mut String, name: &str, q: &Quantiles) -> PageResult {
    write!(
        out,
        "<tr><td>{name}</td><td>{:.1}</td><td>{:.1}</td><td>{:.1}</td><td>{:.1}</td></tr>",
        q.p50, q.p95, q.p99, q.max
    )?;
    Ok(())
}

fn write_teams(out: &mut String, report: &Report) -> PageResult {
    out.push_str(
        "<h2>First token by team</h2><table><tr><th>team</th><th>sent</th><th>whole</th>\
         <th>refused</th><th>broken</th><th>p50 ms</th><th>p95 ms</th><th>p99 ms</th></tr>",
    );
    for (team, figures) in &report.teams {
        write_team(out, team, figures)?;
    }
    if let Some(flood) = &report.flood {
        let each = flood.teams.iter().map(|(team, phases)| (team.as_str(), phases));
        for (team, phases) in each.clone().chain([("others", &flood.others)]) {
            write_team(out, &format!("{team}, quiet"), &phases.quiet)?;
            write_team(out, &format!("{team}, flood"), &phases.flood)?;
        }
        let ratio = format_ratio(flood.others.p95_ratio);
        write!(out, "</table><p>Others' p95 first token, flood over quiet: {ratio}</p>")?;
        return Ok(());
    }
    out.push_str("</table>");
    Ok(())
}

fn write_team(out: &mut String, name: &str, team: &TeamFigures) -> PageResult {
    let q = &team.first_token_ms;
    write!(
        out,
        "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.1}</td><td>{:.1}</td>\
         <td>{:.1}</td></tr>",
        escape(name),
        team.sent,
        team.whole,
        team.refused,
        team.broken,
        q.p50,
        q.p95,
        q.p99
    )?;
    Ok(())
}

fn write_faults(out: &mut String, report: &Report) -> PageResult {
    if report.faults.is_empty() {
        return Ok(());
    }
    out.push_str("<h2>Recovery after each fault</h2>");
    let bars: Vec<(String, f64)> = report
        .faults
        .iter()
        .map(|fault| (format!("{} at {} ms", fault.label, fault.at_ms), fault.pause_ms.p95))
        .collect();
    out.push_str(&bar_plot("longest pause of resumed answers, p95, in ms", &bars)?);
    out.push_str(
        "<table><tr><th>fault</th><th>at ms</th><th>for ms</th><th>resumed answers</th>\
         <th>pause p50 ms</th><th>pause p95 ms</th><th>throughput back ms</th></tr>",
    );
    for fault in &report.faults {
        let back = fault.back_ms.map_or("not seen".to_owned(), |ms| ms.to_string());
        write!(
            out,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.0}</td><td>{:.0}</td>\
             <td>{back}</td></tr>",
            escape(&fault.label),
            fault.at_ms,
            fault.for_ms,
            fault.resumed,
            fault.pause_ms.p50,
            fault.pause_ms.p95
        )?;
    }
    out.push_str("</table>");
    Ok(())
}

fn write_refusals(out: &mut String, report: &Report) -> PageResult {
    if report.refusals.is_empty() {
        return Ok(());
    }
    out.push_str("<h2>Refusals by reason</h2>");
    let bars: Vec<(String, f64)> =
        report.refusals.iter().map(|(reason, n)| (reason.clone(), *n as f64)).collect();
    out.push_str(&bar_plot("refusals", &bars)?);
    Ok(())
}

/// Returns the upper end of the throughput axis, in tokens per second. A bound that is far above
/// the received throughput is left out, so that the curve stays readable.
fn throughput_axis_max(report: &Report) -> f64 {
    let received = report.series.iter().copied().fold(1.0, f64::max);
    let bound = report.chat.bound_tokens_per_s;
    let top =
        if bound <= received * MAX_PLOTTED_BOUND_RATIO { received.max(bound) } else { received };
    top * 1.1
}

fn throughput_plot(report: &Report) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let end_s = (report.series.len() as f64 * THROUGHPUT_STEP_MS as f64 / 1000.0).max(1.0);
        let bound = report.chat.bound_tokens_per_s;
        let top = throughput_axis_max(report);
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..end_s, 0.0..top)?;
        chart.configure_mesh().x_desc("seconds").y_desc("tokens/s").draw()?;
        for fault in &report.faults {
            let at = fault.at_ms as f64 / 1000.0;
            let line = [(at, 0.0), (at, top)];
            chart.draw_series(LineSeries::new(line, BLACK.mix(0.35)))?;
        }
        if bound <= top {
            chart.draw_series(LineSeries::new([(0.0, bound), (end_s, bound)], BOUND_COLOR))?;
        }
        let points = report.series.iter().enumerate();
        let points = points.map(|(i, rate)| (i as f64 * THROUGHPUT_STEP_MS as f64 / 1000.0, *rate));
        chart.draw_series(LineSeries::new(points, DATA_COLOR.stroke_width(2)))?;
        area.present()?;
    }
    Ok(svg)
}

fn histogram_plot(name: &str, buckets: &[Bucket]) -> Result<String, Box<dyn std::error::Error>> {
    let bars: Vec<(String, f64)> = buckets
        .iter()
        .map(|bucket| (format!("up to {:.0} ms", bucket.to_ms.ceil()), bucket.count as f64))
        .collect();
    bar_plot(&format!("{name}: number by time"), &bars)
}

/// Draws a horizontal bar for each value, with its label to the left and its number to the right.
fn bar_plot(title: &str, bars: &[(String, f64)]) -> Result<String, Box<dyn std::error::Error>> {
    const BAR_HEIGHT: i32 = 22;
    const HEAD_HEIGHT: i32 = 34;
    const LABEL_WIDTH: i32 = 300;
    const NUMBER_WIDTH: i32 = 80;
    let height = HEAD_HEIGHT + BAR_HEIGHT * i32::try_from(bars.len())?.max(1);
    let mut svg = String::new();
    {
        let size = (PLOT_SIZE.0, u32::try_from(height)?);
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        area.fill(&WHITE)?;
        let font = ("sans-serif", 14).into_font();
        area.draw(&Text::new(title.to_owned(), (4, 8), font.clone()))?;
        let top = bars.iter().map(|(_, value)| *value).fold(0.0, f64::max);
        let width = PLOT_SIZE.0 as i32 - LABEL_WIDTH - NUMBER_WIDTH;
        for (i, (label, value)) in bars.iter().enumerate() {
            let y = HEAD_HEIGHT + BAR_HEIGHT * i32::try_from(i)?;
            let share = if top > 0.0 { value / top } else { 0.0 };
            let span: Range<i32> = LABEL_WIDTH..LABEL_WIDTH + (f64::from(width) * share) as i32;
            area.draw(&Text::new(label.clone(), (4, y + 3), font.clone()))?;
            let bar = [(span.start, y + 3), (span.end, y + BAR_HEIGHT - 3)];
            area.draw(&Rectangle::new(bar, DATA_COLOR.filled()))?;
            let number = format!("{value:.0}");
            area.draw(&Text::new(number, (span.end + 6, y + 3), font.clone()))?;
        }
        area.present()?;
    }
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
