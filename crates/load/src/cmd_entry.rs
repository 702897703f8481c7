//! `yuccanotch-load entry`: what one entry host costs as a process of its own.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use lexopt::prelude::*;
use serde_json::json;
use yuccanotch_load::CliResult;
use yuccanotch_load::LoadError;
use yuccanotch_local::client::Caller;
use yuccanotch_local::Deployment;
use yuccanotch_local::Plan;

pub const USAGE: &str = "\
Starts one entry host as a process before embedded stand-ins, and shows its processor time and
memory for requests of few and of many tokens, idle and at several numbers of callers.

Usage: yuccanotch-load entry [--binary FILE] [--requests N]

Options:
    --binary FILE    the entry host [default: yuccanotch-entry beside this program]
    --requests N     requests of each run [default: 300]
";

const TEAM: &str = "retail";
const MODEL: &str = "assistant";
const CALLERS: [usize; 3] = [8, 32, 96];
const FEW_TOKENS: u32 = 8;
const MANY_TOKENS: u32 = 64;
const TIMEOUT: Duration = Duration::from_secs(30);
const READY: Duration = Duration::from_secs(15);
const IDLE: Duration = Duration::from_secs(5);
/// Processor time is counted in ticks of 10 ms.
const TICK_US: f64 = 10_000.0;

struct Args {
    binary: PathBuf,
    requests: usize,
}

pub fn run(parser: &mut lexopt::Parser) -> CliResult<bool> {
    let beside = std::env::current_exe()?.with_file_name("yuccanotch-entry");
    let mut args = Args { binary: beside, requests: 300 };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("binary") => args.binary = parser.value()?.into(),
            Long("requests") => args.requests = parser.value()?.parse()?,
            Short('h') | Long("help") => {
                print!("{USAGE}");
                return Ok(true);
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    let mut plan = Plan::haddad(7);
    plan.entries_per_domain = 0;
    let deployment = Deployment::start(plan)?;
    let entry = Entry::start(&args.binary, &deployment)?;
    let held = measure(&entry, &deployment, args.requests)?;
    drop(entry);
    deployment.stop();
    Ok(held)
}

fn measure(entry: &Entry, deployment: &Deployment, requests: usize) -> CliResult<bool> {
    let key = &deployment.plan.keys[TEAM];
    entry.wait_until_serving(key)?;
    let before = entry.usage()?;
    thread::sleep(IDLE);
    let idle = entry.usage()?;
    let idle_us = (idle.cpu_us - before.cpu_us) / IDLE.as_secs_f64();
    println!("idle             {idle_us:.0} us/s, {} KB resident", idle.resident_kb);
    println!("callers  requests  tokens  failed  CPU us/request  us/token  peak KB  requests/s");
    let mut held = true;
    for callers in CALLERS {
        let few = Run::carry_out(entry, key, callers, requests, FEW_TOKENS)?;
        let many = Run::carry_out(entry, key, callers, requests, MANY_TOKENS)?;
        let per_token = (many.cpu_us / many.whole() - few.cpu_us / few.whole())
            / (many.tokens_each() - few.tokens_each());
        let per_request = few.cpu_us / few.whole() - per_token * few.tokens_each();
        println!(
            "{callers:7}  {:8}  {:6}  {:6}  {per_request:14.0}  {per_token:8.1}  {:7}  {:10.0}",
            2 * requests,
            few.tokens + many.tokens,
            few.failed + many.failed,
            entry.usage()?.peak_kb,
            2.0 * requests as f64 / (few.seconds + many.seconds),
        );
        held &= few.failed + many.failed == 0;
    }
    Ok(held)
}

/// Result of one run.
struct Run {
    requests: usize,
    failed: usize,
    tokens: usize,
    cpu_us: f64,
    seconds: f64,
}

impl Run {
    fn carry_out(
        entry: &Entry,
        key: &str,
        callers: usize,
        requests: usize,
        max_tokens: u32,
    ) -> CliResult<Self> {
        let before = entry.usage()?;
        let started = Instant::now();
        let results: Vec<Option<usize>> = thread::scope(|scope| {
            let threads: Vec<_> = (0..callers)
                .map(|i| {
                    scope.spawn(move || ask(entry.callers, key, i, callers, requests, max_tokens))
                })
                .collect();
            threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
        });
        let seconds = started.elapsed().as_secs_f64();
        let cpu_us = entry.usage()?.cpu_us - before.cpu_us;
        let tokens = results.iter().flatten().sum();
        let failed = results.iter().filter(|result| result.is_none()).count();
        Ok(Self { requests, failed, tokens, cpu_us, seconds })
    }

    fn whole(&self) -> f64 {
        (self.requests - self.failed).max(1) as f64
    }

    fn tokens_each(&self) -> f64 {
        self.tokens as f64 / self.whole()
    }
}

/// Sends every `callers`th request; returns the tokens of each, or `None` for one that failed.
fn ask(
    host: SocketAddr,
    key: &str,
    first: usize,
    callers: usize,
    requests: usize,
    max_tokens: u32,
) -> Vec<Option<usize>> {
    let caller = Caller::new(key, TIMEOUT);
    let prompts = (first..requests).step_by(callers);
    let answers =
        prompts.map(|i| caller.chat(host, MODEL, &format!("prompt {i}"), max_tokens, None));
    answers.map(|answer| answer.ok().map(|answer| answer.tokens.len())).collect()
}

struct Usage {
    cpu_us: f64,
    resident_kb: u64,
    peak_kb: u64,
}

/// An entry host in a process of its own, killed when the value goes.
struct Entry {
    child: Child,
    callers: SocketAddr,
    settings: PathBuf,
}

impl Entry {
    fn start(binary: &PathBuf, deployment: &Deployment) -> CliResult<Self> {
        let callers = free_address()?;
        let settings = json!({
            "host": "entry-1", "domain": "sahab",
            "callers": callers, "admin": free_address()?, "peer": free_address()?,
            "store": deployment.standin.store_address(),
            "peer_keys": ["000102030405060708090a0b0c0d0e0f"],
        });
        let path = std::env::temp_dir().join(format!("yuccanotch-{}.json", std::process::id()));
        fs::write(&path, settings.to_string()).map_err(|e| LoadError::File(path.clone(), e))?;
        let child = Command::new(binary)
            .args(["--log", "error", "--settings"])
            .arg(&path)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|e| LoadError::File(binary.clone(), e))?;
        Ok(Self { child, callers, settings: path })
    }

    fn wait_until_serving(&self, key: &str) -> CliResult<()> {
        let start = Instant::now();
        let caller = Caller::new(key, TIMEOUT);
        while let Err(e) = caller.chat(self.callers, MODEL, "ready?", 1, None) {
            if start.elapsed() > READY {
                return Err(LoadError::Standin(format!(
                    "the entry host does not become ready: {e}"
                )));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    fn usage(&self) -> CliResult<Usage> {
        let proc = PathBuf::from(format!("/proc/{}", self.child.id()));
        let stat = fs::read_to_string(proc.join("stat"))?;
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
        let ticks =
            |i: usize| fields.get(i).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
        let status = fs::read_to_string(proc.join("status"))?;
        let kb = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            let text = line.unwrap_or_default().trim().trim_end_matches(" kB");
            text.parse().unwrap_or(0)
        };
        // User and system time are fields 14 and 15, counted from the process id.
        let cpu_us = (ticks(12) + ticks(13)) * TICK_US;
        Ok(Usage { cpu_us, resident_kb: kb("VmRSS:"), peak_kb: kb("VmHWM:") })
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

fn free_address() -> CliResult<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}
