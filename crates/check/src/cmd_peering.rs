//! `yuccanotch-check peering`: measures the exchange between hosts at several sizes.

use lexopt::Arg;
use lexopt::ValueExt;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::peering::sim::Sim;
use yuccanotch_core::peering::sim::SimHost;

use crate::error::CliResult;

const USAGE: &str = "
Measures, in simulated time, what the exchange between hosts costs at several
sizes, and how soon hosts hear of each other after a start and after a loss.

Usage: yuccanotch-check peering [options]

Options:
    --hosts LIST   Numbers of hosts, separated by commas
                   [default: 30,100,195,376]
    --domains N    Number of failure domains [default: 5]
    -h, --help     Prints this text.

Columns: messages and bytes per second that a member and an aggregator send and
receive, bytes per second between failure domains over all hosts, the bytes that
a host would send if all hosts sent to all others (computed), and the times until
all hosts count each other after a start, after the loss of both aggregators of a
domain, and after the return of a third of the hosts.
";

const DEFAULT_HOSTS: [usize; 4] = [30, 100, 195, 376];
const DEFAULT_DOMAINS: usize = 5;
/// The number of servers at which a host has requests in progress, besides the common one.
const SERVERS_IN_USE: u32 = 30;
/// The time between checks whether all hosts agree.
const CHECK_INTERVAL: Millis = Millis(100);
/// The time after which hosts that do not agree are given up.
const TIMEOUT: Millis = Millis(30_000);
/// The time over which messages are counted.
const MEASURED_TIME: Millis = Millis(5_000);
/// The datagrams per second between two hosts of one domain, and of two domains, if all hosts sent
/// to all others in as many rounds as they once did.
const ALL_TO_ALL_PER_S: (f64, f64) = (5.0, 2.5);

#[derive(Debug)]
struct Args {
    hosts: Vec<usize>,
    domains: usize,
}

impl Args {
    fn parse(mut parser: lexopt::Parser) -> CliResult<Option<Self>> {
        let mut args = Self { hosts: DEFAULT_HOSTS.to_vec(), domains: DEFAULT_DOMAINS };
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("hosts") => {
                    args.hosts = parser.value()?.parse_with(|text| {
                        text.split(',').map(str::parse).collect::<Result<Vec<usize>, _>>()
                    })?;
                }
                Arg::Long("domains") => args.domains = parser.value()?.parse()?,
                Arg::Long("help") | Arg::Short('h') => return Ok(None),
                _ => return Err(arg.unexpected().into()),
            }
        }
        args.domains = args.domains.clamp(1, usize::from(u8::MAX));
        Ok(Some(args))
    }
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the command line is invalid.
pub fn run(parser: lexopt::Parser) -> CliResult<()> {
    let Some(args) = Args::parse(parser)? else {
        outln!("{}", USAGE.trim());
        return Ok(());
    };
    outln!("hosts  member out/in msg/s  B/s  aggregator out/in msg/s  B/s  between domains B/s  all to all B/s  start ms  loss ms  return ms");
    for hosts in args.hosts {
        print_row(args.domains, (hosts / args.domains).max(1));
    }
    Ok(())
}

/// What a host sends and receives in a second.
#[derive(Clone, Copy, Debug, Default)]
struct Rates {
    messages_out: f64,
    messages_in: f64,
    bytes_out: f64,
    bytes_in: f64,
}

fn print_row(domains: usize, hosts_per_domain: usize) {
    let mut sim = Sim::new(domains, hosts_per_domain);
    sim.extra_servers = SERVERS_IN_USE;
    let start = time_until_agreed(&mut sim);
    let before = sim.bytes_between_domains();
    let rates = measure(&mut sim);
    let seconds = MEASURED_TIME.0 as f64 / 1e3;
    let between = (sim.bytes_between_domains() - before) as f64 / seconds;
    let (member, aggregator) = rates;
    let loss = time_after_loss_of_aggregators(&mut sim);
    let back = time_after_return_of_a_third(&mut sim);
    let all_to_all = all_to_all_bytes(domains, hosts_per_domain, member);
    outln!(
        "{:5}  {:8.1}/{:5.1}  {:6.0}/{:6.0}  {:8.1}/{:5.1}  {:6.0}/{:6.0}  {between:12.0}  {all_to_all:12.0}  {}  {}  {}",
        domains * hosts_per_domain,
        member.messages_out,
        member.messages_in,
        member.bytes_out,
        member.bytes_in,
        aggregator.messages_out,
        aggregator.messages_in,
        aggregator.bytes_out,
        aggregator.bytes_in,
        shown(start),
        shown(loss),
        shown(back),
    );
}

fn shown(time: Option<Millis>) -> String {
    time.map_or_else(|| "never".to_owned(), |t| t.0.to_string())
}

/// Returns the bytes per second that a host would send if it sent a report to all others.
fn all_to_all_bytes(domains: usize, hosts_per_domain: usize, member: Rates) -> f64 {
    let (near, far) = ALL_TO_ALL_PER_S;
    let report = member.bytes_out / member.messages_out.max(1.0);
    let near_hosts = (hosts_per_domain - 1) as f64;
    let far_hosts = ((domains - 1) * hosts_per_domain) as f64;
    report * (near * near_hosts + far * far_hosts)
}

/// Lets time pass until all running hosts count each other; returns how long that took.
fn time_until_agreed(sim: &mut Sim) -> Option<Millis> {
    let began = sim.now;
    while sim.now.since(began) < TIMEOUT {
        sim.run(CHECK_INTERVAL);
        let running = sim.hosts.iter().filter(|h| h.node.is_some()).count();
        let agrees = |h: &SimHost| h.node.as_ref().is_none_or(|n| n.host_count(sim.now) == running);
        if sim.hosts.iter().all(agrees) {
            return Some(sim.now.since(began));
        }
    }
    None
}

fn is_aggregator(sim: &Sim, index: usize) -> bool {
    sim.hosts[index].node.as_ref().is_some_and(|n| n.is_aggregator())
}

/// Returns the mean rates of a member and of an aggregator.
fn measure(sim: &mut Sim) -> (Rates, Rates) {
    let before: Vec<_> = sim.hosts.iter().map(|h| (h.sent, h.received)).collect();
    sim.run(MEASURED_TIME);
    let seconds = MEASURED_TIME.0 as f64 / 1e3;
    let mean = |wants_aggregator: bool| {
        let chosen: Vec<usize> =
            (0..sim.hosts.len()).filter(|&i| is_aggregator(sim, i) == wants_aggregator).collect();
        let per = |total: u64| total as f64 / seconds / chosen.len().max(1) as f64;
        let sum = |f: &dyn Fn(usize) -> u64| per(chosen.iter().map(|&i| f(i)).sum());
        Rates {
            messages_out: sum(&|i| sim.hosts[i].sent.messages - before[i].0.messages),
            messages_in: sum(&|i| sim.hosts[i].received.messages - before[i].1.messages),
            bytes_out: sum(&|i| sim.hosts[i].sent.bytes - before[i].0.bytes),
            bytes_in: sum(&|i| sim.hosts[i].received.bytes - before[i].1.bytes),
        }
    };
    (mean(false), mean(true))
}

fn time_after_loss_of_aggregators(sim: &mut Sim) -> Option<Millis> {
    let domain = sim.domain_of(0).clone();
    let lost: Vec<usize> = (0..sim.hosts.len())
        .filter(|&i| *sim.domain_of(i) == domain && is_aggregator(sim, i))
        .collect();
    lost.iter().for_each(|&i| sim.crash(i));
    let time = time_until_agreed(sim);
    lost.iter().for_each(|&i| sim.start(i));
    time_until_agreed(sim)?;
    time
}

fn time_after_return_of_a_third(sim: &mut Sim) -> Option<Millis> {
    let third: Vec<usize> = (0..sim.hosts.len()).step_by(3).collect();
    third.iter().for_each(|&i| sim.crash(i));
    time_until_agreed(sim)?;
    third.iter().for_each(|&i| sim.start(i));
    time_until_agreed(sim)
}
