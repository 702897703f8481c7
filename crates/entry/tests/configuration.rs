//! Tests of how running entry hosts adopt configurations from the store and from each other.

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
/// Longest wait for a condition; far longer than any step takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A stand-in of the platform and the entry hosts that use it.
struct TestDeployment {
    standin: Standin,
    hosts: Vec<RunningHost>,
}

impl TestDeployment {
    fn start(count: usize) -> Self {
        let standin = Standin::start(StandinSettings::default()).unwrap();
        let mut deployment = Self { standin, hosts: Vec::new() };
        write_first_config(&deployment.store(), &first_declaration()).unwrap();
        for i in 0..count {
            deployment.add_host(&format!("entry-{i}"));
        }
        deployment
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
            add_peer(&new, old);
            add_peer(old, &new);
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
        let all = |deployment: &Self| deployment.numbers().iter().all(|held| *held == number);
        assert!(
            eventually(|| all(self)),
            "hosts have configurations {:?}, expected {number}",
            self.numbers()
        );
    }
}

/// Tells one host the address of another.
fn add_peer(to: &RunningHost, other: &RunningHost) {
    let settings = &other.host.settings;
    to.host.peers.set_address(&settings.host, &settings.domain, other.peer);
}

/// Returns whether a condition becomes true within [`WAIT_TIMEOUT`].
fn eventually(holds: impl Fn() -> bool) -> bool {
    let polls = WAIT_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
    (0..polls).any(|_| {
        let held = holds();
        if !held {
            thread::sleep(POLL_INTERVAL);
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
fn a_patch_is_adopted_by_all_hosts_and_a_stale_one_by_none() {
    let deployment = TestDeployment::start(5);
    deployment.wait_for(1);
    assert_eq!(
        deployment.patch(2, 1, add_domain("marka")),
        PublishOutcome::Accepted(ConfigNumber(2))
    );
    deployment.wait_for(2);
    let stale = PublishOutcome::Stale { current: ConfigNumber(2) };
    assert_eq!(deployment.patch(3, 1, add_domain("abdali")), stale);
    for running in &deployment.hosts {
        let active = running.host.configuration.current().unwrap();
        assert_eq!(active.declaration.domains.len(), 2);
    }
}

#[test]
fn a_host_that_starts_in_a_store_outage_learns_the_configuration_from_peers() {
    let mut deployment = TestDeployment::start(3);
    deployment.wait_for(1);
    deployment.inject(Fault::StoreOutage, 60_000);
    deployment.add_host("entry-late");
    deployment.wait_for(1);
}

#[test]
fn a_store_restored_from_an_old_copy_reverts_no_host_and_accepts_no_patch() {
    let mut deployment = TestDeployment::start(3);
    deployment.wait_for(1);
    deployment.inject(Fault::StoreCopy, 0);
    deployment.patch(2, 1, add_domain("marka"));
    deployment.wait_for(2);
    deployment.inject(Fault::StoreRestore, 0);
    deployment.inject(Fault::StoreDropsWatches, 0);
    let behind = PublishOutcome::Behind { store: ConfigNumber(1), hosts: ConfigNumber(2) };
    // An empty patch changes nothing, but its outcome shows that the hosts have a higher number than
    // the store.
    assert!(eventually(|| deployment.patch(3, 1, json!({})) == behind));
    deployment.add_host("entry-late");
    deployment.wait_for(2);

    let held = deployment.hosts[0].host.configuration.current().unwrap().document().unwrap();
    let recovery = ConfigChange::Recovery { highest: ConfigNumber(2), document: held };
    let published = drive(Publisher::new(PatchId(4), recovery), &deployment.store(), &mut |_| ());
    assert_eq!(published, PublishOutcome::Accepted(ConfigNumber(1_000_000)));
    deployment.wait_for(1_000_000);
    assert_eq!(
        deployment.patch(5, 1_000_000, add_domain("abdali")),
        PublishOutcome::Accepted(ConfigNumber(1_000_001))
    );
    deployment.wait_for(1_000_001);
}
