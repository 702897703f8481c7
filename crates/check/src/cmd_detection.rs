//! `yuccanotch-check detection`: measures failure detection of membership.

use lexopt::Arg;
use lexopt::ValueExt;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::fleet::MemberState;

use crate::error::CliError;
use crate::error::CliResult;
use crate::fleet_sim::FleetSim;

const USAGE: &str = "
Measures, in simulated time, how soon all hosts consider a crashed host dead and
how often a running host is considered dead, under message loss and pauses.

Usage: yuccanotch-check detection [options]

Options:
    --seeds N      Number of runs for each row [default: 40]
    -h, --help     Prints this text.
";

const DEFAULT_SEEDS: u64 = 40;
const HOSTS: usize = 16;
/// Time before the faults, in which the hosts learn of each other.
const STARTUP_TIME: Millis = Millis(12_000);
/// Time in which false deaths are counted.
const FALSE_DEATH_TIME: Millis = Millis(60_000);
/// Time after which a crash counts as not detected.
const DETECTION_TIMEOUT: Millis = Millis(30_000);
/// Time from the start of one pause to that of the next.
const PAUSE_PERIOD: Millis = Millis(10_000);
const LOSS_RATES: [f64; 4] = [0.0, 0.05, 0.1, 0.2];
const PAUSES: [Millis; 3] = [Millis(0), Millis(1_000), Millis(2_000)];

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the command line is invalid or a simulation fails.
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
    for loss in LOSS_RATES {
        for pause in PAUSES {
            print_row(seeds.max(1), loss, pause).map_err(CliError::Failed)?;
        }
    }
    Ok(())
}

fn print_row(seeds: u64, loss: f64, pause: Millis) -> Result<(), String> {
    let mut false_deaths = 0;
    let mut detection_times_ms = Vec::new();
    let mut undetected = 0;
    for seed in 0..seeds {
        let mut sim = FleetSim::new(seed, 1, HOSTS, 0);
        sim.run(STARTUP_TIME, |_| Ok(()))?;
        sim.loss_rate = loss;
        false_deaths += count_false_deaths(&mut sim, pause)?;
        match measure_detection(&mut sim)? {
            Some(span) => detection_times_ms.push(span.0),
            None => undetected += 1,
        }
    }
    detection_times_ms.sort_unstable();
    let percentile = |percent: usize| {
        detection_times_ms
            .get((detection_times_ms.len() * percent / 100).min(detection_times_ms.len() - 1))
    };
    let percentile_text = |percent| percentile(percent).map_or("-".to_owned(), u64::to_string);
    let host_hours = (seeds * HOSTS as u64 * FALSE_DEATH_TIME.0) as f64 / 3_600_000.0;
    let rate = f64::from(false_deaths) / host_hours;
    let (median, p95) = (percentile_text(50), percentile_text(95));
    outln!("{loss:4.2}  {:8}  {rate:22.3}  {median:20}  {p95:5}  {undetected:11}", pause.0);
    Ok(())
}

/// Pauses one host after the other; returns how often a host came to be considered dead by any
/// other.
fn count_false_deaths(sim: &mut FleetSim, pause: Millis) -> Result<u32, String> {
    let mut deaths = 0;
    let mut was_dead = [false; HOSTS];
    for turn in 0..FALSE_DEATH_TIME.0 / PAUSE_PERIOD.0 {
        sim.pause(turn as usize % HOSTS, pause);
        sim.run(PAUSE_PERIOD, |sim| {
            for (i, was_seen_dead) in was_dead.iter_mut().enumerate() {
                let is_seen_dead = count_dead_views(sim, i) > 0;
                deaths += u32::from(is_seen_dead && !*was_seen_dead);
                *was_seen_dead = is_seen_dead;
            }
            Ok(())
        })?;
    }
    Ok(deaths)
}

/// Crashes a host; returns the time until all others consider it dead, or `None` after
/// [`DETECTION_TIMEOUT`].
fn measure_detection(sim: &mut FleetSim) -> Result<Option<Millis>, String> {
    let victim = HOSTS - 1;
    let crashed_at = sim.now;
    sim.crash(victim);
    let mut known_at = None;
    sim.run(DETECTION_TIMEOUT, |sim| {
        if known_at.is_none() && count_dead_views(sim, victim) == HOSTS - 1 {
            known_at = Some(sim.now.since(crashed_at));
        }
        Ok(())
    })?;
    Ok(known_at)
}

/// Returns the number of running hosts that consider a host dead.
fn count_dead_views(sim: &FleetSim, victim: usize) -> usize {
    let name = &sim.hosts[victim].name;
    let nodes = sim.hosts.iter().filter_map(|host| host.node.as_ref());
    let sees_dead = |node: &&yuccanotch_core::fleet::FleetNode| {
        let mut members = node.members();
        members.any(|m| m.update.host == *name && m.update.state == MemberState::Dead)
    };
    nodes.filter(sees_dead).count()
}
