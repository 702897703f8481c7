//! Calls to the platform's store as data, so that the modules that decide on them perform no I/O.

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
    /// Writes a key if it is at the expected version (compare-and-swap).
    Swap {
        /// The key.
        key: String,
        /// Expected version; 0 for an absent key.
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
    /// Value of a key that was read; `None` for an absent key.
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

/// The next step of a [`Procedure`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step<T> {
    /// The driver makes this call after a pause and passes the answer to [`Procedure::next`].
    Call {
        /// The call.
        call: StoreCall,
        /// Pause before the call.
        pause: Millis,
    },
    /// The procedure has ended with this outcome.
    Done(T),
}

impl<T> Step<T> {
    /// Creates a step that makes `call` without a pause.
    pub fn call(call: StoreCall) -> Self {
        Self::Call { call, pause: Millis::ZERO }
    }
}

/// A sequence of store calls whose driver makes each call and passes its answer back.
pub trait Procedure {
    /// Result of the whole procedure.
    type Outcome;

    /// Takes the answer to the last call, `None` at the start, and returns the next step.
    fn next(&mut self, answer: Option<StoreAnswer>) -> Step<Self::Outcome>;
}

/// Runs a procedure on `store` to its end, calling `sleep` for each pause.
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

/// Exponential backoff with a limit for the failed calls of a procedure.
#[derive(Clone, Debug)]
pub struct RetryBackoff {
    failures_in_row: u32,
}

impl RetryBackoff {
    /// Failed calls in a row after which the procedure gives up.
    const MAX_FAILURES: u32 = 8;
    const FIRST_PAUSE: Millis = Millis(50);
    const LONGEST_PAUSE: Millis = Millis(1000);

    /// Creates a backoff without failures.
    pub fn new() -> Self {
        Self { failures_in_row: 0 }
    }

    /// Resets the backoff after a successful call.
    pub fn on_success(&mut self) {
        self.failures_in_row = 0;
    }

    /// Counts a failed call and returns the pause before its retry, `None` at the limit.
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
