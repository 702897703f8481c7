//! Tests of loops that panic.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use tokio::runtime::Builder;
use tokio::task::LocalSet;

use crate::supervision::keep_running;

/// Guards against a host that goes on without a loop that has panicked, and says nothing.
#[test]
fn a_loop_that_panics_is_told_of_and_begun_anew() {
    let runtime = Builder::new_current_thread().enable_time().build().expect("a runtime");
    let begun = Rc::<Cell<u32>>::default();
    let told = RefCell::<Vec<String>>::default();
    let counter = begun.clone();
    let begin = move || {
        let number = counter.get() + 1;
        counter.set(number);
        async move { assert!(number > 2, "run {number}") }
    };
    let tasks = LocalSet::new();
    tasks.block_on(&runtime, keep_running(begin, |why| told.borrow_mut().push(why.to_owned())));
    assert_eq!(begun.get(), 3);
    assert_eq!(*told.borrow(), ["run 1", "run 2"]);
}
