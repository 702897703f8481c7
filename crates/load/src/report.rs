//! Computes the report of a run and formats it as text.

mod answers;
mod figures;
mod latency;
mod recovery;
mod results;
mod text;
mod throughput;

use yuccanotch_standin::Record;
use yuccanotch_standin::StandinSettings;

use self::answers::complete_answers;
use self::recovery::fault_figures;
use self::results::count_results;
use self::throughput::add_throughput;
use self::throughput::throughput_series;
use crate::experiment::Observations;
use crate::outcome::CompleteAnswer;
use crate::promises::BrokenPromises;
use crate::scenario::Scenario;
use crate::teams;
use crate::teams::FloodFigures;

pub use self::figures::CallFigures;
pub use self::figures::ChatFigures;
pub use self::figures::FaultFigures;
pub use self::figures::Report;
pub use self::latency::Bucket;
pub use self::latency::Quantiles;
pub use self::throughput::THROUGHPUT_STEP_MS;

pub(crate) use self::latency::LatencyHistogram;
pub(crate) use self::throughput::WARM_UP_MS;

/// Computes the report of a run.
pub fn build_report(
    scenario: &Scenario,
    seed: u64,
    policy: &str,
    observed: &Observations,
    record: Option<&Record>,
    broken: BrokenPromises,
    settings: &StandinSettings,
) -> Report {
    let mut report = Report {
        title: scenario.title.clone(),
        seed,
        policy: policy.to_owned(),
        seconds: scenario.seconds,
        connections: observed.connections,
        delayed_arrivals: observed.delayed_arrivals,
        store: record.map(|record| record.store),
        crashes: record.map_or(0, |record| record.crashes),
        broken: broken.counts,
        broken_examples: broken.examples,
        ..Report::default()
    };
    count_results(&mut report, scenario, observed);
    add_teams(&mut report, scenario, observed);
    report.series = throughput_series(observed);
    add_throughput(&mut report, scenario, observed, record, settings);
    let answers: Vec<&CompleteAnswer> = complete_answers(observed).collect();
    let faults = observed.faults.iter();
    report.faults = faults.map(|fault| fault_figures(fault, &answers, &report.series)).collect();
    report
}

fn add_teams(report: &mut Report, scenario: &Scenario, observed: &Observations) {
    report.teams = teams::team_figures(scenario, observed);
    let flood = scenario.flood.as_ref();
    report.flood = flood.and_then(|spec| teams::flood_figures(scenario, spec, observed));
    if let Some(text) = report.flood.as_ref().and_then(FloodFigures::broken_promise) {
        report.broken.insert("a flood slows other teams".to_owned(), 1);
        report.broken_examples.push(text);
    }
}

impl Report {
    /// Returns whether every promise was kept.
    pub fn promises_held(&self) -> bool {
        self.broken.is_empty()
    }
}
