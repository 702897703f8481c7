//! The state of the claims that one process holds.

use std::collections::HashMap;
use std::collections::VecDeque;

use super::messages::HolderStatus;
use super::record::ClaimState;
use super::record::Holder;
use super::record::Nonce;
use crate::defect::planted;

#[derive(Clone, Debug)]
enum LocalState {
    Claiming,
    Running,
    Ended(ClaimState),
    Abandoned,
}

/// The claims of one process by nonce, from their first commit until some time after their end.
///
/// A call is dispatched only after [`ClaimRegistry::grant`] returned `true` for its nonce. That
/// happens at most once, and never after [`ClaimRegistry::abandon`].
#[derive(Debug)]
pub struct ClaimRegistry {
    holder: Holder,
    calls: HashMap<Nonce, LocalState>,
    closed_oldest_first: VecDeque<Nonce>,
    max_closed: usize,
}

impl ClaimRegistry {
    /// Creates the registry of `holder`, which keeps the last
    /// `max_closed` claims that ended or were abandoned.
    pub fn new(holder: Holder, max_closed: usize) -> Self {
        Self { holder, calls: HashMap::new(), closed_oldest_first: VecDeque::new(), max_closed }
    }

    /// Returns the process that the registry belongs to.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Adds a claim that is about to be committed.
    pub fn open(&mut self, nonce: Nonce) {
        self.calls.insert(nonce, LocalState::Claiming);
    }

    /// Returns whether the call under `nonce` may be dispatched now; `true` at most once.
    pub fn grant(&mut self, nonce: Nonce) -> bool {
        match self.calls.get_mut(&nonce) {
            Some(call @ LocalState::Claiming) => {
                *call = LocalState::Running;
                true
            }
            _ => false,
        }
    }

    /// Abandons a claim that was not granted, so that its call is never dispatched.
    pub fn abandon(&mut self, nonce: Nonce) {
        if matches!(self.calls.get(&nonce), Some(LocalState::Claiming)) {
            self.close(nonce, LocalState::Abandoned);
        }
    }

    /// Abandons a granted claim whose call was not dispatched and never will be.
    pub fn withdraw(&mut self, nonce: Nonce) {
        if matches!(self.calls.get(&nonce), Some(LocalState::Running)) {
            self.close(nonce, LocalState::Abandoned);
        }
    }

    /// Records the end of a granted claim whose call was dispatched.
    pub fn end(&mut self, nonce: Nonce, state: ClaimState) {
        if matches!(self.calls.get(&nonce), Some(LocalState::Running)) {
            self.close(nonce, LocalState::Ended(state));
        }
    }

    /// Returns the state of the claim of `holder` under `nonce`, for a call on this or another host
    /// that found the claim in the store.
    pub fn status(&self, holder: &Holder, nonce: Nonce) -> HolderStatus {
        if *holder != self.holder {
            return HolderStatus::Gone;
        }
        match self.calls.get(&nonce) {
            Some(LocalState::Claiming) if planted!(AbandonedWhileClaiming) => {
                HolderStatus::Abandoned
            }
            Some(LocalState::Claiming | LocalState::Running) => HolderStatus::Running,
            Some(LocalState::Ended(state)) => HolderStatus::Ended(state.clone()),
            Some(LocalState::Abandoned) => HolderStatus::Abandoned,
            None => HolderStatus::Forgotten,
        }
    }

    /// Returns the number of claims in the registry.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether the registry has no claim.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    fn close(&mut self, nonce: Nonce, state: LocalState) {
        self.calls.insert(nonce, state);
        self.closed_oldest_first.push_back(nonce);
        if self.closed_oldest_first.len() > self.max_closed {
            let oldest = self.closed_oldest_first.pop_front();
            oldest.map(|oldest| self.calls.remove(&oldest));
        }
    }
}
