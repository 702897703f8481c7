//! The state of one server in a router: its last report, the own runs not yet reported, and
//! failures.

use std::collections::VecDeque;

use crate::clock::Millis;
use crate::defect::planted;
use crate::engine::Holding;
use crate::engine::LoadReport;
use crate::engine::Role;
use crate::name::DomainName;
use crate::name::ServerName;
use smallvec::SmallVec;

use super::messages::ServerInput;

/// The most starts and ends of own runs that are kept while no report covers them.
const MAX_UNREPORTED_EVENTS: usize = 4_096;

/// The age above which a report counts as stale.
pub(super) const REPORT_STALE_AFTER: Millis = Millis(3_000);

/// The time for which a server is avoided after a first failure. It doubles with each further one.
const MIN_AVOID_TIME: Millis = Millis(500);

/// The longest time for which a server that failed is avoided.
const MAX_AVOID_TIME: Millis = Millis(10_000);

/// The weight of a new sample in the moving averages of the step model.
const STEP_SAMPLE_WEIGHT: f64 = 0.2;

/// Estimates how the step time of a server grows with its batch, by linear regression over moving
/// averages.
#[derive(Clone, Copy, Debug, Default)]
struct StepModel {
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
    samples: u32,
}

impl StepModel {
    fn add(&mut self, batch: f64, step_us: f64) {
        let weight = if self.samples == 0 { 1.0 } else { STEP_SAMPLE_WEIGHT };
        let blend = |old: f64, new: f64| old + weight * (new - old);
        self.x = blend(self.x, batch);
        self.y = blend(self.y, step_us);
        self.xx = blend(self.xx, batch * batch);
        self.xy = blend(self.xy, batch * step_us);
        self.samples += 1;
    }

    /// Returns the growth of the step time per run in the batch, in microseconds.
    fn slope(&self) -> f64 {
        let spread = self.xx - self.x * self.x;
        if spread < 0.25 {
            return 0.0;
        }
        let slope = (self.xy - self.x * self.y) / spread;
        slope.clamp(0.0, self.y)
    }
}

/// The state of one server in a router.
#[derive(Clone, Debug)]
pub(super) struct ServerState {
    pub(super) name: ServerName,
    pub(super) domain: DomainName,
    pub(super) address: String,
    pub(super) usable: bool,
    pub(super) slots: u32,
    pub(super) holdings: SmallVec<[Holding; 2]>,
    pub(super) links: Vec<(u16, u32)>,
    boot: u64,
    measured_at: Millis,
    load: u32,
    step_us: u32,
    step_model: StepModel,
    own_events: VecDeque<(Millis, i32)>,
    own_balance: i32,
    avoid_until: Millis,
    consecutive_failures: u32,
}

impl ServerState {
    pub(super) fn new(input: &ServerInput<'_>) -> Self {
        Self {
            name: input.name.clone(),
            domain: input.domain.clone(),
            address: String::new(),
            usable: false,
            slots: 0,
            holdings: SmallVec::new(),
            links: Vec::new(),
            boot: input.report.boot,
            measured_at: Millis::ZERO,
            load: 0,
            step_us: 0,
            step_model: StepModel::default(),
            own_events: VecDeque::new(),
            own_balance: 0,
            avoid_until: Millis::ZERO,
            consecutive_failures: 0,
        }
    }

    /// Applies a report; returns whether the holdings, the domain or the usability of the server
    /// changed.
    pub(super) fn update(&mut self, input: &ServerInput<'_>) -> bool {
        let report = input.report;
        if report.boot != self.boot {
            *self = Self::new(input);
        }
        let usable = (!input.leaving || planted!(LeavingServerUsed))
            && !input.suspected
            && !report.leaving
            && report.role != Role::Prefill;
        let changed = self.usable != usable
            || self.holdings != report.holdings
            || self.domain != *input.domain;
        self.usable = usable;
        if changed {
            self.holdings = report.holdings.clone();
            self.domain = input.domain.clone();
        }
        if self.address != input.address {
            self.address = input.address.to_owned();
        }
        self.apply_load_report(report, input.reported_at - report.age_ms);
        changed
    }

    fn apply_load_report(&mut self, report: &LoadReport, measured_at: Millis) {
        if measured_at <= self.measured_at && self.step_us != 0 {
            return;
        }
        self.measured_at = measured_at;
        self.load = report.running + report.waiting;
        self.slots = report.slots.max(1);
        self.step_us = report.step_us;
        self.step_model.add(f64::from(report.running), f64::from(report.step_us));
        while self.own_events.front().is_some_and(|(at, _)| *at <= measured_at) {
            let (_, change) = self.own_events.pop_front().unwrap_or_default();
            self.own_balance -= change;
        }
    }

    /// Records the start (+1) or the end (-1) of a run of this host.
    pub(super) fn on_own_run(&mut self, now: Millis, change: i32) {
        if change < 0 && planted!(OwnEndForgotten) {
            return;
        }
        if self.own_events.len() == MAX_UNREPORTED_EVENTS {
            let (_, oldest) = self.own_events.pop_front().unwrap_or_default();
            self.own_balance -= oldest;
        }
        self.own_events.push_back((now, change));
        self.own_balance += change;
    }

    /// Returns the number of runs on the server: the reported ones, corrected by the own runs that
    /// reports do not cover yet.
    pub(super) fn load(&self) -> u32 {
        self.load.saturating_add_signed(self.own_balance)
    }

    /// Returns the expected step time with one more run, in microseconds.
    pub(super) fn step_us(&self) -> u64 {
        let change = f64::from(self.own_balance + 1);
        let step_us = f64::from(self.step_us) + self.step_model.slope() * change;
        step_us.max(f64::from(self.step_us) * 0.25) as u64
    }

    /// Returns the number of runs that must end before one more can begin.
    pub(super) fn runs_ahead(&self) -> u32 {
        (self.load() + 1).saturating_sub(self.slots)
    }

    pub(super) fn is_stale(&self, now: Millis) -> bool {
        now.since(self.measured_at) > REPORT_STALE_AFTER
    }

    pub(super) fn is_avoided(&self, now: Millis) -> bool {
        now < self.avoid_until
    }

    pub(super) fn on_failure(&mut self, now: Millis) {
        let span = Millis(MIN_AVOID_TIME.0 << self.consecutive_failures.min(5)).min(MAX_AVOID_TIME);
        self.consecutive_failures += 1;
        self.avoid_until = now + span;
    }

    pub(super) fn on_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Returns the heap memory that the state uses, in bytes.
    pub(super) fn heap_bytes(&self) -> usize {
        self.address.capacity()
            + self.links.capacity() * size_of::<(u16, u32)>()
            + self.own_events.capacity() * size_of::<(Millis, i32)>()
    }
}
