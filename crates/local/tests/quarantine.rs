//! Tests that a request which crashes its engine is quarantined and other requests finish.

mod util;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use util::wait_until_hosts_know_each_other;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_local::client::CallError;
use yuccanotch_local::client::Caller;
use yuccanotch_local::Deployment;
use yuccanotch_local::Plan;

const POISON_PROMPT: &str = "[crash:1] quote for 500 kraft bags";
const MAX_CRASHES: u64 = 2;

#[test]
fn a_poison_request_crashes_two_engines_at_most_and_neighbours_finish() {
    let deployment = Deployment::start(Plan::haddad(9)).expect("the deployment starts");
    deployment.wait_until_ready().expect("the deployment is ready");
    wait_until_hosts_know_each_other(&deployment);
    let hosts: Vec<SocketAddr> = deployment.running().map(|running| running.callers).collect();
    let host = |i: usize| hosts[i % hosts.len()];
    thread::scope(|scope| {
        let neighbour = |i: usize| {
            let caller = Caller::new("bakeries-key", Duration::from_secs(30));
            let host = host(i);
            scope.spawn(move || {
                caller.chat(host, "assistant", &format!("quote number {i}"), 40, None)
            })
        };
        let neighbours: Vec<_> = (0..6).map(neighbour).collect();
        let caller = Caller::new("retail-key", Duration::from_secs(30));
        let mut last = None;
        for i in 0..6 {
            last = Some(caller.chat(host(i), "assistant", POISON_PROMPT, 40, None));
        }
        let quarantined = matches!(last, Some(Err(CallError::Refused(problem)))
            if problem.reason == RefusalReason::Quarantined);
        assert!(quarantined, "the last resend is refused as quarantined");
        for call in neighbours {
            call.join().expect("no panic").expect("a neighbour's answer is whole");
        }
    });
    assert!(deployment.standin.record().crashes <= MAX_CRASHES);
    deployment.stop();
}
