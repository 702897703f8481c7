//! Counts and latencies of the results of a run.

use yuccanotch_core::reason::Outcome;

use super::answers::token_gaps_us;
use super::figures::CallFigures;
use super::figures::ChatFigures;
use super::figures::Report;
use super::latency::LatencyHistogram;
use crate::arrivals::RequestSpec;
use crate::experiment::Observations;
use crate::outcome::SendRecord;
use crate::outcome::SendResult;
use crate::scenario::Scenario;

/// Latencies of the results that were counted.
struct Latencies {
    first_token: LatencyHistogram,
    inter_token: LatencyHistogram,
    call: LatencyHistogram,
}

/// Adds the counts and latencies of all results to the report.
pub(super) fn count_results(report: &mut Report, scenario: &Scenario, observed: &Observations) {
    let mut latencies = Latencies {
        first_token: LatencyHistogram::new(),
        inter_token: LatencyHistogram::new(),
        call: LatencyHistogram::new(),
    };
    for sent in &observed.sent {
        match &sent.spec {
            RequestSpec::Chat { load_index, .. } => {
                let deadline_ms = scenario.chat[*load_index].deadline_ms;
                count_chat(&mut report.chat, &mut latencies, sent, deadline_ms);
            }
            RequestSpec::Call { .. } => count_call(&mut report.calls, &mut latencies, sent),
        }
        if let SendResult::Refused { reason, outcome } = &sent.result {
            *report.refusals.entry(format!("{reason} ({outcome})")).or_default() += 1;
        }
    }
    report.chat.first_token_ms = latencies.first_token.quantiles();
    report.chat.inter_token_ms = latencies.inter_token.quantiles();
    report.calls.answer_ms = latencies.call.quantiles();
    report.first_token = latencies.first_token.buckets();
    report.inter_token = latencies.inter_token.buckets();
}

fn count_chat(
    chat: &mut ChatFigures,
    latencies: &mut Latencies,
    sent: &SendRecord,
    deadline_ms: u64,
) {
    chat.sent += 1;
    match &sent.result {
        SendResult::Complete(answer) => {
            chat.whole += 1;
            chat.resumed += u64::from(answer.attempts > 1);
            chat.late += u64::from(sent.ended_us - sent.started_us > deadline_ms * 1000);
            if let Some(first) = answer.token_arrivals_us.first() {
                latencies.first_token.add(first.saturating_sub(sent.due_us));
            }
            token_gaps_us(answer).for_each(|gap| latencies.inter_token.add(gap));
        }
        SendResult::Refused { .. } => chat.refused += 1,
        _ => chat.broken += 1,
    }
}

fn count_call(calls: &mut CallFigures, latencies: &mut Latencies, sent: &SendRecord) {
    calls.sent += 1;
    match &sent.result {
        SendResult::Answered { .. } => {
            calls.answered += 1;
            latencies.call.add(sent.ended_us.saturating_sub(sent.due_us));
        }
        SendResult::Refused { outcome, .. } => {
            calls.refused += 1;
            calls.unknown += u64::from(*outcome == Outcome::Unknown);
        }
        _ => calls.broken += 1,
    }
}
