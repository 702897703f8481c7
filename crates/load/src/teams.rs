//! Computes figures for each team, and for the other teams before and during one team's flood.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::ops::Range;

use serde::Deserialize;
use serde::Serialize;

use crate::arrivals::RequestSpec;
use crate::experiment::Observations;
use crate::outcome::SendRecord;
use crate::outcome::SendResult;
use crate::report::LatencyHistogram;
use crate::report::Quantiles;
use crate::report::WARM_UP_MS;
use crate::scenario::FloodSpec;
use crate::scenario::Scenario;

/// Counts and latencies of the model requests of one or several teams.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TeamFigures {
    /// Requests sent, resends included.
    pub sent: u64,
    /// Answers that were received to their end.
    pub whole: u64,
    /// Requests that an entry host refused.
    pub refused: u64,
    /// Requests that ended without an answer: the connection broke or no entry host was reached.
    pub broken: u64,
    /// Time from the scheduled send of a request to its first token, over complete answers.
    pub first_token_ms: Quantiles,
}

/// Figures of the same teams before a flood and during it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PhaseFigures {
    /// Requests scheduled after the warm-up and before the flood.
    pub quiet: TeamFigures,
    /// Requests scheduled during the flood.
    pub flood: TeamFigures,
    /// p95 time to the first token during the flood, divided by that before it; `None` when either
    /// is missing.
    pub p95_ratio: Option<f64>,
}

/// Effect of one team's flood on the latency of the other teams.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FloodFigures {
    /// Team that sends the flood.
    pub team: String,
    /// Start of the flood, in milliseconds since the start of the run.
    pub from_ms: u64,
    /// End of the flood, in milliseconds since the start of the run.
    pub to_ms: u64,
    /// Highest `p95_ratio` of the other teams that is accepted; `None` for no limit.
    pub max_ratio: Option<f64>,
    /// Combined figures of all other teams.
    pub others: PhaseFigures,
    /// Figures of each other team.
    pub teams: BTreeMap<String, PhaseFigures>,
}

/// Computes the figures of each team that sends model requests in the scenario.
pub fn team_figures(scenario: &Scenario, observed: &Observations) -> BTreeMap<String, TeamFigures> {
    let teams = scenario.chat.iter().map(|chat| chat.team.clone());
    teams
        .map(|team| (team.clone(), summarize_sends(chat_sends_of_team(scenario, observed, &team))))
        .collect()
}

/// Computes how the flood of a scenario affected the other teams; `None` when the flooding team
/// sends no model requests.
pub fn flood_figures(
    scenario: &Scenario,
    spec: &FloodSpec,
    observed: &Observations,
) -> Option<FloodFigures> {
    let window_ms = scenario.flood_window_ms(&spec.team)?;
    let others = chat_sends(scenario, observed);
    let others = others.filter(|(team, _)| *team != spec.team).map(|(_, sent)| sent);
    let names = scenario.chat.iter().map(|chat| &chat.team).filter(|team| **team != spec.team);
    Some(FloodFigures {
        team: spec.team.clone(),
        from_ms: window_ms.start,
        to_ms: window_ms.end,
        max_ratio: spec.max_ratio,
        others: phase_figures(others, &window_ms),
        teams: names
            .map(|team| {
                (
                    team.clone(),
                    phase_figures(chat_sends_of_team(scenario, observed, team), &window_ms),
                )
            })
            .collect(),
    })
}

fn chat_sends<'a>(
    scenario: &'a Scenario,
    observed: &'a Observations,
) -> impl Iterator<Item = (&'a str, &'a SendRecord)> {
    observed.sent.iter().filter_map(|sent| match &sent.spec {
        RequestSpec::Chat { load_index, .. } => {
            Some((scenario.chat[*load_index].team.as_str(), sent))
        }
        RequestSpec::Call { .. } => None,
    })
}

fn chat_sends_of_team<'a>(
    scenario: &'a Scenario,
    observed: &'a Observations,
    team: &'a str,
) -> impl Iterator<Item = &'a SendRecord> {
    chat_sends(scenario, observed).filter(move |(other, _)| *other == team).map(|(_, sent)| sent)
}

fn phase_figures<'a>(
    sent: impl Iterator<Item = &'a SendRecord>,
    window_ms: &Range<u64>,
) -> PhaseFigures {
    let sent: Vec<&SendRecord> = sent.collect();
    let due_in = |phase_ms: Range<u64>| {
        let sent = sent.iter().copied();
        summarize_sends(sent.filter(move |sent| phase_ms.contains(&(sent.due_us / 1000))))
    };
    let quiet = due_in(WARM_UP_MS..window_ms.start);
    let flood = due_in(window_ms.clone());
    let has_both_figures = quiet.first_token_ms.p95 > 0.0 && flood.whole > 0;
    let p95_ratio = has_both_figures.then(|| flood.first_token_ms.p95 / quiet.first_token_ms.p95);
    PhaseFigures { quiet, flood, p95_ratio }
}

fn summarize_sends<'a>(sent: impl Iterator<Item = &'a SendRecord>) -> TeamFigures {
    let mut figures = TeamFigures::default();
    let mut first_token = LatencyHistogram::new();
    for sent in sent {
        figures.sent += 1;
        match &sent.result {
            SendResult::Complete(answer) => {
                figures.whole += 1;
                if let Some(first) = answer.token_arrivals_us.first() {
                    first_token.add(first.saturating_sub(sent.due_us));
                }
            }
            SendResult::Refused { .. } => figures.refused += 1,
            _ => figures.broken += 1,
        }
    }
    figures.first_token_ms = first_token.quantiles();
    figures
}

impl FloodFigures {
    /// Returns a description of the violation when the flood slowed the other teams beyond
    /// `max_ratio`.
    pub fn broken_promise(&self) -> Option<String> {
        let max_ratio = self.max_ratio?;
        match self.others.p95_ratio {
            Some(ratio) if ratio <= max_ratio => None,
            Some(ratio) => Some(format!(
                "p95 first token of the other teams during the flood is {ratio:.2} times that before \
                 it, expected at most {max_ratio}"
            )),
            None => Some("no other team has answers both before and during the flood".to_owned()),
        }
    }
}

pub(crate) fn write_team_text(
    out: &mut String,
    name: &str,
    team: &TeamFigures,
) -> std::fmt::Result {
    let q = &team.first_token_ms;
    writeln!(
        out,
        "{name:<28}{} sent, {} whole, {} refused, {} broken, first token p50 {:.1} p95 {:.1} \
         p99 {:.1} ms",
        team.sent, team.whole, team.refused, team.broken, q.p50, q.p95, q.p99
    )
}

pub(crate) fn write_flood_text(out: &mut String, flood: &FloodFigures) -> std::fmt::Result {
    let all = ("others", &flood.others);
    let each = flood.teams.iter().map(|(team, phases)| (team.as_str(), phases));
    for (team, phases) in each.chain([all]) {
        write_team_text(out, &format!("quiet     {team}"), &phases.quiet)?;
        write_team_text(out, &format!("flood     {team}"), &phases.flood)?;
        writeln!(out, "ratio     {team:<18}p95 first token {}", format_ratio(phases.p95_ratio))?;
    }
    Ok(())
}

/// Formats a ratio with two decimals, or `not measured` for `None`.
pub(crate) fn format_ratio(ratio: Option<f64>) -> String {
    ratio.map_or("not measured".to_owned(), |ratio| format!("{ratio:.2}"))
}
