//! What a host knows of the calls it holds claims for.

use std::collections::HashMap;
use std::collections::VecDeque;

use super::messages::HolderStatus;
use super::record::ClaimState;
use super::record::Holder;
use super::record::Nonce;
use crate::defect::planted;

#[derive(Clone, Debug)]
enum Local {
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
    calls: HashMap<Nonce, Local>,
    closed: VecDeque<Nonce>,
    remembered: usize,
}

impl ClaimRegistry {
    /// Creates the registry of `holder`, which remembers the last `remembered` closed claims.
    pub fn new(holder: Holder, remembered: usize) -> Self {
        Self { holder, calls: HashMap::new(), closed: VecDeque::new(), remembered }
    }

    /// Returns the process that the registry belongs to.
    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Opens a claim that is about to be committed.
    pub fn open(&mut self, nonce: Nonce) {
        self.calls.insert(nonce, Local::Claiming);
    }

    /// Permits the dispatch under `nonce`; returns `true` once at most.
    pub fn grant(&mut self, nonce: Nonce) -> bool {
        match self.calls.get_mut(&nonce) {
            Some(call @ Local::Claiming) => {
                *call = Local::Running;
                true
            }
            _ => false,
        }
    }

    /// Gives up a claim that was not granted; from then on it is never dispatched.
    pub fn abandon(&mut self, nonce: Nonce) {
        if matches!(self.calls.get(&nonce), Some(Local::Claiming)) {
            self.close(nonce, Local::Abandoned);
        }
    }

    /// Ends a granted claim whose call was not dispatched and never will be.
    pub fn withdraw(&mut self, nonce: Nonce) {
        if matches!(self.calls.get(&nonce), Some(Local::Running)) {
            self.close(nonce, Local::Abandoned);
        }
    }

    /// Ends a granted claim whose call was dispatched.
    pub fn end(&mut self, nonce: Nonce, state: ClaimState) {
        if matches!(self.calls.get(&nonce), Some(Local::Running)) {
            self.close(nonce, Local::Ended(state));
        }
    }

    /// Answers another host, or a caller of this one, that found a claim of `holder`.
    pub fn status(&self, holder: &Holder, nonce: Nonce) -> HolderStatus {
        if *holder != self.holder {
            return HolderStatus::Gone;
        }
        match self.calls.get(&nonce) {
            Some(Local::Claiming) if planted!(AbandonedWhileClaiming) => HolderStatus::Abandoned,
            Some(Local::Claiming | Local::Running) => HolderStatus::Running,
            Some(Local::Ended(state)) => HolderStatus::Ended(state.clone()),
            Some(Local::Abandoned) => HolderStatus::Abandoned,
            None => HolderStatus::Forgotten,
        }
    }

    /// Returns the number of claims that are remembered.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no claim is remembered.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    fn close(&mut self, nonce: Nonce, state: Local) {
        self.calls.insert(nonce, state);
        self.closed.push_back(nonce);
        if self.closed.len() > self.remembered {
            let oldest = self.closed.pop_front();
            oldest.map(|oldest| self.calls.remove(&oldest));
        }
    }
}
