//! What a server that stays silent is found to do, and moves away from lost parts of a chain.

use std::rc::Rc;
use std::time::Duration;

use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::placement::chain::Chain;

use crate::edge::Order;
use crate::edge::OrderReply;
use crate::exchange::notes::describe;
use crate::exchange::Exchange;
use crate::exchange::Silence;
use crate::traffic::Target;

/// The silence before the first event after which a model server is asked whether it works.
pub(super) const FIRST_SILENCE: Duration = Duration::from_millis(250);
/// The silence within a stream after which a model server is asked whether it works; with the time
/// that a change of the chain takes, the pause stays below what streams are allowed.
pub(super) const SILENCE: Duration = Duration::from_millis(120);
/// The silence after which a server that said that it works is asked again.
pub(super) const SILENCE_AGAIN: Duration = Duration::from_millis(240);
/// The age of a report that still tells what a silent server waits for.
const STALL_AGE: Millis = Millis(80);
/// The age of a report that still tells whether a server is slow.
const PACE_AGE: Millis = Millis(1_500);
/// The shortest and longest silence of a plain server after which a safe request goes to another
/// one, in ms.
const PLAIN_SILENCE_MS: (u64, u64) = (100, 400);

impl Exchange {
    /// Returns the silence after which a safe request leaves a plain server: half as long again as
    /// the route's target, since a sound server answers almost always within that.
    pub(super) fn plain_silence(&self) -> Duration {
        let (least, most) = PLAIN_SILENCE_MS;
        Duration::from_millis((self.route.target_latency.0 * 3 / 2).clamp(least, most))
    }

    /// Asks a silent model server what it waits for; a plain one counts as lost.
    pub(super) async fn look_at(&mut self, silence: Duration) -> Silence {
        let chain = match self.current.as_ref().map(|c| c.target.clone()) {
            Some(Target::Chain(chain)) => chain,
            Some(Target::Server { server, .. }) => {
                self.gateway.traffic.suspect(&server, "silent");
                return Silence::Lost;
            }
            None => return Silence::Lost,
        };
        let gateway = self.gateway.clone();
        let first = chain.first();
        let Some(report) = gateway.recent_report(first.address, STALL_AGE).await else {
            gateway.traffic.suspect(&first.server, "no report");
            return Silence::Lost;
        };
        gateway.traffic.slowness(first.address, report.slowness);
        let stalled = report.stalled.iter().find(|(id, _)| **id == *self.id());
        let Some((_, address)) = stalled else {
            if silence == SILENCE_AGAIN {
                self.look_for_slow(&chain);
            }
            return Silence::Working;
        };
        gateway.traffic.suspect_address(*address, "stalled");
        self.change_chain(&chain).await
    }

    /// Moves the request to servers other than the lost ones; those that stay keep their memory.
    async fn change_chain(&mut self, chain: &Chain) -> Silence {
        let gateway = self.gateway.clone();
        let Some(new) = gateway.traffic.rechoose(&self.service, self.tokens(), chain) else {
            return Silence::Lost;
        };
        let first = new.first().clone();
        let order = Order::Repath { id: self.id(), chain: &new };
        let reply = gateway.order(&first.server, first.address, &order).await;
        let outcome = format!("{reply:?}");
        let new = Rc::new(new);
        let target = Target::Chain(new.clone());
        self.chain = describe(&target);
        gateway.journal.line(
            Event::RequestMoved,
            &[("id", &self.id()), ("chain", &self.chain), ("reply", &outcome)],
        );
        let taken = matches!(reply, Some(OrderReply::Begun | OrderReply::Done));
        gateway.counters.moved(taken);
        if !taken {
            return Silence::Lost;
        }
        gateway.traffic.on_moved(&self.service, chain, &new, self.tokens());
        self.set_current(target);
        Silence::Moved
    }

    /// Asks the servers of a chain whose events come late how fast they are, in the background.
    fn look_for_slow(&self, chain: &Chain) {
        for part in chain.stages() {
            let gateway = self.gateway.clone();
            let part = part.clone();
            tokio::task::spawn_local(async move {
                gateway.look_at_pace(&part.server, part.address, PACE_AGE).await;
            });
        }
    }
}
