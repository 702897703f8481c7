//! `yuccanotch-load entry`: measures processor time and memory of one entry host process.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use lexopt::prelude::*;
use serde_json::json;
use yuccanotch_load::usage::ProcessUsage;
use yuccanotch_load::CliResult;
use yuccanotch_load::LoadError;
use yuccanotch_local::client::Caller;
use yuccanotch_local::Deployment;
use yuccanotch_local::Plan;
use yuccanotch_platform_standin::background;
use yuccanotch_platform_standin::background::BackgroundOptions;
use yuccanotch_platform_standin::background::BackgroundStandin;
use yuccanotch_platform_standin::process::HostProcess;

pub const USAGE: &str = "\
Starts one entry host as a separate process with embedded stand-ins as its backend servers, and
prints its processor time and memory: idle, and with several numbers of concurrent callers whose
requests ask for few and for many tokens.

Usage: yuccanotch-load entry [--platform] [--binary FILE] [--requests N]

Options:
    --platform       measure a host of the users' platform, with a stand-in of the platform
    --binary FILE    binary of the host [default: yuccanotch-entry, or yuccanotch-platform, beside this program]
    --requests N     number of requests in each run [default: 300]
";

const TEAM: &str = "retail";
const MODEL: &str = "assistant";
const CALLER_COUNTS: [usize; 3] = [8, 32, 96];
const FEW_TOKENS: u32 = 8;
const MANY_TOKENS: u32 = 64;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time from the start of the host to its first answer.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time over which the processor use of the idle host is measured.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Time between two events of an answer on the users' platform; each event has several tokens.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);

struct Args {
    platform: bool,
    binary: Option<PathBuf>,
    requests: usize,
}

pub fn run(parser: &mut lexopt::Parser) -> CliResult<bool> {
    let mut args = Args { platform: false, binary: None, requests: 300 };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("platform") => args.platform = true,
            Long("binary") => args.binary = Some(parser.value()?.into()),
            Long("requests") => args.requests = parser.value()?.parse()?,
            Short('h') | Long("help") => {
                print!("{USAGE}");
                return Ok(true);
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    let name = if args.platform { "yuccanotch-platform" } else { "yuccanotch-entry" };
    let default_binary = std::env::current_exe()?.with_file_name(name);
    let binary = args.binary.unwrap_or(default_binary);
    if args.platform {
        let standin = BackgroundStandin::start(BackgroundOptions {
            files: 1,
            hosts: 0,
            event_pause: EVENT_INTERVAL,
        })?;
        let hosts = standin.start_hosts(&binary)?;
        return hosts
            .into_iter()
            .map(MeasuredHost::Platform)
            .try_fold(true, |all_answered, host| {
                Ok(measure_host(&host, args.requests)? && all_answered)
            });
    }
    let mut plan = Plan::haddad(7);
    plan.entries_per_domain = 0;
    let deployment = Deployment::start(plan)?;
    let entry = EntryProcess::start(&binary, &deployment)?;
    let all_answered = measure_host(&MeasuredHost::Entry(entry), args.requests)?;
    deployment.stop();
    Ok(all_answered)
}

fn measure_host(host: &MeasuredHost, requests: usize) -> CliResult<bool> {
    host.wait_until_serving()?;
    let before = host.usage()?;
    thread::sleep(IDLE_TIME);
    let idle = host.usage()?;
    let idle_us = (idle.cpu_us - before.cpu_us) / IDLE_TIME.as_secs_f64();
    println!("idle             {idle_us:.0} us/s, {} KB resident", idle.resident_kb);
    println!("callers  requests  tokens  failed  CPU us/request  us/token  peak KB  requests/s");
    let mut all_answered = true;
    for callers in CALLER_COUNTS {
        let few = LoadRun::measure(host, callers, requests, FEW_TOKENS)?;
        let many = LoadRun::measure(host, callers, requests, MANY_TOKENS)?;
        let per_token = (many.cpu_us / many.answered() - few.cpu_us / few.answered())
            / (many.tokens_per_answer() - few.tokens_per_answer());
        let per_request = few.cpu_us / few.answered() - per_token * few.tokens_per_answer();
        println!(
            "{callers:7}  {:8}  {:6}  {:6}  {per_request:14.0}  {per_token:8.1}  {:7}  {:10.0}",
            2 * requests,
            few.tokens + many.tokens,
            few.failed + many.failed,
            host.usage()?.peak_kb,
            2.0 * requests as f64 / (few.seconds + many.seconds),
        );
        all_answered &= few.failed + many.failed == 0;
    }
    Ok(all_answered)
}

/// Result of one run: a fixed number of requests from a number of concurrent callers.
struct LoadRun {
    requests: usize,
    failed: usize,
    tokens: usize,
    cpu_us: f64,
    seconds: f64,
}

impl LoadRun {
    fn measure(
        host: &MeasuredHost,
        callers: usize,
        requests: usize,
        max_tokens: u32,
    ) -> CliResult<Self> {
        let before = host.usage()?;
        let started = Instant::now();
        let results = host.send_all(callers, requests, max_tokens)?;
        let seconds = started.elapsed().as_secs_f64();
        let cpu_us = host.usage()?.cpu_us - before.cpu_us;
        let tokens = results.iter().flatten().sum();
        let failed = results.iter().filter(|result| result.is_none()).count();
        Ok(Self { requests, failed, tokens, cpu_us, seconds })
    }

    fn answered(&self) -> f64 {
        (self.requests - self.failed).max(1) as f64
    }

    fn tokens_per_answer(&self) -> f64 {
        self.tokens as f64 / self.answered()
    }
}

/// The host that is measured.
enum MeasuredHost {
    /// An entry host with the product's own interface.
    Entry(EntryProcess),
    /// A host with the interface of the users' platform.
    Platform(HostProcess),
}

impl MeasuredHost {
    fn usage(&self) -> CliResult<ProcessUsage> {
        match self {
            Self::Entry(entry) => ProcessUsage::read(entry.child.id()),
            Self::Platform(process) => ProcessUsage::read(process.id()),
        }
    }

    fn wait_until_serving(&self) -> CliResult<()> {
        let start = Instant::now();
        while self.send_all(1, 1, 1)?.contains(&None) {
            if start.elapsed() > READY_TIMEOUT {
                return Err(LoadError::Standin(
                    "the host under test is not ready in time".to_owned(),
                ));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Sends `requests` requests from `callers` concurrent callers. Returns the number of tokens of
    /// each answer, or `None` for a request that failed.
    fn send_all(
        &self,
        callers: usize,
        requests: usize,
        max_tokens: u32,
    ) -> CliResult<Vec<Option<usize>>> {
        match self {
            Self::Entry(entry) => Ok(entry.send_all(callers, requests, max_tokens)),
            Self::Platform(process) => {
                Ok(background::run_callers(process.callers, callers, requests, max_tokens)?)
            }
        }
    }
}

/// An entry host in a separate process, which is killed when this value is dropped.
struct EntryProcess {
    child: Child,
    callers: SocketAddr,
    key: String,
    settings_path: PathBuf,
}

impl EntryProcess {
    fn start(binary: &Path, deployment: &Deployment) -> CliResult<Self> {
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
            .map_err(|e| LoadError::File(binary.to_owned(), e))?;
        let key = deployment.plan.team_keys[TEAM].clone();
        Ok(Self { child, callers, key, settings_path: path })
    }

    fn send_all(&self, callers: usize, requests: usize, max_tokens: u32) -> Vec<Option<usize>> {
        thread::scope(|scope| {
            let threads: Vec<_> = (0..callers)
                .map(|i| scope.spawn(move || self.send_every_nth(i, callers, requests, max_tokens)))
                .collect();
            threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
        })
    }

    /// Sends every `callers`th request, beginning with number `first`.
    fn send_every_nth(
        &self,
        first: usize,
        callers: usize,
        requests: usize,
        max_tokens: u32,
    ) -> Vec<Option<usize>> {
        let caller = Caller::new(&self.key, ANSWER_TIMEOUT);
        let prompts = (first..requests).step_by(callers);
        let answers = prompts
            .map(|i| caller.chat(self.callers, MODEL, &format!("prompt {i}"), max_tokens, None));
        answers.map(|answer| answer.ok().map(|answer| answer.tokens.len())).collect()
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings_path);
    }
}

fn free_address() -> CliResult<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}
