//! `yuccanotch-load engines`: measures the throughput of the stand-in engines of one process.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use lexopt::prelude::*;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::Chain;
use yuccanotch_core::engine::Hop;
use yuccanotch_core::engine::LayerRange;
use yuccanotch_core::engine::RunRequest;
use yuccanotch_core::ids::Attempt;
use yuccanotch_core::ids::RequestId;
use yuccanotch_load::CliResult;
use yuccanotch_load::LoadError;
use yuccanotch_standin::max_flow_bound;
use yuccanotch_standin::EngineSettings;
use yuccanotch_standin::ModelSettings;
use yuccanotch_standin::Standin;
use yuccanotch_standin::StandinSettings;

pub const USAGE: &str = "\
Runs stand-in engines at full load without a router, and prints the tokens per second, their
upper bound, and the processor time per token of this process, which includes the callers.

Usage: yuccanotch-load engines [--engines N] [--runs N] [--seconds N]

Options:
    --engines N    number of engines, split into three stages [default: 150]
    --runs N       number of concurrent runs [default: 400]
    --seconds N    duration of the measurement [default: 5]
";

const STAGES: u16 = 3;
const LAYERS: u16 = 24;
const CLIENT_STACK_BYTES: usize = 128 << 10;

#[derive(Clone, Copy, Debug)]
struct Args {
    engines: u16,
    runs: u32,
    seconds: u64,
}

pub fn run(parser: &mut lexopt::Parser) -> CliResult<bool> {
    let mut args = Args { engines: 150, runs: 400, seconds: 5 };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("engines") => args.engines = parser.value()?.parse()?,
            Long("runs") => args.runs = parser.value()?.parse()?,
            Long("seconds") => args.seconds = parser.value()?.parse()?,
            Short('h') | Long("help") => {
                out!("{USAGE}");
                return Ok(true);
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    let replicas = (args.engines / STAGES).max(1);
    let settings = standin_settings(replicas);
    let bound = max_flow_bound(&settings);
    let standin = Standin::start(settings).map_err(|e| LoadError::Standin(e.to_string()))?;
    let started = Instant::now();
    let cpu_before = cpu_time();
    let end = started + Duration::from_secs(args.seconds);
    thread::scope(|scope| -> CliResult<()> {
        for i in 0..args.runs {
            let chain = replica_chain(&standin, (i % u32::from(replicas)) as u16);
            let builder = thread::Builder::new().stack_size(CLIENT_STACK_BYTES);
            builder.spawn_scoped(scope, move || send_runs_until(end, i, &chain))?;
        }
        Ok(())
    })?;
    let seconds = started.elapsed().as_secs_f64();
    let cpu = cpu_time().saturating_sub(cpu_before);
    let record = standin.stop();
    let tokens = record.tokens as f64;
    outln!("engines           {}", replicas * STAGES);
    outln!("runs at a time    {}", args.runs);
    outln!("tokens/s          {:.0}", tokens / seconds);
    outln!("bound tokens/s    {bound:.0}");
    outln!("cpu us per token  {:.1}", cpu.as_micros() as f64 / tokens.max(1.0));
    outln!("cores             {:.2}", cpu.as_secs_f64() / seconds);
    Ok(true)
}

fn standin_settings(replicas: u16) -> StandinSettings {
    let mut settings = StandinSettings::default();
    settings.models.insert("m".into(), ModelSettings { layers: LAYERS, weights_mb: 0 });
    for stage in 0..STAGES {
        for replica in 0..replicas {
            let name = format!("m-{stage}-{replica}");
            let engine = EngineSettings::new(&name, "sahab", "m", "v1", stage_layers(stage));
            settings.engines.push(engine);
        }
    }
    settings
}

fn stage_layers(stage: u16) -> LayerRange {
    LayerRange::new(LAYERS * stage / STAGES, LAYERS * (stage + 1) / STAGES)
}

fn replica_chain(standin: &Standin, replica: u16) -> Chain {
    let hop = |stage| {
        let name = format!("m-{stage}-{replica}");
        let address = standin.engine_address(&name).map(|address: SocketAddr| address.to_string());
        Hop {
            server: name.as_str().into(),
            address: address.unwrap_or_default(),
            layers: stage_layers(stage),
        }
    };
    (0..STAGES).map(hop).collect()
}

/// Sends runs one after another until `end`, and abandons the run that is in progress then.
fn send_runs_until(end: Instant, caller: u32, chain: &Chain) {
    let agent = yuccanotch_entry::engine_client::agent(Duration::from_secs(1));
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let req = RunRequest {
            request: RequestId(u128::from(caller) << 32 | number),
            attempt: Attempt(1),
            model: "m".into(),
            version: "v1".into(),
            adapter: None,
            chain: chain.clone(),
            prompt: format!("caller {caller} asks {number}"),
            released: Vec::new(),
            max_tokens: 64,
            priority: 5,
            deadline_ms: Millis(60_000),
            kv_from: Default::default(),
        };
        let url = format!("http://{}/v1/run", chain[0].address);
        let Ok(answer) = agent.post(&url).send_json(&req) else { continue };
        let lines = BufReader::new(answer.into_body().into_reader()).lines();
        for line in lines.map_while(Result::ok) {
            if Instant::now() >= end || line.is_empty() {
                return;
            }
        }
    }
}

/// Returns the user and system processor time of this process, from `/proc/self/stat`.
fn cpu_time() -> Duration {
    const CPU_TICK: Duration = Duration::from_millis(10);
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The process name in parentheses may contain spaces. User and system time are fields 14 and
    // 15 of the line, thus 12 and 13 after the name.
    let rest = stat.rsplit_once(')').map(|(_, rest)| rest).unwrap_or_default();
    let ticks =
        rest.split_whitespace().skip(11).take(2).filter_map(|text| text.parse::<u32>().ok());
    CPU_TICK * ticks.sum::<u32>()
}
