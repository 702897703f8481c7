//! Keeps the loops of a host running. A loop that panics is begun anew: a host without it would go on,
//! and no longer follow the store, hear other hosts or order servers.

use std::any::Any;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::task;
use tokio::time;
use yuccanotch_core::event::Event;

use crate::host::Gateway;

/// The pause before a loop is begun anew, so that one that panics at once does not use up the
/// processor.
const RESTART_PAUSE: Duration = Duration::from_millis(200);

/// Spawns the loop that `begin` creates, for the life of the process; one that panics is logged, counted
/// and begun anew.
pub fn spawn<F>(
    gateway: &Rc<Gateway>,
    name: &'static str,
    begin: impl Fn(Rc<Gateway>) -> F + 'static,
) where
    F: Future<Output = ()> + 'static,
{
    let gateway = gateway.clone();
    task::spawn_local(async move {
        let begin = || begin(gateway.clone());
        keep_running(begin, |why| {
            gateway.counters.loop_panicked();
            gateway.event_log.line(Event::LoopPanicked, &[("loop", &name), ("why", &why)]);
        })
        .await;
    });
}

/// Runs the loop that `begin` creates until it ends by itself, and tells `on_panic` the text of each
/// panic.
pub(crate) async fn keep_running<F>(begin: impl Fn() -> F, on_panic: impl Fn(&str))
where
    F: Future<Output = ()> + 'static,
{
    while let Err(e) = task::spawn_local(begin()).await {
        let Ok(panic) = e.try_into_panic() else {
            return;
        };
        on_panic(panic_text(panic.as_ref()));
        time::sleep(RESTART_PAUSE).await;
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str)).unwrap_or("")
}
