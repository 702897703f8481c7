//! Load reports of the engines.

use crate::engine::event::Event;
use crate::engine::simulation::Simulation;

const MAX_LINKS_REPORTED: usize = 32;

impl Simulation {
    /// Updates the load report of an engine now and at each report interval.
    pub(super) fn report_periodically(&mut self, now: u64, i: usize) {
        if self.engines[i].is_up {
            self.update_report(now, i);
        }
        let every_us = self.engines[i].settings.behavior.report_every_ms * 1000;
        self.schedule(now + every_us, Event::ReportDue { engine: i });
    }

    /// Updates the load report of an engine.
    pub(super) fn update_report(&mut self, now: u64, i: usize) {
        let own = &self.engines[i].settings;
        let mut links = Vec::new();
        for other in self.engines.iter().filter(|other| other.settings.model == own.model) {
            let other = &other.settings;
            if other.name == own.name || links.len() >= MAX_LINKS_REPORTED {
                continue;
            }
            let from = (&own.name, &own.domain);
            if let Some(us) = self.links.delay_us(now, from, (&other.name, &other.domain)) {
                links.push((other.name.clone(), us));
            }
        }
        self.engines[i].update_report(now, links);
    }
}
