//! Faults of processes, links, store and membership.

use rand::Rng;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::name::HostName;

use super::event::Event;
use super::simulation::Simulation;

/// Time from which no fault occurs.
const FAULTS_END: Millis = Millis(3_000);

/// Scheduled fault, or the end of one.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    Crash,
    /// Pauses a process and starts its replacement, so that two processes of one host run.
    Replace,
    Pause,
    CutLink,
    StoreOutage,
    EndStoreOutage,
    ChangeMembership,
    BackUpStore,
    RestoreStore,
    EndFaults,
}

impl Simulation<'_> {
    /// Draws the times of the faults.
    pub(super) fn draw_faults(&mut self) {
        let plan = self.plan.clone();
        let faults = [
            (plan.crashes, Fault::Crash),
            (plan.replacements, Fault::Replace),
            (plan.pauses, Fault::Pause),
            (plan.link_cuts, Fault::CutLink),
            (plan.store_outages, Fault::StoreOutage),
            (plan.membership_changes, Fault::ChangeMembership),
        ];
        for (count, fault) in faults {
            for _ in 0..count {
                let at = self.rng.random_range(1..FAULTS_END.0);
                self.schedule_at(Millis(at), Event::Fault(fault));
            }
        }
        if plan.store_restore {
            let backup_at = self.rng.random_range(1..1_500);
            let restore_at = self.rng.random_range(backup_at..2_800);
            self.schedule_at(Millis(backup_at), Event::Fault(Fault::BackUpStore));
            self.schedule_at(Millis(restore_at), Event::Fault(Fault::RestoreStore));
        }
        self.schedule_at(FAULTS_END, Event::Fault(Fault::EndFaults));
    }

    /// Returns whether a fault of the given probability occurs now.
    pub(super) fn fault_occurs(&mut self, probability: f64) -> bool {
        !self.faults_ended && self.rng.random_bool(probability)
    }

    /// Applies a fault to a random host.
    pub(super) fn on_fault(&mut self, fault: Fault) {
        self.log(format!("fault {fault:?}"));
        let name = self.host_names[self.rng.random_range(0..self.host_names.len())].clone();
        let other = self.host_names[self.rng.random_range(0..self.host_names.len())].clone();
        let process = self.current_processes[&name];
        let until = self.now + Millis(self.rng.random_range(50..900));
        match fault {
            Fault::Crash => {
                self.processes[process].alive = false;
                self.start_replacement(&name);
            }
            Fault::Replace => {
                self.processes[process].paused_until = until;
                self.start_replacement(&name);
            }
            Fault::Pause => self.processes[process].paused_until = until,
            Fault::CutLink => {
                self.link_cuts.push((name.clone(), other.clone(), until));
                if self.rng.random_bool(0.6) {
                    self.link_cuts.push((other, name, until));
                }
            }
            Fault::StoreOutage => {
                self.store.unavailable = true;
                self.schedule_at(until, Event::Fault(Fault::EndStoreOutage));
            }
            Fault::EndStoreOutage => self.store.unavailable = false,
            Fault::ChangeMembership => {
                let host_names = self.host_names.clone();
                self.processes[process].randomize_members(&host_names, &mut self.rng);
            }
            Fault::BackUpStore => self.store.back_up(),
            Fault::RestoreStore => self.store.restore(),
            Fault::EndFaults => {
                self.faults_ended = true;
                self.store.unavailable = false;
            }
        }
    }

    fn start_replacement(&mut self, name: &HostName) {
        let incarnation = self.processes[self.current_processes[name]].holder.incarnation.0;
        self.start_process(name, incarnation + 1);
    }
}
