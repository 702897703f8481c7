//! Messages between processes over a faulty network.

use rand::Rng;
use yuccanotch_core::claim::ClaimMessage;
use yuccanotch_core::claim::HolderStatus;
use yuccanotch_core::claim::Input;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::name::HostName;

use super::event::Event;
use super::process::CallId;
use super::process::ProcessId;
use super::process::WaitId;
use super::process::Waiter;
use super::simulation::Simulation;

/// Time that a process waits for a reply from a peer or from its own slot writer.
pub(super) const RPC_TIMEOUT: Millis = Millis(150);

impl Simulation<'_> {
    /// Sends a message to a host; `timeout_input` reaches the call if no reply does.
    pub(super) fn send_peer(
        &mut self,
        process: ProcessId,
        call: CallId,
        to: &HostName,
        message: ClaimMessage,
        timeout_input: Input,
    ) {
        self.schedule_input(process, call, RPC_TIMEOUT.0, timeout_input);
        let wait = self.processes[process].calls[&call].wait;
        let from = self.processes[process].holder.host.clone();
        let copies = if self.fault_occurs(self.plan.duplicate_probability) { 2 } else { 1 };
        for _ in 0..copies {
            if self.is_cut(&from, to) || self.fault_occurs(self.plan.drop_probability) {
                continue;
            }
            let latency = self.latency();
            let message = message.clone();
            let event = Event::PeerMessage { to: to.clone(), from: process, call, wait, message };
            self.schedule_after(latency, event);
        }
    }

    /// Sends a reply to a call of another process.
    pub(super) fn send_peer_reply(
        &mut self,
        from: ProcessId,
        to: ProcessId,
        call: CallId,
        wait: WaitId,
        input: Input,
    ) {
        let from = self.processes[from].holder.host.clone();
        let name = self.processes[to].holder.host.clone();
        if self.is_cut(&from, &name) || self.fault_occurs(self.plan.drop_probability) {
            return;
        }
        let latency = self.latency();
        self.schedule_after(latency, Event::Input { process: to, call, wait, input });
    }

    /// Handles a message of another process at the current process of a host.
    pub(super) fn on_peer_message(
        &mut self,
        to: &HostName,
        from: ProcessId,
        call: CallId,
        wait: WaitId,
        message: ClaimMessage,
    ) {
        let process = self.current_processes[to];
        if !self.processes[process].alive {
            return;
        }
        let paused_until = self.processes[process].paused_until;
        if paused_until > self.now {
            let event = Event::PeerMessage { to: to.clone(), from, call, wait, message };
            self.schedule_at(paused_until, event);
            return;
        }
        match message {
            ClaimMessage::Commit { slot, seen, op } => {
                self.submit(process, Waiter::Peer(from, call, wait), slot, seen, op);
            }
            ClaimMessage::CommitBound { incarnation, op } => {
                let now = self.now;
                let reply = self.processes[process].bound_table.commit(incarnation, &op, now);
                self.send_peer_reply(process, from, call, wait, Input::CommitReply(reply));
            }
            ClaimMessage::Ask { holder, nonce, .. } => {
                let status = self.processes[process].registry.status(&holder, nonce);
                self.send_status(process, from, call, wait, status);
            }
        }
    }

    fn send_status(
        &mut self,
        from: ProcessId,
        to: ProcessId,
        call: CallId,
        wait: WaitId,
        status: HolderStatus,
    ) {
        let input = Input::StatusReply(status.clone());
        if status != HolderStatus::Running {
            self.send_peer_reply(from, to, call, wait, input);
            return;
        }
        // Simulates that the asked host answers only after waiting for the call to end.
        self.schedule_after(30, Event::Input { process: to, call, wait, input });
    }

    fn is_cut(&self, from: &HostName, to: &HostName) -> bool {
        let is_active_cut = |(a, b, until): &(HostName, HostName, Millis)| {
            a == from && b == to && *until > self.now
        };
        !self.faults_ended && self.link_cuts.iter().any(is_active_cut)
    }

    fn latency(&mut self) -> u64 {
        let probability = self.plan.slow_probability;
        if self.fault_occurs(probability) {
            return self.rng.random_range(1..600);
        }
        self.rng.random_range(1..8)
    }
}
