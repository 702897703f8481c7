//! Checks servers that stay silent and moves requests away from lost servers of a chain.

use std::rc::Rc;
use std::time::Duration;

use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::silence;
use yuccanotch_core::placement::chain::Chain;
use yuccanotch_core::reachability::LinkFailure;

use crate::adapter::Order;
use crate::adapter::OrderReply;
use crate::exchange::request_log::describe_target;
use crate::exchange::Exchange;
use crate::exchange::ServerProgress;
use crate::quarantine;
use crate::routing::Target;

/// The silence before the first event after which the host requests the model server's report.
pub(super) const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(250);
/// The silence after which a server that was found working is checked again.
pub(super) const RECHECK_TIMEOUT: Duration = Duration::from_millis(240);
/// The largest age of a report that may tell which server a silent one waits for.
const MAX_STALL_REPORT_AGE: Millis = Millis(80);
/// The largest age of a report that may tell whether a server is slow.
const MAX_SLOWNESS_REPORT_AGE: Millis = Millis(1_500);
/// The shortest and longest silence of a plain server after which a request that is safe to repeat
/// is sent to another one, in ms.
const PLAIN_SERVER_TIMEOUT_MS: (u64, u64) = (100, 400);

impl Exchange {
    /// Returns the silence within the stream after which its servers are checked.
    pub(super) fn event_timeout(&self) -> Duration {
        silence::event_timeout(self.longest_gap, self.route.target_event_gap).to_duration()
    }

    /// Returns the silence of a plain server after which a request that is safe to repeat is sent
    /// to another one: half as long again as the route's target latency, since a working server
    /// almost always answers within that.
    pub(super) fn plain_server_timeout(&self) -> Duration {
        let (least, most) = PLAIN_SERVER_TIMEOUT_MS;
        Duration::from_millis((self.route.target_latency.0 * 3 / 2).clamp(least, most))
    }

    /// Finds out which server of a silent chain has crashed, or else requests the report of the first
    /// one, which names the server that it waits for, and moves the request to a chain without that
    /// one. The check comes first, since the report is `report_lag_ms` old. A silent plain server counts
    /// as lost if another one can take the request.
    pub(super) async fn check_silent_server(&mut self, timeout: Duration) -> ServerProgress {
        // The next event ends the suspicions that the silence gives rise to.
        if let Some(current) = &mut self.current {
            current.seen_working = false;
        }
        let chain = match self.current.as_ref().map(|c| c.target.clone()) {
            Some(Target::Chain(chain)) => chain,
            Some(Target::Server { server, .. }) => {
                self.gateway.links.on_failure(&server, LinkFailure::Silence);
                self.gateway.routing.suspect(&server, "silent");
                return self.lost_unless_alone();
            }
            None => return self.check_silent_host(),
        };
        let gateway = self.gateway.clone();
        let first = chain.first();
        if timeout != RECHECK_TIMEOUT
            && quarantine::check_later_servers(&gateway, &chain, self.silent_since()).await
        {
            if gateway.crashes.find_quarantined(&self.fingerprints).is_some() {
                return ServerProgress::Lost;
            }
            return self.move_to_other_chain(&chain).await;
        }
        let Some(report) = gateway.recent_report(first.address, MAX_STALL_REPORT_AGE).await else {
            gateway.links.on_failure(&first.server, LinkFailure::Silence);
            gateway.routing.suspect(&first.server, "no report");
            return self.lost_unless_alone();
        };
        gateway.links.on_heard(&first.server, false);
        gateway.routing.record_slowness(first.address, report.slowness);
        let stalled = report.stalled.iter().find(|(id, _)| **id == *self.id());
        let Some((_, address)) = stalled else {
            if timeout == RECHECK_TIMEOUT {
                self.check_chain_slowness(&chain);
            }
            return ServerProgress::Working;
        };
        gateway.routing.suspect_address(*address, "stalled");
        quarantine::check_later_server(&gateway, *address, self.silent_since()).await;
        if gateway.crashes.find_quarantined(&self.fingerprints).is_some() {
            return ServerProgress::Lost;
        }
        self.move_to_other_chain(&chain).await
    }

    /// Moves the request to a chain without the lost servers. Servers that stay in the chain keep
    /// the request's cached state.
    async fn move_to_other_chain(&mut self, chain: &Chain) -> ServerProgress {
        let gateway = self.gateway.clone();
        let Some(new) =
            gateway.routing.choose_other_chain(&self.service, self.expected_tokens(), chain)
        else {
            return self.lost_unless_alone();
        };
        gateway.routing.on_moving(&self.service, chain, &new, self.expected_tokens());
        let first = new.first().clone();
        let order = Order::Repath { id: self.id(), chain: &new };
        let reply = gateway.send_order(&first.server, first.address, &order).await;
        let outcome = format!("{reply:?}");
        let new = Rc::new(new);
        let target = Target::Chain(new.clone());
        self.target_text = describe_target(&target);
        gateway.event_log.line(
            Event::RequestMoved,
            &[("id", &self.id()), ("chain", &self.target_text), ("reply", &outcome)],
        );
        let taken = matches!(reply, Some(OrderReply::Begun | OrderReply::Done));
        gateway.counters.chain_changed(taken);
        if !taken {
            return self.lost_unless_alone();
        }
        gateway.crashes.on_move(self.run, quarantine::crash_ids(&gateway, &target));
        self.move_current(new);
        ServerProgress::Moved
    }

    /// Returns since when the present attempt has brought nothing.
    pub(super) fn silent_since(&self) -> Millis {
        self.sent_at.max(self.last_event_at)
    }

    /// Returns the state of a silent target: lost if the request can be sent elsewhere at once. If
    /// not, the request stays, since the target may go on and ending the attempt would end the
    /// answer.
    pub(super) fn lost_unless_alone(&self) -> ServerProgress {
        if self.may_go_elsewhere() {
            ServerProgress::Lost
        } else {
            ServerProgress::Working
        }
    }

    /// Requests, in the background, reports of the servers of a chain whose events are late, to
    /// find slow ones.
    fn check_chain_slowness(&self, chain: &Chain) {
        for stage in chain.stages() {
            let gateway = self.gateway.clone();
            let stage = stage.clone();
            tokio::task::spawn_local(async move {
                gateway.check_slowness(&stage.server, stage.address, MAX_SLOWNESS_REPORT_AGE).await;
            });
        }
    }
}
