//! Generates the request arrivals and fault times of a scenario from a seed, before the run.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::scenario::CallLoad;
use crate::scenario::ChatLoad;
use crate::scenario::Scenario;
use crate::scenario::TimedFault;

const PROMPT_WORDS: [&str; 24] = [
    "kraft", "paper", "bags", "handles", "twisted", "print", "proof", "quote", "bakery", "order",
    "reorder", "stock", "colour", "lane", "closure", "paint", "batch", "tender", "summary",
    "report", "crew", "shift", "highway", "lot",
];
const US_PER_S: f64 = 1e6;
/// Longest delay between the two sends of a duplicated call.
const MAX_DUPLICATE_DELAY_US: u64 = 20_000;

/// One request that is sent at a scheduled time.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Scheduled send time, in microseconds since the start of the run.
    pub at_us: u64,
    /// Sequence number of the request; both sends of a duplicated call have the same number.
    pub number: usize,
    /// Content of the request.
    pub spec: RequestSpec,
}

/// Content of a request that a caller sends.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestSpec {
    /// A request to a model.
    Chat {
        /// Index into [`Scenario::chat`].
        load_index: usize,
        /// Text of the user message.
        content: String,
    },
    /// A call to a plain service.
    Call {
        /// Index into [`Scenario::calls`].
        load_index: usize,
        /// Idempotency key; `None` when the calls of this load carry no keys.
        key: Option<String>,
    },
}

/// Generates the arrivals of a scenario, in order of time.
pub fn generate_arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut list = Vec::new();
    let end_us = u64::from(scenario.seconds) * 1_000_000;
    for (load_index, chat) in scenario.chat.iter().enumerate() {
        // Each load has its own generator, so that a change of one load does not change the
        // arrivals of the others.
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (load_index as u64 + 1) << 32);
        for at_us in arrival_times_us(&mut rng, chat.per_s, chat.from_ms, chat.to_ms, end_us) {
            let content = user_text(&mut rng, chat, load_index, list.len());
            list.push(Arrival {
                at_us,
                number: list.len(),
                spec: RequestSpec::Chat { load_index, content },
            });
        }
    }
    for (load_index, call) in scenario.calls.iter().enumerate() {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ (load_index as u64 + 1) << 40);
        add_calls(&mut list, &mut rng, call, load_index, seed, end_us);
    }
    list.sort_by_key(|arrival| (arrival.at_us, arrival.number));
    list
}

fn add_calls(
    list: &mut Vec<Arrival>,
    rng: &mut Pcg64Mcg,
    call: &CallLoad,
    load_index: usize,
    seed: u64,
    end_us: u64,
) {
    for at_us in arrival_times_us(rng, call.per_s, call.from_ms, call.to_ms, end_us) {
        let number = list.len();
        let key = call.keyed.then(|| format!("{}-{seed}-{number}", call.service));
        let spec = RequestSpec::Call { load_index, key };
        if rng.random_range(0..100) < call.double_percent {
            let at_us = at_us + rng.random_range(0..MAX_DUPLICATE_DELAY_US);
            list.push(Arrival { at_us, number, spec: spec.clone() });
        }
        list.push(Arrival { at_us, number, spec });
    }
}

fn arrival_times_us(
    rng: &mut Pcg64Mcg,
    per_s: f64,
    from_ms: u64,
    to_ms: Option<u64>,
    end_us: u64,
) -> Vec<u64> {
    let end_us = to_ms.map_or(end_us, |to_ms| end_us.min(to_ms * 1000));
    let mut at_us = from_ms as f64 * 1000.0;
    let mut times = Vec::new();
    loop {
        let uniform: f64 = rng.random();
        at_us += -(1.0 - uniform).ln() / per_s * US_PER_S;
        if at_us >= end_us as f64 {
            return times;
        }
        times.push(at_us as u64);
    }
}

fn user_text(rng: &mut Pcg64Mcg, chat: &ChatLoad, load_index: usize, number: usize) -> String {
    let word = |rng: &mut Pcg64Mcg| PROMPT_WORDS[rng.random_range(0..PROMPT_WORDS.len())];
    let mut words: Vec<String> = Vec::new();
    if chat.shared_prefixes > 0 {
        let prefix = rng.random_range(0..chat.shared_prefixes);
        let mut prefix_rng = Pcg64Mcg::seed_from_u64((load_index as u64) << 32 | prefix as u64);
        words.extend((0..chat.prompt_words / 2).map(|_| word(&mut prefix_rng).to_owned()));
    }
    if !chat.mark.is_empty() {
        // Prompts with a mark are identical, as when one caller resends its request.
        words.push(chat.mark.clone());
        return words.join(" ");
    }
    words.push(format!("request-{number}"));
    while words.len() < chat.prompt_words {
        words.push(word(rng).to_owned());
    }
    words.join(" ")
}

/// Draws a start time in milliseconds for each fault; the result is in order of time.
pub fn schedule_faults(scenario: &Scenario, seed: u64) -> Vec<(u64, TimedFault)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xfa17);
    let mut list: Vec<(u64, TimedFault)> = scenario
        .faults
        .iter()
        .map(|fault| {
            let to_ms = fault.to_ms.unwrap_or(fault.at_ms).max(fault.at_ms);
            (rng.random_range(fault.at_ms..=to_ms), fault.clone())
        })
        .collect();
    list.sort_by_key(|(at_ms, _)| *at_ms);
    list
}
