//! Helpers of tests that run a deployment with several entry hosts.

use std::thread;
use std::time::Duration;

use yuccanotch_local::Deployment;

/// Waits until each entry host knows the peer address of all others.
pub fn wait_until_hosts_know_each_other(deployment: &Deployment) {
    let others = deployment.running().count() - 1;
    let knows_all = || {
        let mut hosts = deployment.running();
        hosts.all(|running| running.host.peers.known_peers().len() == others)
    };
    for _ in 0..500 {
        if knows_all() {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("the entry hosts do not know each other");
}
