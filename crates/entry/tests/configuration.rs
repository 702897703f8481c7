//! Adoption and spread of configurations over running entry hosts.

use std::thread;
use std::time::Duration;

use serde_json::json;
use serde_json::Value;
use yuccanotch_core::config::manifest::PatchId;
use yuccanotch_core::config::publisher::ConfigChange;
use yuccanotch_core::config::publisher::PublishOutcome;
use yuccanotch_core::config::publisher::Publisher;
use yuccanotch_core::config::store_call::drive;
use yuccanotch_core::config::write_first_config;
use yuccanotch_core::config::Declaration;
use yuccanotch_core::config::Domain;
use yuccanotch_core::engine::HostKind;
use yuccanotch_core::engine::ListedHost;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::RegionName;
use yuccanotch_entry::host::RunningHost;
use yuccanotch_entry::store_client::StoreClient;
use yuccanotch_entry::Settings;
use yuccanotch_standin::Fault;
use yuccanotch_standin::FaultRequest;
use yuccanotch_standin::Standin;
use yuccanotch_standin::StandinSettings;

const DOMAIN: &str = "sahab";
const LOOPBACK: &str = "127.0.0.1:0";
/// Far longer than any step takes; a test that waits for it has failed.
const PATIENCE: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);

struct Bench {
    standin: Standin,
    hosts: Vec<RunningHost>,
}

impl Bench {
    fn start(count: usize) -> Self {
        let standin = Standin::start(StandinSettings::default()).unwrap();
        let mut bench = Self { standin, hosts: Vec::new() };
        write_first_config(&bench.store(), &first_declaration()).unwrap();
        for i in 0..count {
            bench.add_host(&format!("entry-{i}"));
        }
        bench
    }

    fn store(&self) -> StoreClient {
        StoreClient::new(self.standin.store_address())
    }

    fn add_host(&mut self, name: &str) {
        let settings = json!({
            "host": name,
            "domain": DOMAIN,
            "callers": LOOPBACK,
            "admin": LOOPBACK,
            "peer": LOOPBACK,
            "store": self.standin.store_address().to_string(),
            "peer_keys": ["00112233445566778899aabbccddeeff"],
        });
        let settings = Settings::parse(settings.to_string().as_bytes()).unwrap();
        let new = RunningHost::start(settings).unwrap();
        self.standin.add_host(ListedHost {
            name: name.to_owned(),
            domain: DomainName::new(DOMAIN),
            address: new.peer.to_string(),
            kind: HostKind::Entry,
            leaving: false,
        });
        for old in &self.hosts {
            introduce(&new, old);
            introduce(old, &new);
        }
        self.hosts.push(new);
    }

    fn patch(&self, id: u64, base: u64, patch: Value) -> PublishOutcome {
        let change = ConfigChange::Patch { base: ConfigNumber(base), patch };
        let publisher = Publisher::new(PatchId(id), change);
        drive(publisher, &self.store(), &mut |pause| thread::sleep(pause.to_duration()))
    }

    fn inject(&self, fault: Fault, for_ms: u64) {
        self.standin.inject(FaultRequest { fault, for_ms }).unwrap();
    }

    fn numbers(&self) -> Vec<u64> {
        self.hosts.iter().map(|running| running.host.configuration.number().0).collect()
    }

    fn wait_for(&self, number: u64) {
        let all = |bench: &Self| bench.numbers().iter().all(|held| *held == number);
        assert!(eventually(|| all(self)), "at {:?}, expected {number}", self.numbers());
    }
}

fn introduce(to: &RunningHost, other: &RunningHost) {
    let settings = &other.host.settings;
    to.host.peers.set_address(&settings.host, &settings.domain, other.peer);
}

fn eventually(holds: impl Fn() -> bool) -> bool {
    let polls = PATIENCE.as_millis() / POLL.as_millis();
    (0..polls).any(|_| {
        let held = holds();
        if !held {
            thread::sleep(POLL);
        }
        held
    })
}

fn first_declaration() -> Declaration {
    let mut declaration = Declaration::default();
    let domain = Domain { region: RegionName::new("amman") };
    declaration.domains.insert(DomainName::new(DOMAIN), domain);
    declaration
}

fn add_domain(name: &str) -> Value {
    json!({"domains": {name: {"region": "amman"}}})
}

#[test]
fn a_patch_is_in_force_on_all_hosts_and_a_stale_one_on_none() {
    let bench = Bench::start(5);
    bench.wait_for(1);
    assert_eq!(bench.patch(2, 1, add_domain("marka")), PublishOutcome::Accepted(ConfigNumber(2)));
    bench.wait_for(2);
    let stale = PublishOutcome::Stale { current: ConfigNumber(2) };
    assert_eq!(bench.patch(3, 1, add_domain("abdali")), stale);
    for running in &bench.hosts {
        let active = running.host.configuration.current().unwrap();
        assert_eq!(active.declaration.domains.len(), 2);
    }
}

#[test]
fn a_host_that_starts_in_a_store_outage_learns_the_configuration_from_peers() {
    let mut bench = Bench::start(3);
    bench.wait_for(1);
    bench.inject(Fault::StoreOutage, 60_000);
    bench.add_host("entry-late");
    bench.wait_for(1);
}

#[test]
fn a_store_restored_from_an_old_copy_reverts_no_host_and_takes_no_patch() {
    let mut bench = Bench::start(3);
    bench.wait_for(1);
    bench.inject(Fault::StoreCopy, 0);
    bench.patch(2, 1, add_domain("marka"));
    bench.wait_for(2);
    bench.inject(Fault::StoreRestore, 0);
    bench.inject(Fault::StoreDropsWatches, 0);
    let behind = PublishOutcome::Behind { store: ConfigNumber(1), hosts: ConfigNumber(2) };
    // Any base and any patch without effect shows the mark without changing anything.
    assert!(eventually(|| bench.patch(3, 1, json!({})) == behind));
    bench.add_host("entry-late");
    bench.wait_for(2);

    let held = bench.hosts[0].host.configuration.current().unwrap().document().unwrap();
    let recovery = ConfigChange::Recovery { highest: ConfigNumber(2), document: held };
    let published = drive(Publisher::new(PatchId(4), recovery), &bench.store(), &mut |_| ());
    assert_eq!(published, PublishOutcome::Accepted(ConfigNumber(1_000_000)));
    bench.wait_for(1_000_000);
    assert_eq!(
        bench.patch(5, 1_000_000, add_domain("abdali")),
        PublishOutcome::Accepted(ConfigNumber(1_000_001))
    );
    bench.wait_for(1_000_001);
}
