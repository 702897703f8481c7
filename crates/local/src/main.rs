//! `yuccanotch-local`: runs a small deployment in one process.

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use lexopt::prelude::*;
use yuccanotch_local::platform;
use yuccanotch_local::samples;
use yuccanotch_local::samples::Sample;
use yuccanotch_local::Deployment;
use yuccanotch_local::LocalError;
use yuccanotch_local::Plan;

const USAGE: &str = "\
Runs a small deployment in one process on loopback: store, host list, model engines, plain
services and entry hosts.

Usage: yuccanotch-local [--once] [--seed N]
       yuccanotch-local --platform [--once]

Options:
    --platform    use the interface of the users' platform, with a stand-in of the platform
    --once        send the sample requests, check the promises to callers, and exit
    --seed N      seed of all random numbers [default: 7]
    -h, --help    show this text

Exit codes: 0 all promises held, 1 a promise was broken or a part did not start, 2 usage.
";

#[derive(Debug)]
struct Args {
    platform: bool,
    once: bool,
    seed: u64,
}

fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(Some(args)) => args,
        Ok(None) => return ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("yuccanotch-local: {e}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    match run(&args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("yuccanotch-local: {e}");
            ExitCode::FAILURE
        }
    }
}

fn parse_args() -> Result<Option<Args>, lexopt::Error> {
    let mut args = Args { platform: false, once: false, seed: 7 };
    let mut parser = lexopt::Parser::from_env();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("platform") => args.platform = true,
            Long("once") => args.once = true,
            Long("seed") => args.seed = parser.value()?.parse()?,
            Short('h') | Long("help") => {
                print!("{USAGE}");
                return Ok(None);
            }
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(args))
}

fn run(args: &Args) -> Result<bool, LocalError> {
    if args.platform {
        return Ok(if args.once { platform::run_samples()? } else { platform::serve()? });
    }
    if !args.once {
        return serve(args.seed);
    }
    let haddad = run_samples("haddad", Plan::haddad(args.seed), &samples::HADDAD_SAMPLES)?;
    let association =
        run_samples("association", Plan::association(args.seed), &samples::ASSOCIATION_SAMPLES)?;
    Ok(haddad && association)
}

fn run_samples(name: &str, plan: Plan, samples: &[Sample]) -> Result<bool, LocalError> {
    let deployment = Deployment::start(plan)?;
    println!("# {name}: {} entry hosts", deployment.running().count());
    let mut all_held = true;
    for sample in samples {
        let report = samples::run_sample(&deployment, sample);
        println!("\n## {}", report.title);
        report.lines.iter().for_each(|line| println!("{line}"));
        report.violations.iter().for_each(|line| println!("BROKEN: {line}"));
        all_held &= report.violations.is_empty();
    }
    println!("\n## counters");
    for running in deployment.running() {
        print_counters(running.host.settings.host.as_str(), &running.host.telemetry.render());
    }
    println!("\n{name}: {}\n", if all_held { "all promises held" } else { "a promise was broken" });
    deployment.stop();
    Ok(all_held)
}

fn print_counters(host: &str, text: &str) {
    let mut lines: Vec<&str> = text
        .lines()
        .filter(|line| !line.starts_with('#') && !line.is_empty() && !line.ends_with(" 0"))
        .collect();
    lines.sort_unstable();
    lines.iter().for_each(|line| println!("{host} {line}"));
}

fn serve(seed: u64) -> Result<bool, LocalError> {
    let deployment = Deployment::start(Plan::haddad(seed))?;
    println!("store    http://{}", deployment.standin.store_address());
    for running in deployment.running() {
        let name = &running.host.settings.host;
        println!("{name}  callers http://{}  admin http://{}", running.callers, running.admin);
    }
    if let Some(running) = deployment.running().next() {
        println!(
            "\ntry:\ncurl -N http://{}/v1/chat/completions -H 'Authorization: Bearer retail-key' \\\n  \
             -d '{{\"model\": \"assistant\", \"stream\": true, \"messages\": \
             [{{\"role\": \"user\", \"content\": \"Quote 5000 kraft bags\"}}]}}'",
            running.callers
        );
    }
    let hosts: Vec<String> =
        deployment.running().map(|running| running.admin.to_string()).collect();
    println!(
        "\nyuccanotch-ctl status --store {} --hosts {} --key FILE\n  with {:?} in FILE",
        deployment.standin.store_address(),
        hosts.join(","),
        yuccanotch_local::deployment::ADMIN_KEY
    );
    loop {
        thread::sleep(Duration::from_secs(3600));
    }
}
