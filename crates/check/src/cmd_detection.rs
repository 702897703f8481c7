//! `yuccanotch-check detection`.

use lexopt::Arg;
use lexopt::ValueExt;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::fleet::MemberState;

use crate::error::CliError;
use crate::error::CliResult;
use crate::fleet_sim::FleetSim;

const USAGE: &str = "
Measures, in simulated time, how soon a crashed host is known as dead and how
often a living one is taken for dead, under loss and pauses.

Usage: yuccanotch-check detection [options]

Options:
    --seeds N      Runs for each row [default: 40]
    -h, --help     Prints this text.
";

const DEFAULT_SEEDS: u64 = 40;
const HOSTS: usize = 16;
const START: Millis = Millis(12_000);
const QUIET: Millis = Millis(60_000);
const GIVE_UP: Millis = Millis(30_000);
const PAUSE_PERIOD: Millis = Millis(10_000);
const LOSSES: [f64; 4] = [0.0, 0.05, 0.1, 0.2];
const PAUSES: [Millis; 3] = [Millis(0), Millis(1_000), Millis(2_000)];

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the command line is wrong.
pub fn run(mut parser: lexopt::Parser) -> CliResult<()> {
    let mut seeds = DEFAULT_SEEDS;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("seeds") => seeds = parser.value()?.parse()?,
            Arg::Long("help") | Arg::Short('h') => {
                outln!("{}", USAGE.trim());
                return Ok(());
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    outln!("loss  pause ms  false deaths/host-hour  detection ms: median  p95  not in 30 s");
    for loss in LOSSES {
        for pause in PAUSES {
            row(seeds.max(1), loss, pause).map_err(CliError::Failed)?;
        }
    }
    Ok(())
}

fn row(seeds: u64, loss: f64, pause: Millis) -> Result<(), String> {
    let mut false_deaths = 0;
    let mut found = Vec::new();
    let mut missed = 0;
    for seed in 0..seeds {
        let mut sim = FleetSim::new(seed, 1, HOSTS, 0);
        sim.run(START, |_| Ok(()))?;
        sim.loss = loss;
        false_deaths += quiet(&mut sim, pause)?;
        match detect(&mut sim)? {
            Some(span) => found.push(span.0),
            None => missed += 1,
        }
    }
    found.sort_unstable();
    let at = |part: usize| found.get((found.len() * part / 100).min(found.len() - 1));
    let text = |part| at(part).map_or("-".to_owned(), u64::to_string);
    let host_hours = (seeds * HOSTS as u64 * QUIET.0) as f64 / 3_600_000.0;
    let rate = f64::from(false_deaths) / host_hours;
    let (median, p95) = (text(50), text(95));
    outln!("{loss:4.2}  {:8}  {rate:22.3}  {median:20}  {p95:5}  {missed:11}", pause.0);
    Ok(())
}

/// Pauses one host after the other; returns how many were taken for dead, each counted once.
fn quiet(sim: &mut FleetSim, pause: Millis) -> Result<u32, String> {
    let mut deaths = 0;
    let mut was_dead = [false; HOSTS];
    for turn in 0..QUIET.0 / PAUSE_PERIOD.0 {
        sim.pause(turn as usize % HOSTS, pause);
        sim.run(PAUSE_PERIOD, |sim| {
            for (i, was) in was_dead.iter_mut().enumerate() {
                let is = seen_dead(sim, i) > 0;
                deaths += u32::from(is && !*was);
                *was = is;
            }
            Ok(())
        })?;
    }
    Ok(deaths)
}

/// Crashes a host; returns the time until all others know it as dead.
fn detect(sim: &mut FleetSim) -> Result<Option<Millis>, String> {
    let victim = HOSTS - 1;
    let crashed_at = sim.now;
    sim.crash(victim);
    let mut known_at = None;
    sim.run(GIVE_UP, |sim| {
        if known_at.is_none() && seen_dead(sim, victim) == HOSTS - 1 {
            known_at = Some(sim.now.since(crashed_at));
        }
        Ok(())
    })?;
    Ok(known_at)
}

/// Returns the number of hosts that take a host for dead.
fn seen_dead(sim: &FleetSim, victim: usize) -> usize {
    let name = &sim.hosts[victim].name;
    let nodes = sim.hosts.iter().filter_map(|host| host.node.as_ref());
    let sees = |node: &&yuccanotch_core::fleet::FleetNode| {
        let mut members = node.members();
        members.any(|m| m.update.host == *name && m.update.state == MemberState::Dead)
    };
    nodes.filter(sees).count()
}
