//! This host's shares of the teams' request rates; runs [`yuccanotch_core::share`].

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;

use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::name::HostName;
use yuccanotch_core::name::TeamName;
use yuccanotch_core::peer::PeerHeader;
use yuccanotch_core::peer::PeerReply;
use yuccanotch_core::peer::PeerRequest;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_core::share::Cluster;
use yuccanotch_core::share::MilliRate;
use yuccanotch_core::share::ShareMessage;
use yuccanotch_core::share::ShareNode;
use yuccanotch_core::share::ShareReply;
use yuccanotch_core::share::TeamId;

use crate::fleet::Members;
use crate::host::Host;
use crate::problem::Refusal;

/// Time between two rounds of reports.
const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for the reply to a report.
const REPORT_TIMEOUT: Millis = Millis(1_000);

/// The shares that one host has of the teams' limits of requests per second.
pub struct Shares {
    clock: Clock,
    node: Arc<Mutex<ShareNode>>,
}

impl fmt::Debug for Shares {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shares").finish_non_exhaustive()
    }
}

fn lock(node: &Mutex<ShareNode>) -> MutexGuard<'_, ShareNode> {
    node.lock().expect("no thread panics while it holds the lock")
}

impl Shares {
    /// Creates the shares of a host that has received no request yet.
    pub fn new(host: HostName, clock: Clock) -> Self {
        let node = Arc::new(Mutex::new(ShareNode::new(host, clock.now())));
        Self { clock, node }
    }

    /// Counts a request of a team against this host's share of the team's limit; a team without a
    /// limit is always admitted.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the share is used up.
    pub fn admit(&self, team: &TeamName, limit_per_s: Option<u32>) -> Result<(), Refusal> {
        let Some(limit) = limit_per_s else {
            return Ok(());
        };
        let id = TeamId::of(team.as_str());
        let now = self.clock.now();
        let mut node = lock(&self.node);
        if node.try_admit(now, id, MilliRate::per_s(limit)) {
            return Ok(());
        }
        let text = "the team is at its limit of requests per second";
        let refusal = Refusal::not_run(RefusalReason::TeamLimit, text);
        Err(refusal.retry_after(node.retry_after(now, id)))
    }

    /// Handles a report of another entry host and returns its share.
    pub fn on_peer(&self, header: &PeerHeader, message: &ShareMessage) -> ShareReply {
        lock(&self.node).on_request(self.clock.now(), &header.host, message)
    }
}

/// Reports the demand of the teams to other hosts and receives shares, until the host stops.
pub fn run(host: &Arc<Host>) {
    while !host.is_stopped() {
        let shares = &host.shares;
        let now = shares.clock.now();
        let mut node = lock(&shares.node);
        node.set_cluster(cluster_of(&host.fleet.members()));
        let reports = node.on_tick(now);
        drop(node);
        for (home, message) in reports {
            send_report(host, &home, message);
        }
        thread::sleep(TICK_INTERVAL);
    }
}

fn cluster_of(members: &Members) -> Cluster {
    let exists = |member: &&crate::fleet::MemberView| member.alive || member.cut_off;
    Cluster {
        reachable: members.usable().map(|(name, _)| name.clone()).collect(),
        known_count: members.hosts.values().filter(exists).filter(|member| !member.leaving).count(),
    }
}

fn send_report(host: &Host, home: &HostName, message: ShareMessage) {
    let node = Arc::clone(&host.shares.node);
    let clock = host.clock.clone();
    host.peers.call_with_callback(
        home,
        PeerRequest::Share(message),
        REPORT_TIMEOUT,
        move |result| {
            if let Ok(PeerReply::Share(reply)) = result {
                lock(&node).on_reply(clock.now(), &reply);
            }
        },
    );
}
