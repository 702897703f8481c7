//! Computes the report of a run and formats it as text.

use std::collections::BTreeMap;
use std::fmt::Write;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;
use yuccanotch_standin::max_flow_bound_for;
use yuccanotch_standin::slot_bound_for;
use yuccanotch_standin::Record;
use yuccanotch_standin::StandinSettings;
use yuccanotch_standin::StoreCalls;
use yuccanotch_standin::WorkMix;

use crate::arrivals::RequestSpec;
use crate::experiment::Observations;
use crate::outcome::CompleteAnswer;
use crate::outcome::InjectedFault;
use crate::outcome::SendResult;
use crate::promises::BrokenPromises;
use crate::scenario::Scenario;
use crate::teams;
use crate::teams::FloodFigures;
use crate::teams::TeamFigures;

/// Interval of the throughput series, in milliseconds.
pub const THROUGHPUT_STEP_MS: u64 = 250;
/// Time at the start of a run that throughput figures exclude, in milliseconds.
pub(crate) const WARM_UP_MS: u64 = 1000;
/// Number of throughput intervals before a fault whose mean is the baseline of the recovery.
const BASELINE_STEPS: usize = 8;
/// Throughput counts as recovered at this share of the baseline before the fault.
const RECOVERED_THROUGHPUT_SHARE: f64 = 0.8;
const MAX_LATENCY_US: u64 = 120_000_000;

/// Report of one run. Times are in milliseconds unless a field says otherwise.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Title of the scenario.
    pub title: String,
    /// Seed of the arrivals and fault times.
    pub seed: u64,
    /// Routing policy of the entry hosts.
    pub policy: String,
    /// Time during which requests arrived, in seconds.
    pub seconds: u32,
    /// Figures of requests to models.
    pub chat: ChatFigures,
    /// Figures of calls to plain services.
    pub calls: CallFigures,
    /// Figures of requests to models, by team.
    #[serde(default)]
    pub teams: BTreeMap<String, TeamFigures>,
    /// Effect of the scenario's flood on the other teams.
    #[serde(default)]
    pub flood: Option<FloodFigures>,
    /// Number of refusals by reason and outcome.
    pub refusals: BTreeMap<String, u64>,
    /// Faults and the recovery from each.
    pub faults: Vec<FaultFigures>,
    /// Number of connections that callers opened or tried to open.
    pub connections: u64,
    /// Number of arrivals that were sent late because too many callers were active.
    pub delayed_arrivals: u64,
    /// Calls that the store received; `None` without a record of the stand-ins.
    pub store: Option<StoreCalls>,
    /// Number of engine crashes.
    pub crashes: u64,
    /// Number of broken promises by kind.
    pub broken: BTreeMap<String, u64>,
    /// Examples of broken promises.
    pub broken_examples: Vec<String>,
    /// Tokens per second that callers received, in intervals of [`THROUGHPUT_STEP_MS`].
    pub series: Vec<f64>,
    /// Histogram of the time to the first token.
    pub first_token: Vec<Bucket>,
    /// Histogram of the time between consecutive tokens.
    pub inter_token: Vec<Bucket>,
}

/// Figures of requests to models.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ChatFigures {
    /// Requests sent, resends included.
    pub sent: u64,
    /// Answers that were received to their end.
    pub whole: u64,
    /// Requests that an entry host refused.
    pub refused: u64,
    /// Requests that ended without an answer: the connection broke or no entry host was reached.
    pub broken: u64,
    /// Complete answers that took longer than their deadline.
    pub late: u64,
    /// Complete answers that took more than one attempt.
    pub resumed: u64,
    /// Tokens per second that callers received, without the first second.
    pub tokens_per_s: f64,
    /// Tokens per second needed to answer all requests completely.
    pub offered_tokens_per_s: f64,
    /// Upper bound of the engines' throughput, in tokens per second.
    pub bound_tokens_per_s: f64,
    /// Upper bound, in tokens per second, that also takes into account that a chain occupies a slot
    /// on all its stages at once.
    pub slot_bound_tokens_per_s: f64,
    /// `tokens_per_s` divided by `bound_tokens_per_s`.
    pub share_of_bound: f64,
    /// Tokens that engines generated per token that callers received.
    pub work_per_token: f64,
    /// Time from the scheduled send of a request to its first token.
    pub first_token_ms: Quantiles,
    /// Time between consecutive tokens of an answer.
    pub inter_token_ms: Quantiles,
}

/// Figures of calls to plain services.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CallFigures {
    /// Calls sent, resends included.
    pub sent: u64,
    /// Calls that a service answered.
    pub answered: u64,
    /// Requests that an entry host refused.
    pub refused: u64,
    /// Refusals that leave open whether the call ran.
    pub unknown: u64,
    /// Requests that ended without an answer: the connection broke or no entry host was reached.
    pub broken: u64,
    /// Time from the scheduled send of a call to its answer.
    pub answer_ms: Quantiles,
}

/// Quantiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Quantiles {
    /// Half of the values are at most this.
    pub p50: f64,
    /// 95 of 100 values are at most this.
    pub p95: f64,
    /// 99 of 100 values are at most this.
    pub p99: f64,
    /// Largest value.
    pub max: f64,
}

/// Histogram bucket: the number of values up to `to_ms` and above the preceding bucket's limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Bucket {
    /// Inclusive upper limit, in milliseconds.
    pub to_ms: f64,
    /// Number of values.
    pub count: u64,
}

/// A fault and the recovery from it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FaultFigures {
    /// Short description of the fault.
    pub label: String,
    /// Start of the fault, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// Duration of the fault, in milliseconds.
    pub for_ms: u64,
    /// Answers that were streaming at the start of the fault and took more than one attempt.
    pub resumed: u64,
    /// Longest time between two tokens in each of these answers.
    pub pause_ms: Quantiles,
    /// Time from the fault until throughput was back at four fifths of that before it; `None` if it
    /// never was.
    pub back_ms: Option<u64>,
}

pub(crate) struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl LatencyHistogram {
    pub(crate) fn new() -> Self {
        let histogram = Histogram::new_with_max(MAX_LATENCY_US, 3);
        Self { histogram: histogram.expect("the limits of the histogram are valid") }
    }

    pub(crate) fn add(&mut self, us: u64) {
        self.histogram.saturating_record(us);
    }

    pub(crate) fn quantiles(&self) -> Quantiles {
        let at = |q| self.histogram.value_at_quantile(q) as f64 / 1000.0;
        if self.histogram.is_empty() {
            return Quantiles::default();
        }
        Quantiles {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: self.histogram.max() as f64 / 1000.0,
        }
    }

    fn buckets(&self) -> Vec<Bucket> {
        let steps = self.histogram.iter_log(500, 1.5);
        steps
            .map(|step| Bucket {
                to_ms: step.value_iterated_to() as f64 / 1000.0,
                count: step.count_since_last_iteration(),
            })
            .skip_while(|bucket| bucket.count == 0)
            .collect()
    }
}

/// Computes the report of a run.
pub fn build_report(
    scenario: &Scenario,
    seed: u64,
    policy: &str,
    observed: &Observations,
    record: Option<&Record>,
    broken: BrokenPromises,
    settings: &StandinSettings,
) -> Report {
    let mut report = Report {
        title: scenario.title.clone(),
        seed,
        policy: policy.to_owned(),
        seconds: scenario.seconds,
        connections: observed.connections,
        delayed_arrivals: observed.delayed_arrivals,
        store: record.map(|record| record.store),
        crashes: record.map_or(0, |record| record.crashes),
        broken: broken.counts,
        broken_examples: broken.examples,
        ..Report::default()
    };
    count_results(&mut report, scenario, observed);
    add_teams(&mut report, scenario, observed);
    report.series = throughput_series(observed);
    add_throughput(&mut report, scenario, observed, record, settings);
    let answers: Vec<&CompleteAnswer> = complete_answers(observed).collect();
    let faults = observed.faults.iter();
    report.faults = faults.map(|fault| fault_figures(fault, &answers, &report.series)).collect();
    report
}

fn complete_answers(observed: &Observations) -> impl Iterator<Item = &CompleteAnswer> {
    observed.sent.iter().filter_map(|sent| match &sent.result {
        SendResult::Complete(answer) => Some(answer),
        _ => None,
    })
}

fn count_results(report: &mut Report, scenario: &Scenario, observed: &Observations) {
    let mut first_token = LatencyHistogram::new();
    let mut inter_token = LatencyHistogram::new();
    let mut call_latency = LatencyHistogram::new();
    for sent in &observed.sent {
        match &sent.spec {
            RequestSpec::Chat { .. } => report.chat.sent += 1,
            RequestSpec::Call { .. } => report.calls.sent += 1,
        }
        match (&sent.spec, &sent.result) {
            (RequestSpec::Chat { load_index, .. }, SendResult::Complete(answer)) => {
                report.chat.whole += 1;
                report.chat.resumed += u64::from(answer.attempts > 1);
                let deadline_us = scenario.chat[*load_index].deadline_ms * 1000;
                report.chat.late += u64::from(sent.ended_us - sent.started_us > deadline_us);
                if let Some(first) = answer.token_arrivals_us.first() {
                    first_token.add(first.saturating_sub(sent.due_us));
                }
                token_gaps_us(answer).for_each(|gap| inter_token.add(gap));
            }
            (RequestSpec::Call { .. }, SendResult::Answered { .. }) => {
                report.calls.answered += 1;
                call_latency.add(sent.ended_us.saturating_sub(sent.due_us));
            }
            (RequestSpec::Chat { .. }, SendResult::Refused { .. }) => report.chat.refused += 1,
            (RequestSpec::Call { .. }, SendResult::Refused { outcome, .. }) => {
                report.calls.refused += 1;
                let unknown = *outcome == yuccanotch_core::reason::Outcome::Unknown;
                report.calls.unknown += u64::from(unknown);
            }
            (RequestSpec::Chat { .. }, _) => report.chat.broken += 1,
            (RequestSpec::Call { .. }, _) => report.calls.broken += 1,
        }
        if let SendResult::Refused { reason, outcome } = &sent.result {
            *report.refusals.entry(format!("{reason} ({outcome})")).or_default() += 1;
        }
    }
    report.chat.first_token_ms = first_token.quantiles();
    report.chat.inter_token_ms = inter_token.quantiles();
    report.calls.answer_ms = call_latency.quantiles();
    report.first_token = first_token.buckets();
    report.inter_token = inter_token.buckets();
}

fn add_teams(report: &mut Report, scenario: &Scenario, observed: &Observations) {
    report.teams = teams::team_figures(scenario, observed);
    let flood = scenario.flood.as_ref();
    report.flood = flood.and_then(|spec| teams::flood_figures(scenario, spec, observed));
    if let Some(text) = report.flood.as_ref().and_then(FloodFigures::broken_promise) {
        report.broken.insert("a flood slows other teams".to_owned(), 1);
        report.broken_examples.push(text);
    }
}

fn token_gaps_us(answer: &CompleteAnswer) -> impl Iterator<Item = u64> + '_ {
    answer.token_arrivals_us.windows(2).map(|pair| pair[1].saturating_sub(pair[0]))
}

fn throughput_series(observed: &Observations) -> Vec<f64> {
    let mut counts: Vec<u64> = Vec::new();
    for at_us in complete_answers(observed).flat_map(|answer| &answer.token_arrivals_us) {
        let step = (at_us / (THROUGHPUT_STEP_MS * 1000)) as usize;
        if counts.len() <= step {
            counts.resize(step + 1, 0);
        }
        counts[step] += 1;
    }
    counts.into_iter().map(|count| count as f64 * 1000.0 / THROUGHPUT_STEP_MS as f64).collect()
}

fn add_throughput(
    report: &mut Report,
    scenario: &Scenario,
    observed: &Observations,
    record: Option<&Record>,
    settings: &StandinSettings,
) {
    let window_us = WARM_UP_MS * 1000..u64::from(scenario.seconds) * 1_000_000;
    let window_s = (window_us.end - window_us.start) as f64 / 1e6;
    let received = complete_answers(observed).flat_map(|answer| &answer.token_arrivals_us);
    let received = received.filter(|at_us| window_us.contains(at_us)).count() as f64;
    let mut prefill_words = 0.0;
    let mut offered_tokens = 0.0;
    let mut counted_requests = std::collections::HashSet::new();
    for sent in &observed.sent {
        let RequestSpec::Chat { load_index, content } = &sent.spec else { continue };
        if !counted_requests.insert(sent.number) || !window_us.contains(&sent.due_us) {
            continue;
        }
        let chat = &scenario.chat[*load_index];
        let prompt = crate::promises::prompt_text(content);
        offered_tokens += f64::from(yuccanotch_standin::answer_len(&prompt).min(chat.max_tokens));
        // In the best case half of a prompt with a shared prefix is cached.
        let uncached_share = if chat.shared_prefixes > 0 { 0.5 } else { 1.0 };
        prefill_words += uncached_share * prompt.split_whitespace().count() as f64;
    }
    let mix = WorkMix {
        prefill_words_per_token: if offered_tokens > 0.0 {
            prefill_words / offered_tokens
        } else {
            0.0
        },
    };
    let bound: f64 = max_flow_bound_for(settings, mix).values().sum();
    let chat = &mut report.chat;
    chat.tokens_per_s = received / window_s.max(f64::MIN_POSITIVE);
    chat.offered_tokens_per_s = offered_tokens / window_s.max(f64::MIN_POSITIVE);
    chat.bound_tokens_per_s = bound;
    chat.slot_bound_tokens_per_s = slot_bound_for(settings, mix).values().sum();
    chat.share_of_bound = if bound > 0.0 { chat.tokens_per_s / bound } else { 0.0 };
    let received_tokens: usize = complete_answers(observed).map(|answer| answer.tokens.len()).sum();
    if let Some(record) = record {
        chat.work_per_token = record.tokens as f64 / (received_tokens as f64).max(1.0);
    }
}

fn fault_figures(
    fault: &InjectedFault,
    answers: &[&CompleteAnswer],
    series: &[f64],
) -> FaultFigures {
    let at_us = fault.at_ms * 1000;
    let mut pauses = LatencyHistogram::new();
    let mut resumed = 0;
    for answer in answers.iter().filter(|answer| answer.attempts > 1) {
        let (Some(first), Some(last)) =
            (answer.token_arrivals_us.first(), answer.token_arrivals_us.last())
        else {
            continue;
        };
        if *first <= at_us && at_us <= *last {
            resumed += 1;
            pauses.add(token_gaps_us(answer).max().unwrap_or(0));
        }
    }
    FaultFigures {
        label: fault.label.clone(),
        at_ms: fault.at_ms,
        for_ms: fault.for_ms,
        resumed,
        pause_ms: pauses.quantiles(),
        back_ms: recovery_time_ms(fault.at_ms, series),
    }
}

fn recovery_time_ms(at_ms: u64, series: &[f64]) -> Option<u64> {
    let step = (at_ms / THROUGHPUT_STEP_MS) as usize;
    let before = series.get(step.saturating_sub(BASELINE_STEPS)..step)?;
    if before.is_empty() {
        return None;
    }
    let baseline = before.iter().sum::<f64>() / before.len() as f64;
    let after = series.get(step + 1..)?;
    let back = after.iter().position(|rate| *rate >= baseline * RECOVERED_THROUGHPUT_SHARE)?;
    Some(back as u64 * THROUGHPUT_STEP_MS)
}

impl Report {
    /// Returns whether every promise was kept.
    pub fn promises_held(&self) -> bool {
        self.broken.is_empty()
    }

    /// Formats the report as text.
    pub fn to_text(&self) -> String {
        let mut out = String::new();
        self.write_text(&mut out).expect("writing to a string does not fail");
        out
    }

    fn write_text(&self, out: &mut String) -> std::fmt::Result {
        let chat = &self.chat;
        writeln!(out, "{} (seed {}, {})", self.title, self.seed, self.policy)?;
        writeln!(
            out,
            "models    {} sent, {} whole, {} refused, {} broken, {} late, {} resumed",
            chat.sent, chat.whole, chat.refused, chat.broken, chat.late, chat.resumed
        )?;
        writeln!(
            out,
            "tokens/s  {:.0} received, {:.0} offered, {:.0} bound, {:.3} of the bound, \
             {:.3} made per token received",
            chat.tokens_per_s,
            chat.offered_tokens_per_s,
            chat.bound_tokens_per_s,
            chat.share_of_bound,
            chat.work_per_token
        )?;
        write_quantiles(out, "first token", &chat.first_token_ms)?;
        write_quantiles(out, "inter-token", &chat.inter_token_ms)?;
        for (team, figures) in &self.teams {
            teams::write_team_text(out, &format!("team      {team}"), figures)?;
        }
        if let Some(flood) = &self.flood {
            teams::write_flood_text(out, flood)?;
        }
        let calls = &self.calls;
        writeln!(
            out,
            "services  {} sent, {} answered, {} refused ({} unknown), {} broken",
            calls.sent, calls.answered, calls.refused, calls.unknown, calls.broken
        )?;
        write_quantiles(out, "call", &calls.answer_ms)?;
        for (reason, count) in &self.refusals {
            writeln!(out, "refused   {count:>6}  {reason}")?;
        }
        for fault in &self.faults {
            let back = fault.back_ms.map_or("not seen".to_owned(), |ms| format!("{ms} ms"));
            writeln!(
                out,
                "fault     {:>6} ms  {} for {} ms: {} resumed, pause p50 {:.0} p95 {:.0} ms, \
                 throughput back after {back}",
                fault.at_ms,
                fault.label,
                fault.for_ms,
                fault.resumed,
                fault.pause_ms.p50,
                fault.pause_ms.p95
            )?;
        }
        let store = self.store.unwrap_or_default();
        writeln!(
            out,
            "store     {} reads, {} writes, {} watches, {} lease calls, {} over rate, {} faulted",
            store.reads, store.writes, store.watches, store.leases, store.over_rate, store.faulted
        )?;
        writeln!(
            out,
            "callers   {} connections, {} late arrivals; {} engine crashes",
            self.connections, self.delayed_arrivals, self.crashes
        )?;
        for example in &self.broken_examples {
            writeln!(out, "BROKEN    {example}")?;
        }
        for (kind, count) in &self.broken {
            writeln!(out, "BROKEN    {count:>6}  {kind}")?;
        }
        if self.broken.is_empty() {
            writeln!(out, "all promises held")?;
        }
        Ok(())
    }
}

fn write_quantiles(out: &mut String, name: &str, q: &Quantiles) -> std::fmt::Result {
    writeln!(
        out,
        "{name:<12}p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
        q.p50, q.p95, q.p99, q.max
    )
}
