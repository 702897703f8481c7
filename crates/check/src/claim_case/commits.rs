//! Commits of claim operations: from the claiming process to the writer of the slot.

use yuccanotch_core::claim::home_order;
use yuccanotch_core::claim::BoundKey;
use yuccanotch_core::claim::ClaimMessage;
use yuccanotch_core::claim::Input;
use yuccanotch_core::claim::Op;
use yuccanotch_core::claim::OpReply;
use yuccanotch_core::claim::Replies;
use yuccanotch_core::claim::SlotId;

use super::event::Event;
use super::network::RPC_TIMEOUT;
use super::process::CallId;
use super::process::ProcessId;
use super::process::Waiter;
use super::simulation::Simulation;

impl Simulation<'_> {
    /// Commits an operation of a call where the record of its key is kept.
    pub(super) fn commit(&mut self, process: ProcessId, call: CallId, op: Op) {
        match self.bound_by_key.get(&op.key).cloned() {
            Some(bound) => self.commit_bound(process, call, &bound, op),
            None => self.commit_slot(process, call, op),
        }
    }

    fn commit_bound(&mut self, process: ProcessId, call: CallId, bound: &BoundKey, op: Op) {
        let incarnation = bound.arbiter.incarnation;
        if bound.arbiter.host == self.processes[process].holder.host {
            let now = self.now;
            let reply = self.processes[process].bound_table.commit(incarnation, &op, now);
            self.schedule_input(process, call, 0, Input::CommitReply(reply));
            return;
        }
        let message = ClaimMessage::CommitBound { incarnation, op };
        self.send_peer(process, call, &bound.arbiter.host, message, Input::NoCommitReply);
    }

    fn commit_slot(&mut self, process: ProcessId, call: CallId, op: Op) {
        let slot = op.key.slot(self.plan.slots);
        let host = &self.processes[process];
        let order = home_order(slot, &host.members);
        let home = order[host.calls[&call].commits % order.len()].clone();
        let seen = host.seen_sequences.get(&slot).copied().unwrap_or(0);
        if home == host.holder.host {
            let wait = host.calls[&call].wait;
            self.submit(process, Waiter::Local(call, wait), slot, seen, op);
            self.schedule_input(process, call, RPC_TIMEOUT.0, Input::NoCommitReply);
            return;
        }
        let message = ClaimMessage::Commit { slot, seen, op };
        self.send_peer(process, call, &home, message, Input::NoCommitReply);
    }

    /// Submits an operation to the slot writer of a process.
    pub(super) fn submit(
        &mut self,
        process: ProcessId,
        waiter: Waiter,
        slot: SlotId,
        seen: u64,
        op: Op,
    ) {
        let now = self.now;
        match self.processes[process].writers.submit(now, slot, seen, op) {
            Ok(ticket) => {
                self.processes[process].waiters.insert(ticket, waiter);
                self.poll_writers(process);
            }
            Err(_) => self.reply_to_waiter(process, waiter, OpReply::Unavailable),
        }
    }

    fn reply_to_waiter(&mut self, process: ProcessId, waiter: Waiter, reply: OpReply) {
        match waiter {
            Waiter::Local(call, wait) => {
                let input = Input::CommitReply(reply);
                self.schedule_after(0, Event::Input { process, call, wait, input });
            }
            Waiter::Peer(to, call, wait) => {
                self.send_peer_reply(process, to, call, wait, Input::CommitReply(reply));
            }
        }
    }

    /// Passes the replies of a slot writer to the calls that wait for them.
    pub(super) fn deliver_replies(&mut self, process: ProcessId, replies: Replies) {
        for (ticket, reply) in replies {
            if let Some(waiter) = self.processes[process].waiters.remove(&ticket) {
                self.reply_to_waiter(process, waiter, reply);
            }
        }
    }
}
