//! `yuccanotch-check route-bench`: compares the routing policies on stand-in engines.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use lexopt::Arg;
use lexopt::ValueExt;
use yuccanotch_core::admit::Pool;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::Priority;
use yuccanotch_core::config::Team;
use yuccanotch_core::name::TeamName;
use yuccanotch_core::route::Policy;
use yuccanotch_entry::admission::AdmissionRequest;
use yuccanotch_entry::answer::CallerGone;
use yuccanotch_entry::host::Host;
use yuccanotch_entry::pipelines;
use yuccanotch_entry::pipelines::ChatJob;
use yuccanotch_entry::pipelines::TokenSink;
use yuccanotch_local::Deployment;
use yuccanotch_local::Plan;
use yuccanotch_standin::expected_answer;
use yuccanotch_standin::max_flow_bound_for;
use yuccanotch_standin::slot_bound_for;
use yuccanotch_standin::Fault;
use yuccanotch_standin::FaultRequest;
use yuccanotch_standin::LinkPair;
use yuccanotch_standin::WorkMix;

use crate::error::CliError;
use crate::error::CliResult;

const USAGE: &str = "
Compares the routing policies on stand-in engines: throughput with as many
requests as the engines hold, and the gap in the answers when a stage crashes.

Usage: yuccanotch-check route-bench [options]

Options:
    --seconds N    Length of each run [default: 6]
    --callers N    Number of concurrent requests [default: 96]
    -h, --help     Prints this text.
";

const MODEL: &str = "assistant";
const LAYERS: u16 = 24;
const STAGES: u16 = 3;
/// Step times of the replicas of each stage, in µs.
const STEP_TIMES_US: [u32; 4] = [4_000, 8_000, 8_000, 16_000];
const SLOTS_PER_ENGINE: u32 = 16;
const PROMPT_WORDS: u32 = 24;
const MEAN_ANSWER_TOKENS: f64 = 36.0;
const SLOW_LINK_US: u32 = 5_000;
const DEADLINE: Millis = Millis(60_000);
/// Time before tokens are counted.
const WARM_UP: Duration = Duration::from_secs(1);
/// Upper bound of the histograms; longer times are recorded as this.
const MAX_RECORDED_MS: u64 = 60_000;

struct Args {
    seconds: u64,
    callers: usize,
}

impl Args {
    fn parse(mut parser: lexopt::Parser) -> CliResult<Option<Self>> {
        let mut args = Self { seconds: 6, callers: 96 };
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("seconds") => args.seconds = parser.value()?.parse()?,
                Arg::Long("callers") => args.callers = parser.value()?.parse()?,
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
                _ => return Err(arg.unexpected().into()),
            }
        }
        Ok(Some(args))
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the command line is invalid, a deployment does not start, or an answer is
/// wrong.
pub fn run(parser: lexopt::Parser) -> CliResult<()> {
    let Some(args) = Args::parse(parser)? else {
        outln!("{}", USAGE.trim());
        return Ok(());
    };
    for policy in Policy::ALL {
        bench(policy, &args, false)?;
    }
    for policy in Policy::ALL {
        bench(policy, &args, true)?;
    }
    Ok(())
}

/// Results of all callers; `is_stopped` ends them and `is_counting` makes tokens count.
struct CallerStats {
    is_stopped: AtomicBool,
    is_counting: AtomicBool,
    counted_tokens: AtomicU64,
    answers: AtomicU64,
    refusals: AtomicU64,
    wrong_answers: AtomicU64,
    first_token_ms: Mutex<Histogram<u64>>,
    token_gap_ms: Mutex<Histogram<u64>>,
    largest_gap_after_resume_ms: Mutex<Histogram<u64>>,
}

impl CallerStats {
    fn new() -> Self {
        let histogram = || {
            Mutex::new(
                Histogram::new_with_bounds(1, MAX_RECORDED_MS, 3).expect("the bounds are valid"),
            )
        };
        Self {
            is_stopped: AtomicBool::new(false),
            is_counting: AtomicBool::new(false),
            counted_tokens: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            refusals: AtomicU64::new(0),
            wrong_answers: AtomicU64::new(0),
            first_token_ms: histogram(),
            token_gap_ms: histogram(),
            largest_gap_after_resume_ms: histogram(),
        }
    }
}

/// Upper bounds of the throughput in tokens per second: the maximum flow through the stages, and
/// the bound for requests that hold a slot on each stage at once.
#[derive(Clone, Copy)]
struct ThroughputBounds {
    max_flow: f64,
    chain_slots: f64,
}

/// Receives the tokens of one answer and measures the gaps between them.
struct MeasuringSink<'a> {
    stats: &'a CallerStats,
    tokens: Vec<String>,
    started_at: Instant,
    last_token_at: Instant,
    largest_gap: Duration,
}

impl TokenSink for MeasuringSink<'_> {
    fn push_token(&mut self, token: &str) -> Result<(), CallerGone> {
        let now = Instant::now();
        let gap = now - self.last_token_at;
        if self.tokens.is_empty() {
            record_ms(&self.stats.first_token_ms, now - self.started_at);
        } else {
            record_ms(&self.stats.token_gap_ms, gap);
            self.largest_gap = self.largest_gap.max(gap);
        }
        self.last_token_at = now;
        self.tokens.push(token.to_owned());
        if self.stats.is_counting.load(Ordering::Relaxed) {
            self.stats.counted_tokens.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn is_gone(&self) -> bool {
        false
    }
}

fn record_ms(histogram: &Mutex<Histogram<u64>>, span: Duration) {
    let ms = (span.as_millis() as u64).clamp(1, MAX_RECORDED_MS);
    histogram.lock().expect("no panic while recording").saturating_record(ms);
}

fn bench_plan(policy: Policy) -> Plan {
    let mut plan = Plan::new(7, "amman", &["sahab", "marka", "abdali"]);
    plan.add_team("bakeries", "bakeries-key", Priority::Normal, 1);
    plan.add_model(MODEL, LAYERS, STAGES, STEP_TIMES_US.len());
    for (index, engine) in plan.standin.engines.iter_mut().enumerate() {
        engine.behavior.step_base_us = STEP_TIMES_US[index % STEP_TIMES_US.len()];
        engine.behavior.step_sequence_us = 100;
        engine.behavior.slots = SLOTS_PER_ENGINE;
        engine.behavior.queue = SLOTS_PER_ENGINE;
    }
    // One link in the middle of the pipelines is a hundred times slower than its neighbours.
    plan.standin.links.pairs.push(LinkPair {
        a: "assistant-0-1".into(),
        b: "assistant-1-1".into(),
        us: SLOW_LINK_US,
    });
    plan.routing = policy;
    plan
}

fn bench(policy: Policy, args: &Args, with_crash: bool) -> CliResult<()> {
    let plan = bench_plan(policy);
    let words = f64::from(PROMPT_WORDS) / MEAN_ANSWER_TOKENS;
    let mix = WorkMix { prefill_words_per_token: words };
    let bounds = ThroughputBounds {
        max_flow: max_flow_bound_for(&plan.standin, mix).values().sum(),
        chain_slots: slot_bound_for(&plan.standin, mix).values().sum(),
    };
    let deployment = Deployment::start(plan)
        .map_err(|e| CliError::Failed(format!("the deployment does not start: {e}")))?;
    let stats = CallerStats::new();
    let span = Duration::from_secs(args.seconds);
    thread::scope(|scope| {
        let hosts: Vec<&Host> = deployment.running().map(|running| &*running.host).collect();
        for caller in 0..args.callers {
            let host = hosts[caller % hosts.len()];
            let (stats, deployment) = (&stats, &deployment);
            scope.spawn(move || call_until_stopped(host, deployment, caller, stats));
        }
        thread::sleep(WARM_UP);
        stats.is_counting.store(true, Ordering::Relaxed);
        thread::sleep(span / 2);
        if with_crash {
            let fault = Fault::EngineCrash { target: "assistant-1-0".into() };
            let _ = deployment.standin.inject(FaultRequest { fault, for_ms: 60_000 });
        }
        thread::sleep(span - span / 2);
        stats.is_counting.store(false, Ordering::Relaxed);
        stats.is_stopped.store(true, Ordering::Relaxed);
    });
    report(policy, &stats, bounds, span, with_crash);
    print_reasons(&deployment);
    deployment.stop();
    let wrong = stats.wrong_answers.load(Ordering::Relaxed);
    if wrong > 0 {
        return Err(CliError::Failed(format!("{wrong} answers were wrong")));
    }
    Ok(())
}

/// Prints the counters of all hosts that have a reason label, such as retries and refusals.
fn print_reasons(deployment: &Deployment) {
    let mut sums = BTreeMap::<String, u64>::new();
    for running in deployment.running() {
        let text = running.host.telemetry.render();
        let lines = text.lines().filter(|line| line.contains("_total{reason="));
        for (name, value) in lines.filter_map(|line| line.rsplit_once(' ')) {
            *sums.entry(name.to_owned()).or_default() += value.parse().unwrap_or(0);
        }
    }
    for (name, sum) in sums.iter().filter(|(_, sum)| **sum > 0) {
        outln!("    {name} {sum}");
    }
}

fn report(
    policy: Policy,
    stats: &CallerStats,
    bounds: ThroughputBounds,
    span: Duration,
    with_crash: bool,
) {
    let rate = stats.counted_tokens.load(Ordering::Relaxed) as f64 / span.as_secs_f64();
    let p95 = |histogram: &Mutex<Histogram<u64>>| {
        histogram.lock().expect("no panic while recording").value_at_quantile(0.95)
    };
    let resumed = stats.largest_gap_after_resume_ms.lock().expect("no panic while recording").len();
    outln!(
        "{}{}: {rate:.0} tokens/s, {:.2} of the bound of {:.0}, {:.2} of the bound \
         with chain slots of {:.0}; first token p95 {} ms, \
         between tokens p95 {} ms; {} answers, {} refused; {resumed} answers resumed, \
         largest gap p95 {} ms",
        policy.as_str(),
        if with_crash { " with a crashed stage" } else { "" },
        rate / bounds.max_flow,
        bounds.max_flow,
        rate / bounds.chain_slots,
        bounds.chain_slots,
        p95(&stats.first_token_ms),
        p95(&stats.token_gap_ms),
        stats.answers.load(Ordering::Relaxed),
        stats.refusals.load(Ordering::Relaxed),
        p95(&stats.largest_gap_after_resume_ms),
    );
}

fn call_until_stopped(host: &Host, deployment: &Deployment, caller: usize, stats: &CallerStats) {
    let name = TeamName::new("bakeries");
    let Some(team) = deployment.plan.teams.get(&name) else {
        return;
    };
    for round in 0_u32.. {
        if stats.is_stopped.load(Ordering::Relaxed) {
            return;
        }
        send_request(host, &name, team, &prompt(caller, round), stats);
    }
}

fn prompt(caller: usize, round: u32) -> String {
    let words = (1..PROMPT_WORDS).map(|word| format!("w{word}"));
    let words: Vec<String> = words.chain([format!("{caller}-{round}")]).rev().collect();
    words.join(" ")
}

fn send_request(host: &Host, name: &TeamName, team: &Team, prompt: &str, stats: &CallerStats) {
    let started_at = Instant::now();
    let job = ChatJob {
        request: host.next_request_id(),
        team: name.clone(),
        model: MODEL.into(),
        version: "v1".into(),
        layers: LAYERS,
        prompt: prompt.to_owned(),
        max_tokens: 64,
        priority: 5,
        deadline: host.clock.now() + DEADLINE,
    };
    let view = host.fleet.view();
    let now = host.clock.now();
    let work = AdmissionRequest {
        pool: Pool::Model(job.model.clone()),
        service_time: Millis::ZERO,
        deadline: job.deadline,
        stage_capacity: Some(host.routing.places(now, view, &job.model, &job.version, LAYERS)),
        sharing_hosts: 3,
    };
    let Ok(_ticket) = host.admission.admit(name, team, work, &|| false) else {
        stats.refusals.fetch_add(1, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(20));
        return;
    };
    let mut sink = MeasuringSink {
        stats,
        tokens: Vec::new(),
        started_at,
        last_token_at: started_at,
        largest_gap: Duration::ZERO,
    };
    match pipelines::run(host, &job, &mut sink) {
        Ok(closing) => {
            stats.answers.fetch_add(1, Ordering::Relaxed);
            if closing.attempts > 1 {
                record_ms(&stats.largest_gap_after_resume_ms, sink.largest_gap);
            }
            if sink.tokens != expected_answer(MODEL, "v1", LAYERS, prompt, 64) {
                stats.wrong_answers.fetch_add(1, Ordering::Relaxed);
            }
        }
        Err(refusal) => {
            host.telemetry.count_refusal(refusal.reason);
            stats.refusals.fetch_add(1, Ordering::Relaxed);
        }
    }
}
