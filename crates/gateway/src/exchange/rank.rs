//! The rank of a request among those of its service, and its refusal while capacity is kept for more
//! urgent ranks.

use http::StatusCode;
use yuccanotch_core::admit::reservation::Admission;
use yuccanotch_core::admit::reservation::Rank;
use yuccanotch_core::admit::reservation::RefusedCaller;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::reason::EndReason;

use crate::exchange::Exchange;
use crate::routing::Ranked;

/// The longest time for which a request that is sent again gives way to more urgent ones. A waiting
/// request checks for room ten times meanwhile.
const MAX_YIELD: Millis = Millis(200);

impl Exchange {
    /// Returns the priority of the request; that of the team overrides that of the route.
    pub(super) fn priority(&self) -> u8 {
        self.team.as_ref().and_then(|t| t.priority).unwrap_or(self.route.priority)
    }

    /// Returns the rank of the request; `None` if the requests of its service have no ranks.
    pub(super) fn rank(&self) -> Option<Rank> {
        self.gateway.routing.rank(&self.service, self.priority())
    }

    fn ranked(&self) -> Option<Ranked<'_>> {
        self.rank().map(|rank| Ranked { service: &self.service, rank })
    }

    /// Refuses the request if its rank is not admitted; returns whether it did. A request that another
    /// host has passed on was admitted there, and one that resumes a stream has begun.
    pub(super) fn refuse_by_rank(&mut self) -> bool {
        let has_begun = self.outcome.has_begun() || self.caller.resume_after.is_some();
        if self.is_relayed || has_begun {
            return false;
        }
        let Some(ranked) = self.ranked() else {
            return false;
        };
        let rank = ranked.rank;
        let routing = &self.gateway.routing;
        let retry_after = match routing.decide_admission(ranked, self.refused_caller()) {
            Admission::Refuse { retry_after } => retry_after,
            admission => {
                self.is_on_trial = admission == Admission::Try;
                return false;
            }
        };
        self.log_rank_refused(rank, retry_after);
        self.gateway.counters.rank_refused(rank);
        self.end_reason = EndReason::RankRefused;
        self.retry_after = Some(retry_after);
        let next = self.outcome.final_step();
        self.finish_unanswered(next, None, StatusCode::BAD_GATEWAY);
        true
    }

    /// Returns when the caller of a request without capacity may try again; `None` if the service has
    /// no ranks. The host that passed a request on answers its caller itself.
    pub(super) fn delay_by_utilization(&self) -> Option<Millis> {
        let ranked = self.ranked().filter(|_| !self.is_relayed)?;
        self.gateway.routing.retry_after(ranked, self.refused_caller())
    }

    /// Returns until when the request gives way to more urgent ones; `None` if it does not. One on trial
    /// does so until its wait is over, one that has been sent before for a short time.
    pub(super) fn gives_way_until(&self) -> Option<Millis> {
        if self.outcome.has_begun() || self.rank().is_none() {
            return None;
        }
        let now = self.gateway.clock.now();
        if self.is_on_trial {
            return Some(self.deadline);
        }
        (!self.tried.is_empty()).then(|| now + MAX_YIELD)
    }

    /// Returns whether the request, which gives way to more urgent ones, may be sent all the same.
    pub(super) fn may_send_now(&self) -> bool {
        self.ranked().is_none_or(|ranked| self.gateway.routing.may_send_ranked(ranked))
    }

    /// Records that the request, which gives way to more urgent ones, is sent.
    pub(super) fn on_trial_sent(&self) {
        if let Some(ranked) = self.ranked() {
            self.gateway.routing.on_trial_sent(ranked);
        }
    }

    fn refused_caller(&self) -> RefusedCaller {
        RefusedCaller {
            time_left: self.deadline.since(self.gateway.clock.now()),
            hosts: self.gateway.routing.hosts(),
            random: rand::random(),
        }
    }

    fn log_rank_refused(&self, rank: Rank, retry_after: Millis) {
        let (level, utilization) = self.gateway.routing.level(&self.service.name);
        self.gateway.event_log.line(
            Event::RankRefused,
            &[
                ("id", &self.id()),
                ("service", &self.service.name),
                ("rank", &rank),
                ("level", &level),
                ("utilization", &utilization),
                ("retry_ms", &retry_after.0),
            ],
        );
    }
}
