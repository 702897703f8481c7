//! Tests the counters of the links between entry hosts that the admin port exports.

mod util;

use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use util::wait_until_hosts_know_each_other;
use yuccanotch_core::reason::LinkFault;
use yuccanotch_local::Deployment;
use yuccanotch_local::Plan;

const MAX_POLLS: usize = 500;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn metrics(admin: SocketAddr) -> String {
    let mut response =
        ureq::get(format!("http://{admin}/metrics")).call().expect("the admin port answers");
    response.body_mut().read_to_string().expect("the metrics are text")
}

fn value(metrics: &str, name: &str) -> Option<u64> {
    let line = metrics.lines().find(|line| line.split(' ').next() == Some(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

fn faults(metrics: &str, fault: LinkFault) -> Option<u64> {
    let name = format!("yuccanotch_link_faults_total{{reason=\"{}\"}}", fault.as_str());
    value(metrics, &name)
}

fn wait_until(condition: impl Fn() -> bool) -> bool {
    (0..MAX_POLLS).any(|_| {
        let is_met = condition();
        if !is_met {
            thread::sleep(POLL_INTERVAL);
        }
        is_met
    })
}

#[test]
fn link_bytes_calls_and_refusals_by_reason_are_on_the_admin_port() {
    let deployment = Deployment::start(Plan::haddad(5)).expect("the deployment starts");
    wait_until_hosts_know_each_other(&deployment);
    let running = deployment.running().next().expect("a host");
    let before = metrics(running.admin);
    for fault in LinkFault::ALL {
        assert_eq!(faults(&before, *fault), Some(0), "{fault:?}");
    }
    for name in ["bytes_in", "bytes_out", "calls", "connects", "accepts", "served"] {
        let name = format!("yuccanotch_link_{name}_total");
        let counts = || value(&metrics(running.admin), &name).is_some_and(|value| value > 0);
        assert!(wait_until(counts), "{name}: {}", metrics(running.admin));
    }
    assert_eq!(value(&before, "yuccanotch_link_dropped_sends_total"), Some(0));
    let mut stranger = TcpStream::connect(running.peer).expect("the host listens");
    stranger.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("the host reads");
    let counted = wait_until(|| faults(&metrics(running.admin), LinkFault::Stranger) == Some(1));
    assert!(counted, "{}", metrics(running.admin));
    let bytes = |text: &str| value(text, "yuccanotch_link_bytes_in_total");
    assert!(bytes(&metrics(running.admin)) > bytes(&before));
    deployment.stop();
}
