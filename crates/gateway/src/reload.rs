//! Takes over settings that change in the life of the process: told by a signal, or found changed.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::time;
use yuccanotch_core::event::Event;

use crate::host::Gateway;
use crate::settings::Settings;

/// How often the settings are read without a signal: they may change without one.
const LOOK: Duration = Duration::from_secs(5);

/// Reads the settings anew.
pub type ReadSettings = fn() -> io::Result<Settings>;

/// Reads the settings at each `hangup` and now and then, for the life of the process.
pub async fn run(gateway: Rc<Gateway>, mut hangup: Signal, read_settings: ReadSettings) {
    let mut rejected = String::new();
    loop {
        let told = time::timeout(LOOK, hangup.recv()).await.is_ok();
        match read_settings() {
            Ok(settings) => {
                rejected.clear();
                take(&gateway, &settings, told);
            }
            Err(e) if told || rejected != e.to_string() => {
                rejected = e.to_string();
                gateway.event_log.line(Event::SettingsRejected, &[("why", &rejected)]);
            }
            Err(_) => {}
        }
    }
}

fn take(gateway: &Gateway, settings: &Settings, told: bool) {
    let changed = *gateway.changeable() != settings.changeable;
    let fixed = Settings { changeable: gateway.settings.changeable.clone(), ..settings.clone() };
    let needs_restart = fixed != gateway.settings;
    if changed {
        gateway.set_changeable(&settings.changeable);
    }
    if changed || told {
        gateway.event_log.line(
            Event::SettingsReloaded,
            &[("told", &told), ("changed", &changed), ("needs_restart", &needs_restart)],
        );
    }
}
