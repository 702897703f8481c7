//! `yuccanotch-check slopes`: measures how the cost of membership grows with hosts and servers.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use lexopt::Arg;
use lexopt::ValueExt;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::Holding;
use yuccanotch_core::engine::HostKind;
use yuccanotch_core::engine::HostList;
use yuccanotch_core::engine::LayerRange;
use yuccanotch_core::engine::ListedHost;
use yuccanotch_core::engine::LoadReport;
use yuccanotch_core::engine::Role;
use yuccanotch_core::fleet::DeclaredServer;
use yuccanotch_core::fleet::FleetAction;
use yuccanotch_core::fleet::FleetEvent;
use yuccanotch_core::fleet::FleetNode;
use yuccanotch_core::fleet::FleetReply;
use yuccanotch_core::fleet::HostIdentity;
use yuccanotch_core::fleet::Timing;
use yuccanotch_core::ids::Incarnation;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::peer::PeerHeader;
use yuccanotch_core::peer::PeerReply;
use yuccanotch_core::peer::PeerRequest;
use yuccanotch_entry::peers::PeerHandler;
use yuccanotch_entry::peers::PeerKeys;
use yuccanotch_entry::peers::PeerSettings;
use yuccanotch_entry::peers::Peers;

use crate::error::CliError;
use crate::error::CliResult;

const USAGE: &str = "
Measures what membership and the exchange of load reports cost each entry host,
over TCP links on loopback, and extrapolates the cost to the target size.

Usage: yuccanotch-check slopes [options]

Options:
    --seconds N    Seconds of the measurement of each size [default: 8]
    --warm-up N    Seconds before it, for the first spread of reports [default: 80]
    -h, --help     Prints this text.

All sizes are measured at once, each in a process of its own. The first spread
is complete when every host holds a load report with the holdings of every server.

Backend servers are synthetic: each observation returns a changed load. The
bytes of observations and of the host list are computed from the size of one
report and one entry.
";

const DEFAULT_SECONDS: u64 = 8;
const DEFAULT_WARM_UP: u64 = 80;
/// Interval of the warm-up over which a rate of bytes is computed.
const WARM_UP_WINDOW: Duration = Duration::from_secs(1);
const DOMAINS: usize = 2;
const TICK_PERIOD: Duration = Duration::from_millis(100);
const CALL_TIMEOUT: Millis = Millis(1_000);
/// Measured numbers of hosts and backend servers.
const FLEET_SIZES: [(usize, usize); 7] =
    [(8, 100), (16, 100), (32, 100), (64, 100), (32, 40), (32, 200), (32, 400)];
/// Bytes of the TCP and IP headers of one segment, with the timestamp option.
const SEGMENT_HEADER_BYTES: u64 = 52;
/// Bytes of the headers of an HTTP request and its response on a connection of its own, including
/// the segments that open and close the connection.
const HTTP_CALL_HEADER_BYTES: f64 = 850.0;
const TARGET_HOSTS: f64 = 380.0;
const TARGET_SERVERS: f64 = 600.0;
const TARGET_DOMAINS: f64 = 5.0;
/// Number of hosts that observe each backend server, and that read the host list in each domain.
const OBSERVERS: f64 = 2.0;
/// Link measurements in the load report of each backend server.
const LINKS_PER_SERVER: usize = 20;
/// Clock ticks per second, the unit of the processor times in `/proc/self/stat`.
const CLOCK_TICKS_PER_S: f64 = 100.0;
const PAGE_BYTES: f64 = 4_096.0;

/// Entry host in this process with real peer links and a membership node, but without callers.
struct Node {
    peers: Peers,
    node: Mutex<FleetNode>,
    /// Actions of the node that have not been performed.
    pending: Mutex<Vec<FleetAction>>,
    clock: Clock,
}

impl Node {
    fn handle(&self, event: FleetEvent) -> Option<FleetReply> {
        let actions = self.node.lock().expect("no panic").on_event(self.clock.now(), event);
        let mut answer = None;
        let mut pending = self.pending.lock().expect("no panic");
        for action in actions {
            match action {
                FleetAction::Reply(reply) => answer = Some(reply),
                action => pending.push(action),
            }
        }
        answer
    }
}

impl PeerHandler for Node {
    fn on_request(&self, header: PeerHeader, request: PeerRequest) -> PeerReply {
        let PeerRequest::Fleet(message) = request else {
            return PeerReply::Declined;
        };
        let reply = self.handle(FleetEvent::Request { from: header.host, message });
        PeerReply::Fleet(reply.unwrap_or(FleetReply::Noted))
    }
}

/// Mean cost of one host at one size.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct HostCost {
    hosts: f64,
    servers: f64,
    cpu_percent: f64,
    rss_mb: f64,
    bytes_per_s: f64,
    calls_per_s: f64,
    /// Mean age of the load reports.
    stale_ms: f64,
    /// Measured during the warm-up; all other values after it.
    first: FirstSpread,
}

/// Time and traffic until every host holds a load report of every server.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
struct FirstSpread {
    /// Seconds until then; `None` when the warm-up ended before.
    complete_s: Option<f64>,
    /// Mean bytes per second and host until then, or during the warm-up.
    bytes_per_s: f64,
    /// Highest bytes per second and host in one window.
    peak_bytes_per_s: f64,
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the command line is invalid or a host does not start.
pub fn run(mut parser: lexopt::Parser) -> CliResult<()> {
    let mut seconds = DEFAULT_SECONDS;
    let mut warm_up = DEFAULT_WARM_UP;
    let mut size = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("seconds") => seconds = parser.value()?.parse()?,
            Arg::Long("warm-up") => warm_up = parser.value()?.parse()?,
            // Passed only to the processes that this command starts.
            Arg::Long("size") => {
                size = Some((parser.value()?.parse()?, parser.value()?.parse()?));
            }
            Arg::Long("help") | Arg::Short('h') => {
                println!("{}", USAGE.trim());
                return Ok(());
            }
            _ => return Err(arg.unexpected().into()),
        }
    }
    if let Some((hosts, servers)) = size {
        let spans = (Duration::from_secs(warm_up), Duration::from_secs(seconds));
        let cost = measure(hosts, servers, spans.0, spans.1)?;
        println!("{}", serde_json::to_string(&cost).map_err(failed)?);
        return Ok(());
    }
    let costs = measure_all(warm_up, seconds)?;
    println!("hosts servers  cpu%/host  rss MB/host  bytes/s/host  calls/s/host  mean age ms  first spread s  bytes/s/host  peak");
    for cost in &costs {
        print_row(cost);
    }
    print_at_target(&costs);
    Ok(())
}

fn failed(e: impl std::fmt::Display) -> CliError {
    CliError::Failed(e.to_string())
}

/// Measures all sizes at the same time, each in a process of its own.
fn measure_all(warm_up: u64, seconds: u64) -> CliResult<Vec<HostCost>> {
    let program = std::env::current_exe().map_err(failed)?;
    let mut running = Vec::new();
    for (hosts, servers) in FLEET_SIZES {
        let mut command = Command::new(&program);
        command.arg("slopes").arg("--size").arg(hosts.to_string()).arg(servers.to_string());
        command.arg("--warm-up").arg(warm_up.to_string());
        command.arg("--seconds").arg(seconds.to_string());
        running.push(command.stdout(Stdio::piped()).spawn().map_err(failed)?);
    }
    let mut costs = Vec::new();
    for process in running {
        let output = process.wait_with_output().map_err(failed)?;
        costs.push(serde_json::from_slice(&output.stdout).map_err(failed)?);
    }
    Ok(costs)
}

fn print_row(cost: &HostCost) {
    let complete = cost.first.complete_s.map_or("open".to_owned(), |s| format!("{s:.1}"));
    println!(
        "{:5} {:7}  {:9.3}  {:11.2}  {:12.0}  {:12.1}  {:11.0}  {complete:>14}  {:12.0}  {:.0}",
        cost.hosts,
        cost.servers,
        cost.cpu_percent,
        cost.rss_mb,
        cost.bytes_per_s,
        cost.calls_per_s,
        cost.stale_ms,
        cost.first.bytes_per_s,
        cost.first.peak_bytes_per_s
    );
}

fn print_at_target(costs: &[HostCost]) {
    let extrapolate = |value: fn(&HostCost) -> f64| {
        let (base, per_host, per_server) = fit(costs, value);
        (per_host, per_server, base + per_host * TARGET_HOSTS + per_server * TARGET_SERVERS)
    };
    let print = |what: &str, value: fn(&HostCost) -> f64, budget: &str| {
        let (per_host, per_server, total) = extrapolate(value);
        outln!("{what}: {per_host:+.4} a host, {per_server:+.4} a server; {total:.2} at the target (budget {budget})");
    };
    print("cpu percent of a core", |cost| cost.cpu_percent, "2");
    print("memory MB", |cost| cost.rss_mb, "32");
    print("link bytes/s after the warm-up", |cost| cost.bytes_per_s, "29000");
    let report_bytes =
        serde_json::to_vec(&load_report("server-0", 0, 20)).map_or(0, |json| json.len());
    let observations_per_host = OBSERVERS * TARGET_SERVERS / TARGET_HOSTS;
    let observation_bytes_per_s =
        observations_per_host * (report_bytes as f64 + HTTP_CALL_HEADER_BYTES);
    let entry_bytes = serde_json::to_vec(&listed_host("host-0-000", "domain-0", HostKind::Entry))
        .map_or(0, |json| json.len());
    let list_bytes = entry_bytes as f64 * (TARGET_HOSTS + TARGET_SERVERS) + HTTP_CALL_HEADER_BYTES;
    let host_list_bytes_per_s = OBSERVERS * list_bytes * TARGET_DOMAINS / TARGET_HOSTS;
    outln!("computed: observations {observation_bytes_per_s:.0} bytes/s, host list {host_list_bytes_per_s:.0} bytes/s");
    outln!(
        "computed: host list {:.1} reads/s of the platform by all hosts",
        OBSERVERS * TARGET_DOMAINS
    );
}

/// Fits `base + per_host * hosts + per_server * servers` by least squares; returns the three
/// coefficients.
fn fit(costs: &[HostCost], value: fn(&HostCost) -> f64) -> (f64, f64, f64) {
    let n = costs.len() as f64;
    let mean = |of: &dyn Fn(&HostCost) -> f64| costs.iter().map(of).sum::<f64>() / n;
    let (mean_hosts, mean_servers, mean_value) =
        (mean(&|c| c.hosts), mean(&|c| c.servers), mean(&value));
    let sum_of_products = |a: &dyn Fn(&HostCost) -> f64, b: &dyn Fn(&HostCost) -> f64| {
        costs.iter().map(|c| a(c) * b(c)).sum::<f64>()
    };
    let h = |c: &HostCost| c.hosts - mean_hosts;
    let s = |c: &HostCost| c.servers - mean_servers;
    let v = |c: &HostCost| value(c) - mean_value;
    let (hh, ss, hs) = (sum_of_products(&h, &h), sum_of_products(&s, &s), sum_of_products(&h, &s));
    let (hv, sv) = (sum_of_products(&h, &v), sum_of_products(&s, &v));
    let det = hh * ss - hs * hs;
    let per_host = (hv * ss - sv * hs) / det;
    let per_server = (sv * hh - hv * hs) / det;
    (mean_value - per_host * mean_hosts - per_server * mean_servers, per_host, per_server)
}

fn measure(hosts: usize, servers: usize, warm_up: Duration, span: Duration) -> CliResult<HostCost> {
    let rss_before = process_rss_bytes();
    let declared: Vec<DeclaredServer> =
        (0..servers).map(|i| DeclaredServer { name: server_name(i), domain: domain(i) }).collect();
    let mut nodes = Vec::new();
    for i in 0..hosts {
        nodes.push(start_node(i).map_err(|e| CliError::Failed(e.to_string()))?);
    }
    for node in &nodes {
        for other in &nodes {
            if other.peers.host() != node.peers.host() {
                let index = host_index(other.peers.host());
                node.peers.set_address(other.peers.host(), &domain(index), other.peers.address());
            }
        }
        node.handle(FleetEvent::Declared(declared.clone()));
    }
    let list = host_list(&nodes);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut loads: BTreeMap<ServerName, u32> = BTreeMap::new();
    let first = first_spread(&nodes, servers, warm_up, |window| {
        run_nodes(&nodes, &list, &mut rng, &mut loads, window);
    });
    let before = (process_cpu_ticks(), total_link_bytes(&nodes), total_calls(&nodes));
    run_nodes(&nodes, &list, &mut rng, &mut loads, span);
    let seconds = span.as_secs_f64();
    let host_seconds = hosts as f64 * seconds;
    Ok(HostCost {
        hosts: hosts as f64,
        servers: servers as f64,
        cpu_percent: (process_cpu_ticks() - before.0) / CLOCK_TICKS_PER_S * 100.0 / host_seconds,
        rss_mb: (process_rss_bytes() - rss_before).max(0.0) / hosts as f64 / f64::from(1 << 20),
        bytes_per_s: (total_link_bytes(&nodes) - before.1) as f64 / host_seconds,
        calls_per_s: (total_calls(&nodes) - before.2) as f64 / host_seconds,
        stale_ms: mean_load_age_ms(&nodes),
        first,
    })
}

/// Runs the warm-up in windows and measures the first spread of load reports.
fn first_spread(
    nodes: &[Arc<Node>],
    servers: usize,
    warm_up: Duration,
    mut run_nodes: impl FnMut(Duration),
) -> FirstSpread {
    let mut first = FirstSpread::default();
    let hosts = nodes.len() as f64;
    let start = Instant::now();
    let mut before = total_link_bytes(nodes);
    let initial = before;
    while start.elapsed() < warm_up {
        run_nodes(WARM_UP_WINDOW);
        let after = total_link_bytes(nodes);
        let rate = (after - before) as f64 / hosts / WARM_UP_WINDOW.as_secs_f64();
        first.peak_bytes_per_s = first.peak_bytes_per_s.max(rate);
        before = after;
        if first.complete_s.is_none() {
            let elapsed = start.elapsed().as_secs_f64();
            first.bytes_per_s = (after - initial) as f64 / hosts / elapsed;
            if nodes.iter().all(|node| knows_all_loads(node, servers)) {
                first.complete_s = Some(elapsed);
            }
        }
    }
    first
}

fn knows_all_loads(node: &Node, servers: usize) -> bool {
    let guard = node.node.lock().expect("no panic");
    let known = guard.servers().filter(|(_, record)| record.report.is_some()).count();
    known == servers
}

fn domain(index: usize) -> DomainName {
    DomainName::new(&format!("domain-{}", index % DOMAINS))
}

fn server_name(index: usize) -> ServerName {
    ServerName::new(&format!("server-{index}"))
}

fn host_index(host: &HostName) -> usize {
    host.as_str().rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn start_node(index: usize) -> std::io::Result<Arc<Node>> {
    let host = HostName::new(&format!("host-{index}"));
    let peers = Peers::bind(PeerSettings {
        host: host.clone(),
        domain: domain(index),
        incarnation: Incarnation(1),
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        keys: PeerKeys::new(vec![vec![7; 32]]).expect("the key is long enough"),
    })?;
    let clock = Clock::monotonic();
    let identity = HostIdentity {
        host,
        domain: domain(index),
        address: peers.address(),
        incarnation: Incarnation(1),
    };
    let now = clock.now();
    let node = FleetNode::new(identity, Timing::default(), now, clock.unix_now(), index as u64);
    let node = Arc::new(Node { peers, node: Mutex::new(node), pending: Mutex::default(), clock });
    let handler: Arc<dyn PeerHandler> = node.clone();
    node.peers.serve(Arc::downgrade(&handler))?;
    Ok(node)
}

fn listed_host(name: &str, domain: &str, kind: HostKind) -> ListedHost {
    ListedHost {
        name: name.to_owned(),
        domain: DomainName::new(domain),
        address: "10.0.100.100:7003".to_owned(),
        kind,
        leaving: false,
    }
}

fn host_list(nodes: &[Arc<Node>]) -> HostList {
    let hosts = nodes.iter().map(|node| {
        let name = node.peers.host();
        let entry = listed_host(name.as_str(), domain(host_index(name)).as_str(), HostKind::Entry);
        ListedHost { address: node.peers.address().to_string(), ..entry }
    });
    HostList { hosts: hosts.collect() }
}

fn load_report(name: &str, running: u32, links: usize) -> LoadReport {
    let holding = Holding {
        model: "assistant-70b".into(),
        version: "2026-11-30".into(),
        layers: LayerRange::new(0, 20),
        adapters: SmallVec::new(),
    };
    LoadReport {
        server: ServerName::new(name),
        boot: 1,
        age_ms: Millis::ZERO,
        running,
        waiting: running / 8,
        slots: 64,
        step_us: 1_000 + running * 20,
        kv_percent: (running * 100 / 64) as u8,
        leaving: false,
        holdings: std::iter::once(holding).collect(),
        role: Role::Both,
        fencing: None,
        links_us: (0..links).map(|i| (server_name(i), 200)).collect(),
    }
}

/// Ticks all nodes and performs their actions for `span`.
fn run_nodes(
    nodes: &[Arc<Node>],
    list: &HostList,
    rng: &mut Pcg64Mcg,
    loads: &mut BTreeMap<ServerName, u32>,
    span: Duration,
) {
    let start = Instant::now();
    let mut round = 0;
    while start.elapsed() < span {
        round += 1;
        for node in nodes {
            node.handle(FleetEvent::Tick);
            let actions = std::mem::take(&mut *node.pending.lock().expect("no panic"));
            for action in actions {
                perform_action(node, action, list, rng, loads);
            }
        }
        thread::sleep((TICK_PERIOD * round).saturating_sub(start.elapsed()));
    }
}

fn perform_action(
    node: &Arc<Node>,
    action: FleetAction,
    list: &HostList,
    rng: &mut Pcg64Mcg,
    loads: &mut BTreeMap<ServerName, u32>,
) {
    match action {
        FleetAction::Call { to, message } => {
            let sender = Arc::clone(node);
            let from = to.clone();
            let request = PeerRequest::Fleet(message);
            node.peers.call_with_callback(&to, request, CALL_TIMEOUT, move |result| {
                if let Ok(PeerReply::Fleet(reply)) = result {
                    sender.handle(FleetEvent::Reply { from, reply });
                }
            });
        }
        FleetAction::Observe(server) => {
            let load = loads.entry(server.clone()).or_insert(32);
            *load = load.saturating_add_signed(rng.random_range(-8..=8)).min(64);
            let report = Some(load_report(server.as_str(), *load, LINKS_PER_SERVER));
            node.handle(FleetEvent::Observed { server, report });
        }
        FleetAction::ReadHostList => drop(node.handle(FleetEvent::Listed(list.clone()))),
        FleetAction::Reply(_) => {}
    }
}

fn total_link_bytes(nodes: &[Arc<Node>]) -> u64 {
    let of = |node: &Arc<Node>| {
        let figures = node.peers.stats();
        // The other side acknowledges each written segment with one of its own.
        let segments = 2 * (figures.writes + figures.reads);
        figures.bytes_in + figures.bytes_out + SEGMENT_HEADER_BYTES * segments
    };
    nodes.iter().map(of).sum()
}

fn total_calls(nodes: &[Arc<Node>]) -> u64 {
    nodes.iter().map(|node| node.peers.stats().calls).sum()
}

/// Returns the mean age in ms of the load reports over all hosts.
fn mean_load_age_ms(nodes: &[Arc<Node>]) -> f64 {
    let mut sum = 0;
    let mut count = 0;
    for node in nodes {
        let now = node.clock.now();
        let guard = node.node.lock().expect("no panic");
        for (_, record) in guard.servers().filter(|(_, record)| record.report.is_some()) {
            sum += now.since(record.observed_at).0;
            count += 1;
        }
    }
    sum as f64 / f64::from(count.max(1))
}

/// Returns a field of a `/proc` file; `skip` counts the fields from the first, or after the last `)`
/// if there is one.
fn read_proc_field(file: &str, skip: usize) -> f64 {
    let text = fs::read_to_string(file).unwrap_or_default();
    let rest = text.rsplit(')').next().unwrap_or_default().to_owned();
    rest.split_whitespace().nth(skip).and_then(|text| text.parse().ok()).unwrap_or_default()
}

fn process_cpu_ticks() -> f64 {
    read_proc_field("/proc/self/stat", 11) + read_proc_field("/proc/self/stat", 12)
}

fn process_rss_bytes() -> f64 {
    read_proc_field("/proc/self/statm", 1) * PAGE_BYTES
}
