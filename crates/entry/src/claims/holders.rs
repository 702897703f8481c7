//! Status queries: whether the call of a claim still runs at the host that holds the claim.

use std::sync::PoisonError;

use yuccanotch_core::claim::ClaimMessage;
use yuccanotch_core::claim::ClaimReply;
use yuccanotch_core::claim::Holder;
use yuccanotch_core::claim::HolderStatus;
use yuccanotch_core::claim::Input;
use yuccanotch_core::claim::Nonce;
use yuccanotch_core::clock::Millis;

use super::commits::PEER_REPLY_MARGIN;
use super::Claims;
use crate::host::Host;

impl Claims {
    /// Asks the holder of a claim for its state; waits up to `wait` while its call is running.
    pub(super) fn ask_holder(
        &self,
        host: &Host,
        holder: Holder,
        nonce: Nonce,
        wait: Millis,
    ) -> Input {
        if holder.host == self.holder.host {
            return Input::StatusReply(self.wait_for_status(&holder, nonce, wait));
        }
        let to = holder.host.clone();
        let message = ClaimMessage::Ask { holder, nonce, wait };
        match self.call_peer(host, &to, message, wait + PEER_REPLY_MARGIN) {
            Some(ClaimReply::Status(status)) => Input::StatusReply(status),
            _ => Input::NoStatusReply,
        }
    }

    /// Returns the state of a claim; waits up to `wait` while its call is running.
    pub(super) fn wait_for_status(
        &self,
        holder: &Holder,
        nonce: Nonce,
        wait: Millis,
    ) -> HolderStatus {
        let until = self.clock.now() + wait;
        let mut local = self.lock();
        loop {
            let status = local.registry.status(holder, nonce);
            let left = until.since(self.clock.now());
            if status != HolderStatus::Running || left == Millis::ZERO {
                return status;
            }
            let waited = self.call_ended.wait_timeout(local, left.to_duration());
            local = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
