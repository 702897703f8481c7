//! Tests that a failure domain which is cut off from other domains, the platform or both keeps
//! serving, and that all hosts agree again after the cut is healed.

mod util;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use serde_json::json;
use util::wait_until_hosts_know_each_other;
use yuccanotch_core::config::manifest::PatchId;
use yuccanotch_core::config::publisher::ConfigChange;
use yuccanotch_core::config::publisher::PublishOutcome;
use yuccanotch_core::config::publisher::Publisher;
use yuccanotch_core::config::store_call::drive;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;
use yuccanotch_core::reason::Outcome;
use yuccanotch_entry::host::RunningHost;
use yuccanotch_entry::peers::Cut;
use yuccanotch_entry::peers::Direction;
use yuccanotch_entry::peers::Remote;
use yuccanotch_entry::store_client::StoreClient;
use yuccanotch_local::client::CallError;
use yuccanotch_local::client::Caller;
use yuccanotch_local::client::ServiceAnswer;
use yuccanotch_local::Deployment;
use yuccanotch_local::Plan;
use yuccanotch_standin::Fault;
use yuccanotch_standin::FaultRequest;

const CUT_DOMAIN: &str = "sahab";
const OTHER_DOMAINS: [&str; 2] = ["marka", "abdali"];
const BOTH_DIRECTIONS: [Direction; 2] = [Direction::Outbound, Direction::Inbound];
const STORE_CUT_MS: u64 = 300_000;
const BODY: &str = r#"{"order": 4711, "bags": 5000}"#;
/// Limit of each wait, far longer than any step takes; a test that reaches it fails.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What the entry hosts of [`CUT_DOMAIN`] are cut off from.
struct Partition {
    /// Other domains with which messages are dropped.
    domains: &'static [&'static str],
    /// Directions in which messages are dropped, as seen from the cut domain.
    directions: &'static [Direction],
    /// Whether the store and the host list are unreachable from the cut domain.
    platform: bool,
}

struct TestEnvironment {
    deployment: Deployment,
    caller: Caller,
}

impl TestEnvironment {
    fn start() -> Self {
        let mut plan = Plan::haddad(5);
        plan.entries_per_domain = 2;
        let deployment = Deployment::start(plan).expect("the deployment starts");
        wait_until_hosts_know_each_other(&deployment);
        let env = Self { deployment, caller: Caller::new("retail-key", Duration::from_secs(20)) };
        env.wait_for_agreement(ConfigNumber(1));
        env
    }

    fn hosts_by_side(&self, is_cut: bool) -> impl Iterator<Item = &RunningHost> {
        let hosts = self.deployment.running();
        hosts.filter(move |r| (r.host.settings.domain.as_str() == CUT_DOMAIN) == is_cut)
    }

    /// Starts or ends the partition.
    fn set_cut(&self, partition: &Partition, active: bool) {
        for running in self.hosts_by_side(true) {
            for domain in partition.domains {
                for direction in partition.directions {
                    let remote = Remote::Domain(DomainName::new(domain));
                    running.host.peers.set_cut(Cut { direction: *direction, remote }, active);
                }
            }
        }
        let fault = match (partition.platform, active) {
            (false, _) => return,
            (true, true) => Fault::StoreCut { target: DomainName::new(CUT_DOMAIN) },
            (true, false) => Fault::Heal,
        };
        let for_ms = STORE_CUT_MS;
        self.deployment
            .standin
            .inject(FaultRequest { fault, for_ms })
            .expect("the stand-in accepts the fault");
    }

    /// Waits until the hosts of the cut domain see the hosts of the partition's domains as cut off,
    /// and no others.
    fn wait_until_cut_off(&self, partition: &Partition) {
        let sees = |running: &RunningHost| {
            let members = running.host.fleet.members();
            let is_far = |domain: &DomainName| partition.domains.contains(&domain.as_str());
            members.hosts.values().all(|member| member.cut_off == is_far(&member.domain))
        };
        wait_until("the cut domain does not see the other domains as cut off", || {
            self.hosts_by_side(true).all(sees)
        });
    }

    /// Waits until all hosts see all hosts as usable and hold configuration `number`.
    fn wait_for_agreement(&self, number: ConfigNumber) {
        let mut names: Vec<HostName> =
            self.deployment.running().map(|running| running.host.settings.host.clone()).collect();
        names.sort();
        let agrees = |running: &RunningHost| {
            let members = running.host.fleet.members();
            members.usable().map(|(name, _)| name).eq(&names)
                && members.hosts.len() == names.len()
                && running.host.configuration.number() == number
        };
        wait_until("the hosts do not agree", || self.deployment.running().all(agrees));
    }

    fn publish_change(&self) -> ConfigNumber {
        let patch = json!({"domains": {"swaileh": {"region": "amman"}}});
        let change = ConfigChange::Patch { base: ConfigNumber(1), patch };
        let store = StoreClient::new(self.deployment.standin.store_address());
        let pause = &mut |pause: yuccanotch_core::clock::Millis| thread::sleep(pause.to_duration());
        let published = drive(Publisher::new(PatchId(2), change), &store, pause);
        assert_eq!(published, PublishOutcome::Accepted(ConfigNumber(2)));
        ConfigNumber(2)
    }

    fn assert_serves(&self, host: SocketAddr) {
        let stock =
            self.caller.call_service(host, "GET", "/ordering/stock?item=kraft-90", None, "");
        assert_eq!(stock.expect("idempotent work is served").status, 200);
        let chat = self.caller.chat(host, "assistant", "Quote 5000 brown bags.", 16, None);
        assert!(!chat.expect("a model request is served").tokens.is_empty());
    }

    fn confirm(&self, host: SocketAddr, key: &str) -> Result<ServiceAnswer, CallError> {
        self.caller.call_service(host, "POST", "/ordering/confirmations", Some(key), BODY)
    }

    /// Sends the same call to a host inside and a host outside the cut domain at the same time.
    fn confirm_on_both_sides(&self, key: &str) {
        let cut = self.hosts_by_side(true).next().expect("a host").callers;
        let other = self.hosts_by_side(false).next().expect("a host").callers;
        thread::scope(|scope| {
            for host in [cut, other] {
                scope.spawn(move || self.assert_answered_or_unknown(host, key));
            }
        });
        assert!(self.runs(key) <= 1, "{key} ran {} times", self.runs(key));
    }

    fn assert_answered_or_unknown(&self, host: SocketAddr, key: &str) {
        match self.confirm(host, key) {
            Ok(answer) => assert_eq!(answer.status, 200),
            Err(CallError::Refused(problem)) => {
                assert_eq!(problem.outcome, Outcome::Unknown, "{problem:?}");
            }
            Err(other) => panic!("{other:?}"),
        }
    }

    /// Asserts that every host eventually gives the same answer and the call ran once, or that all
    /// hosts report the outcome as unknown and it ran at most once.
    fn assert_settles(&self, key: &str) {
        let hosts: Vec<SocketAddr> = self.deployment.running().map(|r| r.callers).collect();
        let mut settled: Vec<Option<ServiceAnswer>> = Vec::new();
        for host in hosts {
            wait_until("the call does not settle", || match self.confirm(host, key) {
                Ok(answer) => {
                    settled.push(Some(answer));
                    true
                }
                Err(CallError::Refused(problem)) if problem.retry_after_ms.is_some() => false,
                Err(CallError::Refused(problem)) => {
                    assert_eq!(problem.outcome, Outcome::Unknown, "{problem:?}");
                    settled.push(None);
                    true
                }
                Err(other) => panic!("{other:?}"),
            });
        }
        assert!(settled.iter().all(|answer| *answer == settled[0]), "{settled:?}");
        match &settled[0] {
            Some(_) => assert_eq!(self.runs(key), 1),
            None => assert!(self.runs(key) <= 1),
        }
    }

    fn runs(&self, key: &str) -> usize {
        let calls = self.deployment.standin.record().calls;
        calls.iter().filter(|call| call.key.as_deref() == Some(key)).count()
    }
}

fn wait_until(failure: &str, mut condition: impl FnMut() -> bool) {
    for _ in 0..CONDITION_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis() {
        if condition() {
            return;
        }
        thread::sleep(POLL_INTERVAL);
    }
    panic!("{failure}");
}

/// Partitions a deployment, checks that both sides serve, changes the configuration, ends the
/// partition, and checks that all hosts agree.
fn check_service_and_agreement(partition: &Partition) {
    let env = TestEnvironment::start();
    env.set_cut(partition, true);
    env.confirm_on_both_sides("order-early");
    env.wait_until_cut_off(partition);
    for running in env.deployment.running() {
        env.assert_serves(running.callers);
    }
    env.confirm_on_both_sides("order-late");
    let number = env.publish_change();
    env.set_cut(partition, false);
    env.wait_for_agreement(number);
    for key in ["order-early", "order-late"] {
        env.assert_settles(key);
    }
    env.deployment.stop();
}

#[test]
fn a_domain_cut_from_one_other_serves_and_agrees_after_healing() {
    let domains = &OTHER_DOMAINS[..1];
    check_service_and_agreement(&Partition {
        domains,
        directions: &BOTH_DIRECTIONS,
        platform: false,
    });
}

#[test]
fn a_domain_cut_from_all_others_serves_and_agrees_after_healing() {
    check_service_and_agreement(&Partition {
        domains: &OTHER_DOMAINS,
        directions: &BOTH_DIRECTIONS,
        platform: false,
    });
}

#[test]
fn a_domain_cut_from_the_platform_serves_and_agrees_after_healing() {
    check_service_and_agreement(&Partition { domains: &[], directions: &[], platform: true });
}

#[test]
fn a_domain_cut_from_all_others_and_the_platform_serves_and_agrees_after_healing() {
    check_service_and_agreement(&Partition {
        domains: &OTHER_DOMAINS,
        directions: &BOTH_DIRECTIONS,
        platform: true,
    });
}

#[test]
fn a_domain_that_sends_but_does_not_receive_serves_and_agrees_after_healing() {
    let directions = &[Direction::Inbound];
    check_service_and_agreement(&Partition {
        domains: &OTHER_DOMAINS,
        directions,
        platform: false,
    });
}
