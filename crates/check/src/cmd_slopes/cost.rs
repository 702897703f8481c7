//! Measurement of the cost of one host at one size of the deployment.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use serde::Serialize;
use yuccanotch_core::fleet::DeclaredServer;
use yuccanotch_core::fleet::FleetEvent;
use yuccanotch_core::name::ServerName;

use super::failed;
use super::node::knows_all_loads;
use super::node::mean_load_age_ms;
use super::node::run_nodes;
use super::node::start_node;
use super::node::total_calls;
use super::node::total_link_bytes;
use super::node::Node;
use super::synthetic::domain;
use super::synthetic::host_index;
use super::synthetic::host_list;
use super::synthetic::server_name;
use super::usage::process_cpu_ticks;
use super::usage::process_rss_bytes;
use super::usage::CLOCK_TICKS_PER_S;
use crate::error::CliResult;

/// Interval of the warm-up over which a rate of bytes is computed.
const WARM_UP_WINDOW: Duration = Duration::from_secs(1);

/// Mean cost of one host at one size.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct HostCost {
    pub(super) hosts: f64,
    pub(super) servers: f64,
    pub(super) cpu_percent: f64,
    pub(super) rss_mb: f64,
    pub(super) bytes_per_s: f64,
    pub(super) calls_per_s: f64,
    /// Mean age of the load reports.
    pub(super) stale_ms: f64,
    /// Measured during the warm-up; all other values after it.
    pub(super) first: FirstSpread,
}

/// Time and traffic until every host holds a load report of every server.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub(super) struct FirstSpread {
    /// Seconds until then; `None` when the warm-up ended before.
    pub(super) complete_s: Option<f64>,
    /// Mean bytes per second and host until then, or during the warm-up.
    pub(super) bytes_per_s: f64,
    /// Highest bytes per second and host in one window.
    pub(super) peak_bytes_per_s: f64,
}

/// Measures the cost of one of `hosts` hosts over `span`, after a warm-up.
pub(super) fn measure(
    hosts: usize,
    servers: usize,
    warm_up: Duration,
    span: Duration,
) -> CliResult<HostCost> {
    let rss_before = process_rss_bytes();
    let nodes = start_nodes(hosts)?;
    declare_servers(&nodes, servers);
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

/// Starts hosts that know each other's addresses.
fn start_nodes(hosts: usize) -> CliResult<Vec<Arc<Node>>> {
    let nodes: Vec<Arc<Node>> =
        (0..hosts).map(start_node).collect::<std::io::Result<_>>().map_err(failed)?;
    for node in &nodes {
        for other in nodes.iter().filter(|other| other.peers.host() != node.peers.host()) {
            let index = host_index(other.peers.host());
            node.peers.set_address(other.peers.host(), &domain(index), other.peers.address());
        }
    }
    Ok(nodes)
}

fn declare_servers(nodes: &[Arc<Node>], servers: usize) {
    let declared: Vec<DeclaredServer> =
        (0..servers).map(|i| DeclaredServer { name: server_name(i), domain: domain(i) }).collect();
    for node in nodes {
        node.handle(FleetEvent::Declared(declared.clone()));
    }
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
