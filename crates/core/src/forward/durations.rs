//! How long requests take from their sending to the end of their answer, by route.

use std::collections::HashMap;
use std::sync::Arc;

use crate::clock::Millis;

/// The weight of a new duration in the mean, as in the round-trip estimate of RFC 6298.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// The weight of a new difference from the mean in the deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// The number of deviations above the mean within which almost all requests end.
const DEVIATIONS: f64 = 3.0;
/// The most routes that are kept. Beyond it, all start anew.
const MAX_ROUTES: usize = 8_192;

/// The durations of one route, in ms for each unit of work.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

/// The durations of the requests of each route. The work of a request is what its duration grows with:
/// the tokens of its answer, or 1.
#[derive(Debug, Default)]
pub struct Durations {
    routes: HashMap<Arc<str>, Estimate>,
}

impl Durations {
    /// Records that a request of `route` with `work` units has taken `duration`.
    pub fn record(&mut self, route: &Arc<str>, work: u32, duration: Millis) {
        let sample = duration.0 as f64 / f64::from(work.max(1));
        if let Some(estimate) = self.routes.get_mut(route) {
            let difference = (sample - estimate.mean).abs();
            estimate.deviation += DEVIATION_WEIGHT * (difference - estimate.deviation);
            estimate.mean += MEAN_WEIGHT * (sample - estimate.mean);
            return;
        }
        if self.routes.len() >= MAX_ROUTES {
            self.routes.clear();
        }
        self.routes.insert(route.clone(), Estimate { mean: sample, deviation: sample / 2.0 });
    }

    /// Returns the time within which almost all requests of `route` with `work` units end; `None` if none
    /// has ended.
    pub fn expected(&self, route: &str, work: u32) -> Option<Millis> {
        let estimate = self.routes.get(route)?;
        let ms = (estimate.mean + DEVIATIONS * estimate.deviation) * f64::from(work.max(1));
        Some(Millis(ms.ceil() as u64))
    }
}
