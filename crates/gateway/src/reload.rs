//! Applies changes of the settings while the process runs, on a signal or when a periodic check
//! finds a change.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::time;
use yuccanotch_core::event::Event;

use crate::host::Gateway;
use crate::settings::Settings;

/// How often the settings are read without a signal, since they may change without one.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the current settings.
pub type ReadSettings = fn() -> io::Result<Settings>;

/// Reads the settings on each `hangup` signal and at regular intervals, for the life of the
/// process.
pub async fn run(gateway: Rc<Gateway>, mut hangup: Signal, read_settings: ReadSettings) {
    let mut last_error = String::new();
    loop {
        let signaled = time::timeout(POLL_INTERVAL, hangup.recv()).await.is_ok();
        match read_settings() {
            Ok(settings) => {
                last_error.clear();
                apply(&gateway, &settings, signaled);
            }
            Err(e) if signaled || last_error != e.to_string() => {
                last_error = e.to_string();
                gateway.event_log.line(Event::SettingsRejected, &[("why", &last_error)]);
            }
            Err(_) => {}
        }
    }
}

/// Applies the settings that may change and logs whether others have changed, which need a restart.
fn apply(gateway: &Gateway, settings: &Settings, signaled: bool) {
    let changed = *gateway.changeable() != settings.changeable;
    let fixed = Settings { changeable: gateway.settings.changeable.clone(), ..settings.clone() };
    let needs_restart = fixed != gateway.settings;
    if changed {
        gateway.set_changeable(&settings.changeable);
    }
    if changed || signaled {
        gateway.event_log.line(
            Event::SettingsReloaded,
            &[("told", &signaled), ("changed", &changed), ("needs_restart", &needs_restart)],
        );
    }
}
