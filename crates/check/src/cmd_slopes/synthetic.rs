//! Names, host list and load reports of the synthetic deployment.

use std::sync::Arc;

use smallvec::SmallVec;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::Holding;
use yuccanotch_core::engine::HostKind;
use yuccanotch_core::engine::HostList;
use yuccanotch_core::engine::LayerRange;
use yuccanotch_core::engine::ListedHost;
use yuccanotch_core::engine::LoadReport;
use yuccanotch_core::engine::Role;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;
use yuccanotch_core::name::ServerName;

use super::node::Node;

const DOMAINS: usize = 2;

/// Returns the failure domain of the host or server with an index.
pub(super) fn domain(index: usize) -> DomainName {
    DomainName::new(&format!("domain-{}", index % DOMAINS))
}

/// Returns the name of the server with an index.
pub(super) fn server_name(index: usize) -> ServerName {
    ServerName::new(&format!("server-{index}"))
}

/// Returns the index in the name of a host.
pub(super) fn host_index(host: &HostName) -> usize {
    host.as_str().rsplit('-').next().and_then(|text| text.parse().ok()).unwrap_or_default()
}

/// Returns an entry of the host list.
pub(super) fn listed_host(name: &str, domain: &str, kind: HostKind) -> ListedHost {
    ListedHost {
        name: name.to_owned(),
        domain: DomainName::new(domain),
        address: "10.0.100.100:7003".to_owned(),
        kind,
        leaving: false,
    }
}

/// Returns the host list of all hosts.
pub(super) fn host_list(nodes: &[Arc<Node>]) -> HostList {
    let hosts = nodes.iter().map(|node| {
        let name = node.peers.host();
        let entry = listed_host(name.as_str(), domain(host_index(name)).as_str(), HostKind::Entry);
        ListedHost { address: node.peers.address().to_string(), ..entry }
    });
    HostList { hosts: hosts.collect() }
}

/// Returns a load report with the given number of running requests and link measurements.
pub(super) fn load_report(name: &str, running: u32, links: usize) -> LoadReport {
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
