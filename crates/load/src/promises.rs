//! Checks the promises to callers: compares the results that callers observed with the stand-ins'
//! own record of what ran.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde_json::Value;
use yuccanotch_core::digest::TokenDigest;
use yuccanotch_core::reason::Outcome;
use yuccanotch_standin::expected_answer;
use yuccanotch_standin::prompt_hash;
use yuccanotch_standin::Record;
use yuccanotch_standin::RunEnd;

use crate::arrivals::RequestSpec;
use crate::experiment::Observations;
use crate::outcome::CompleteAnswer;
use crate::outcome::SendRecord;
use crate::outcome::SendResult;
use crate::scenario::EntryStop;
use crate::scenario::FaultAction;
use crate::scenario::Scenario;

const MAX_EXAMPLES_PER_KIND: usize = 5;

/// Broken promises, counted by kind, with a few examples of each kind.
#[derive(Debug, Default)]
pub struct BrokenPromises {
    /// Number of violations by kind.
    pub counts: BTreeMap<String, u64>,
    /// Descriptions of the first violations of each kind.
    pub examples: Vec<String>,
}

impl BrokenPromises {
    fn add(&mut self, kind: &str, example: String) {
        let count = self.counts.entry(kind.to_owned()).or_default();
        *count += 1;
        if *count <= MAX_EXAMPLES_PER_KIND as u64 {
            self.examples.push(format!("{kind}: {example}"));
        }
    }

    /// Returns whether every promise was kept.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}

/// Checks the results of a run. Without a record, only what callers can observe is checked.
pub fn check_promises(
    scenario: &Scenario,
    observed: &Observations,
    record: Option<&Record>,
) -> BrokenPromises {
    let mut broken = BrokenPromises::default();
    for sent in &observed.sent {
        match (&sent.spec, &sent.result) {
            (RequestSpec::Chat { load_index, content }, SendResult::Complete(answer)) => {
                check_model_answer(
                    &mut broken,
                    scenario,
                    *load_index,
                    content,
                    sent.number,
                    answer,
                );
            }
            (_, SendResult::Broken(text)) if !allows_broken_connections(scenario) => {
                broken.add("connection lost", format!("request {}: {text}", sent.number));
            }
            _ => {}
        }
    }
    check_resends(&mut broken, &observed.sent);
    if let Some(record) = record {
        check_service_calls(&mut broken, scenario, &observed.sent, record);
        check_model_runs(&mut broken, &observed.sent, record);
        check_crashes(&mut broken, scenario, record);
    }
    for fault in &observed.faults {
        if let Some(e) = &fault.error {
            broken.add("fault not carried out", format!("{}: {e}", fault.label));
        }
    }
    broken
}

/// Returns whether callers' connections may break: only when the scenario kills an entry host.
fn allows_broken_connections(scenario: &Scenario) -> bool {
    scenario.faults.iter().any(
        |fault| matches!(&fault.action, FaultAction::Entry(entry) if entry.entry == EntryStop::Kill),
    )
}

/// Returns the prompt that an entry host builds from the text of one user message.
pub fn prompt_text(content: &str) -> String {
    format!("user: {content}")
}

fn check_model_answer(
    broken: &mut BrokenPromises,
    scenario: &Scenario,
    load_index: usize,
    content: &str,
    number: usize,
    answer: &CompleteAnswer,
) {
    let chat = &scenario.chat[load_index];
    let model = scenario.deployment.models.iter().find(|model| model.name == chat.model);
    let layers = model.map_or(0, |model| model.layers);
    let prompt = prompt_text(content);
    let version = &answer.version;
    let expected = expected_answer(&chat.model, version, layers, &prompt, chat.max_tokens);
    if answer.tokens != expected {
        let example = format!(
            "request {number}: {} tokens, {} expected, first difference at {:?}",
            answer.tokens.len(),
            expected.len(),
            answer.tokens.iter().zip(&expected).position(|(a, b)| a != b),
        );
        broken.add("wrong or cut answer told whole", example);
    }
    let mut digest = TokenDigest::default();
    answer.tokens.iter().for_each(|token| digest.push(token));
    let count_matches = answer.reported_tokens as usize == answer.tokens.len();
    if !count_matches || answer.reported_digest != digest.finish().to_string() {
        broken.add("closing part does not match", format!("request {number}"));
    }
}

/// Checks that all answers to calls with the same idempotency key are equal.
fn check_resends(broken: &mut BrokenPromises, sent: &[SendRecord]) {
    let mut bodies: HashMap<&str, &str> = HashMap::new();
    for sent in sent {
        if let (RequestSpec::Call { key: Some(key), .. }, SendResult::Answered { body, .. }) =
            (&sent.spec, &sent.result)
        {
            let first = bodies.entry(key).or_insert(body);
            if *first != body {
                broken.add("another answer under the same key", format!("{key}: {first} | {body}"));
            }
        }
    }
}

fn check_service_calls(
    broken: &mut BrokenPromises,
    scenario: &Scenario,
    sent: &[SendRecord],
    record: &Record,
) {
    let calls = record.runs_by_key();
    for ((service, key), count) in &calls {
        if *count > 1 && !is_repeatable(scenario, sent, key) {
            broken.add("run more than once", format!("{service} key {key}: {count} times"));
        }
    }
    let run_by_path: HashMap<&str, u64> =
        record.calls.iter().map(|call| (call.path.as_str(), call.run)).collect();
    let mut runs_by_key: HashMap<&str, u32> = HashMap::new();
    for ((_, key), count) in &calls {
        *runs_by_key.entry(key).or_default() += count;
    }
    for sent in sent {
        let RequestSpec::Call { load_index, key } = &sent.spec else { continue };
        let call = &scenario.calls[*load_index];
        match (&sent.result, key) {
            (SendResult::Refused { outcome: Outcome::NotRun, reason }, Some(key))
                if runs_by_key.contains_key(key.as_str()) =>
            {
                broken.add("told not run, but ran", format!("key {key}: {reason}"));
            }
            (SendResult::Refused { outcome: Outcome::NotRun, reason }, None) => {
                let path = format!("{}?call={}", call.path, sent.number);
                if run_by_path.contains_key(path.as_str()) {
                    broken.add("told not run, but ran", format!("{path}: {reason}"));
                }
            }
            (SendResult::Answered { status: 200, body }, _) => {
                check_call_answer(broken, sent.number, body, record);
            }
            _ => {}
        }
    }
}

fn is_repeatable(scenario: &Scenario, sent: &[SendRecord], key: &str) -> bool {
    let load_index = sent.iter().find_map(|sent| match &sent.spec {
        RequestSpec::Call { load_index, key: Some(own) } if own == key => Some(*load_index),
        _ => None,
    });
    let Some(call) = load_index.and_then(|index| scenario.calls.get(index)) else { return false };
    let services = scenario.deployment.services.iter();
    services.filter(|service| service.name == call.service).any(|service| {
        let mut routes = service.routes.iter();
        routes.any(|r| r.repeatable && r.method == call.method && r.path == call.path)
    })
}

/// Checks that the service recorded the run that an answer names, and that this run was of the
/// caller's own request.
fn check_call_answer(broken: &mut BrokenPromises, number: usize, body: &str, record: &Record) {
    let answer: Value = serde_json::from_str(body).unwrap_or_default();
    let run = answer["run"].as_u64().unwrap_or(0);
    let own_query = format!("call={number}");
    let recorded = usize::try_from(run).ok().and_then(|run| record.calls.get(run.checked_sub(1)?));
    let is_own_call = recorded.is_some_and(|call| call.path.split('?').nth(1) == Some(&own_query));
    if !is_own_call {
        broken.add("answer of another call", format!("request {number}: {body}"));
    }
}

/// Checks that engines made no tokens for a model request whose refusal says that it did not run.
fn check_model_runs(broken: &mut BrokenPromises, sent: &[SendRecord], record: &Record) {
    let mut tokens_by_prompt: HashMap<u64, u32> = HashMap::new();
    for run in &record.runs {
        if run.end != RunEnd::Refused {
            *tokens_by_prompt.entry(run.prompt).or_default() += run.tokens;
        }
    }
    let mut answers_by_prompt: HashMap<u64, u32> = HashMap::new();
    let hash_of = |content: &str| prompt_hash(&prompt_text(content));
    for sent in sent {
        if let (RequestSpec::Chat { content, .. }, SendResult::Complete(_)) =
            (&sent.spec, &sent.result)
        {
            *answers_by_prompt.entry(hash_of(content)).or_default() += 1;
        }
    }
    for sent in sent {
        let RequestSpec::Chat { content, .. } = &sent.spec else { continue };
        let SendResult::Refused { outcome: Outcome::NotRun, reason } = &sent.result else {
            continue;
        };
        let hash = hash_of(content);
        // The tokens may belong to another send of the same prompt that was answered.
        if tokens_by_prompt.get(&hash).is_some_and(|n| *n > 0)
            && !answers_by_prompt.contains_key(&hash)
        {
            let example = format!("request {}: {reason}", sent.number);
            broken.add("told not run, but made tokens", example);
        }
    }
}

fn check_crashes(broken: &mut BrokenPromises, scenario: &Scenario, record: &Record) {
    if let Some(max_crashes) = scenario.max_crashes {
        if record.crashes > max_crashes {
            let example =
                format!("{} engine crashes, expected at most {max_crashes}", record.crashes);
            broken.add("too many crashes", example);
        }
    }
}
