//! Calls to the platform's store, as data, so that decisions stay free of I/O.

use crate::clock::Millis;
use crate::ids::KeyVersion;
use crate::store::Store;
use crate::store::StoreError;
use crate::store::Versioned;

/// One call to the platform's store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Reads a key.
    Get(String),
    /// Writes a key if it is at the expected version.
    Swap {
        /// The key.
        key: String,
        /// Expected version.
        expect: KeyVersion,
        /// New value.
        value: Vec<u8>,
    },
    /// Deletes a key if it is at the expected version.
    Delete {
        /// The key.
        key: String,
        /// Expected version.
        expect: KeyVersion,
    },
    /// Lists the keys that begin with a prefix.
    List(String),
}

/// Answer to a [`StoreCall`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreAnswer {
    /// Value of a key that was read.
    Value(Option<Versioned>),
    /// New version of a key that was written.
    Written(KeyVersion),
    /// The key was deleted.
    Deleted,
    /// Keys with their versions.
    Keys(Vec<(String, KeyVersion)>),
    /// The call failed.
    Failed(StoreError),
}

impl StoreCall {
    /// Makes the call on `store`.
    pub fn run(&self, store: &dyn Store) -> StoreAnswer {
        let answer = match self {
            Self::Get(key) => store.get(key).map(StoreAnswer::Value),
            Self::Swap { key, expect, value } => {
                store.swap(key, *expect, value, None).map(StoreAnswer::Written)
            }
            Self::Delete { key, expect } => {
                store.delete(key, *expect).map(|()| StoreAnswer::Deleted)
            }
            Self::List(prefix) => store.list(prefix).map(StoreAnswer::Keys),
        };
        answer.unwrap_or_else(StoreAnswer::Failed)
    }
}

/// What a procedure over the store does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step<T> {
    /// Makes a call after a pause, and passes its answer on.
    Call {
        /// The call.
        call: StoreCall,
        /// Pause before the call.
        pause: Millis,
    },
    /// The procedure has ended.
    Done(T),
}

impl<T> Step<T> {
    /// Creates a call without a pause.
    pub fn call(call: StoreCall) -> Self {
        Self::Call { call, pause: Millis::ZERO }
    }
}

/// A procedure over the store, driven call by call.
pub trait Procedure {
    /// What the procedure ends with.
    type Outcome;

    /// Takes the answer to the last call, `None` at the start, and returns what to do next.
    fn next(&mut self, answer: Option<StoreAnswer>) -> Step<Self::Outcome>;
}

/// Runs a procedure to its end; `sleep` is called for each pause.
pub fn drive<P: Procedure>(
    mut procedure: P,
    store: &dyn Store,
    sleep: &mut dyn FnMut(Millis),
) -> P::Outcome {
    let mut answer = None;
    loop {
        match procedure.next(answer.take()) {
            Step::Call { call, pause } => {
                if pause > Millis::ZERO {
                    sleep(pause);
                }
                answer = Some(call.run(store));
            }
            Step::Done(outcome) => return outcome,
        }
    }
}

/// Limits how often the failed calls of a procedure are repeated, with growing pauses.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    failures_in_row: u32,
}

impl RetryBackoff {
    /// Most failed calls in a row.
    const MAX_FAILURES: u32 = 8;
    const FIRST_PAUSE: Millis = Millis(50);
    const LONGEST_PAUSE: Millis = Millis(1000);

    /// Creates a fresh limit.
    pub fn new() -> Self {
        Self { failures_in_row: 0 }
    }

    /// Notes a call that succeeded.
    pub fn on_success(&mut self) {
        self.failures_in_row = 0;
    }

    /// Notes a failed call and returns the pause before it is repeated, `None` at the limit.
    pub fn on_failure(&mut self) -> Option<Millis> {
        self.failures_in_row += 1;
        if self.failures_in_row >= Self::MAX_FAILURES {
            return None;
        }
        let pause = Self::FIRST_PAUSE.0 << (self.failures_in_row - 1);
        Some(Millis(pause).min(Self::LONGEST_PAUSE))
    }
}

impl Default for RetryBackoff {
    fn default() -> Self {
        Self::new()
    }
}
