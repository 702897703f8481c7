//! What a host knows of the calls it holds claims for.

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

/// The claims of one process by nonce, from the first commit to some time after the end.
///
/// A call is dispatched only after [`ClaimRegistry::grant`] returned `true` for its nonce, which
/// happens at most once, and never after [`ClaimRegistry::abandon`] did.
#[derive(Debug)]
pub struct ClaimRegistry {
    holder: Holder,
    calls: HashMap<Nonce, LocalState>,
    closed_oldest_first: VecDeque<Nonce>,
    max_closed: usize,
}

impl ClaimRegistry {
    /// Creates the registry of `holder`, which remembers the last `max_closed` closed_oldest_first claims.
    pub fn new(holder: Holder, max_closed: usize) -> Self {
        Self { holder, calls: HashMap::new(), closed_oldest_first: VecDeque::new(), max_closed }
    }

    /// Returns the process that the registry belongs to.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Opens a claim that is about to be committed.
    pub fn open(&mut self, nonce: Nonce) {
        self.calls.insert(nonce, LocalState::Claiming);
    }

    /// Permits the dispatch under `nonce`; returns `true` once at most.
    pub fn grant(&mut self, nonce: Nonce) -> bool {
        match self.calls.get_mut(&nonce) {
            Some(call @ LocalState::Claiming) => {
                *call = LocalState::Running;
                true
            }
            _ => false,
        }
    }

    /// Gives up a claim that was not granted; from then on it is never dispatched.
    pub fn abandon(&mut self, nonce: Nonce) {
        if matches!(self.calls.get(&nonce), Some(LocalState::Claiming)) {
            self.close(nonce, LocalState::Abandoned);
        }
    }

    /// Ends a granted claim whose call was not dispatched and never will be.
    pub fn withdraw(&mut self, nonce: Nonce) {
        if matches!(self.calls.get(&nonce), Some(LocalState::Running)) {
            self.close(nonce, LocalState::Abandoned);
        }
    }

    /// Ends a granted claim whose call was dispatched.
    pub fn end(&mut self, nonce: Nonce, state: ClaimState) {
        if matches!(self.calls.get(&nonce), Some(LocalState::Running)) {
            self.close(nonce, LocalState::Ended(state));
        }
    }

    /// Answers another host, or a caller of this one, that found a claim of `holder`.
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

    /// Returns the number of claims that are max_closed.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no claim is max_closed.
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
