//! Extrapolation of the measured costs to the target size.

use yuccanotch_core::engine::HostKind;

use super::cost::HostCost;
use super::synthetic::listed_host;
use super::synthetic::load_report;

/// Bytes of the headers of an HTTP request and its response on a connection of its own, including
/// the segments that open and close the connection.
const HTTP_CALL_HEADER_BYTES: f64 = 850.0;
const TARGET_HOSTS: f64 = 380.0;
const TARGET_SERVERS: f64 = 600.0;
const TARGET_DOMAINS: f64 = 5.0;
/// Number of hosts that observe each backend server, and that read the host list in each domain.
const OBSERVERS: f64 = 2.0;

/// Prints the slopes of each cost and its value at the target size.
pub(super) fn print_at_target(costs: &[HostCost]) {
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
