//! Counters and gauges of one entry host.
//!
//! Each host has a recorder of its own, so that several hosts in one process are counted apart.

use std::collections::HashMap;
use std::fmt;
use std::sync::Mutex;

use metrics::Counter;
use metrics::Gauge;
use metrics::Key;
use metrics::Label;
use metrics::Level;
use metrics::Metadata;
use metrics::Recorder as _;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use metrics_exporter_prometheus::PrometheusRecorder;
use yuccanotch_core::reason::FrameFault;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_core::reason::RetryReason;

const METADATA: Metadata<'static> = Metadata::new("yuccanotch", Level::INFO, None);

/// Counters and gauges of one entry host, rendered as Prometheus text.
pub struct Telemetry {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
    refusals: HashMap<RefusalReason, Counter>,
    retries: HashMap<RetryReason, Counter>,
    frame_faults: HashMap<FrameFault, Counter>,
    counters: Mutex<HashMap<(&'static str, String), Counter>>,
    gauges: Mutex<HashMap<&'static str, Gauge>>,
}

impl fmt::Debug for Telemetry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Telemetry").finish_non_exhaustive()
    }
}

impl Default for Telemetry {
    fn default() -> Self {
        Self::new()
    }
}

impl Telemetry {
    /// Creates the counters of refusals, retries and frame faults, at 0 for each reason.
    pub fn new() -> Self {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        let register = |name, label| {
            let counter = register(&recorder, name, label);
            counter.increment(0);
            counter
        };
        let refusals = RefusalReason::ALL
            .iter()
            .map(|reason| (*reason, register("yuccanotch_refusals_total", reason.as_str())))
            .collect();
        let retries = RetryReason::ALL
            .iter()
            .map(|reason| (*reason, register("yuccanotch_retries_total", reason.as_str())))
            .collect();
        let frame_faults = FrameFault::ALL
            .iter()
            .map(|fault| (*fault, register("yuccanotch_frame_faults_total", fault.as_str())))
            .collect();
        Self {
            recorder,
            handle,
            refusals,
            retries,
            frame_faults,
            counters: Mutex::default(),
            gauges: Mutex::default(),
        }
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, reason: RefusalReason) {
        self.refusals[&reason].increment(1);
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries[&reason].increment(1);
    }

    /// Counts a dropped frame.
    pub fn count_frame_fault(&self, fault: FrameFault) {
        self.frame_faults[&fault].increment(1);
    }

    /// Adds 1 to the counter `name` whose label `reason` is `label`; an empty label is left out.
    pub fn increment_counter(&self, name: &'static str, label: &str) {
        self.add_to_counter(name, label, 1);
    }

    /// Adds `n` to the counter `name` whose label `reason` is `label`; an empty label is left out.
    pub fn add_to_counter(&self, name: &'static str, label: &str, n: u64) {
        let mut counters = self.counters.lock().expect("lock is not poisoned");
        let counter = counters
            .entry((name, label.to_owned()))
            .or_insert_with(|| register(&self.recorder, name, label));
        counter.increment(n);
    }

    /// Raises the counter `name` whose label `reason` is `label` to `value`, which is counted
    /// elsewhere.
    pub fn set_counter(&self, name: &'static str, label: &str, value: u64) {
        let mut counters = self.counters.lock().expect("lock is not poisoned");
        let counter = counters
            .entry((name, label.to_owned()))
            .or_insert_with(|| register(&self.recorder, name, label));
        counter.absolute(value);
    }

    /// Sets the gauge `name`.
    pub fn set_gauge(&self, name: &'static str, value: f64) {
        let mut gauges = self.gauges.lock().expect("lock is not poisoned");
        let gauge = gauges
            .entry(name)
            .or_insert_with(|| self.recorder.register_gauge(&Key::from_name(name), &METADATA));
        gauge.set(value);
    }

    /// Renders all counters and gauges as Prometheus text.
    pub fn render(&self) -> String {
        self.handle.render()
    }
}

fn register(recorder: &PrometheusRecorder, name: &'static str, label: &str) -> Counter {
    let mut labels = Vec::new();
    if !label.is_empty() {
        labels.push(Label::new("reason", label.to_owned()));
    }
    recorder.register_counter(&Key::from_parts(name, labels), &METADATA)
}
