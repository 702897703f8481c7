//! Histograms and quantiles of latencies.

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

/// Largest latency that is told apart from larger ones, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Quantiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Quantiles {
    /// Half of the values are at most this.
    pub p50: f64,
    /// 95 of 100 values are at most this.
    pub p95: f64,
    /// 99 of 100 values are at most this.
    pub p99: f64,
    /// Largest value.
    pub max: f64,
}

/// Histogram bucket: the number of values up to `to_ms` and above the preceding bucket's limit.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Bucket {
    /// Inclusive upper limit, in milliseconds.
    pub to_ms: f64,
    /// Number of values.
    pub count: u64,
}

/// Histogram of latencies, in microseconds.
pub(crate) struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl LatencyHistogram {
    /// Creates an empty histogram.
    pub(crate) fn new() -> Self {
        let histogram = Histogram::new_with_max(MAX_LATENCY_US, 3);
        Self { histogram: histogram.expect("the limits of the histogram are valid") }
    }

    /// Adds a value, in microseconds.
    pub(crate) fn add(&mut self, us: u64) {
        self.histogram.saturating_record(us);
    }

    /// Returns the quantiles; all zero without values.
    pub(crate) fn quantiles(&self) -> Quantiles {
        let at = |q| self.histogram.value_at_quantile(q) as f64 / 1000.0;
        if self.histogram.is_empty() {
            return Quantiles::default();
        }
        Quantiles {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: self.histogram.max() as f64 / 1000.0,
        }
    }

    /// Returns the buckets from the first one with a value.
    pub(super) fn buckets(&self) -> Vec<Bucket> {
        let steps = self.histogram.iter_log(500, 1.5);
        steps
            .map(|step| Bucket {
                to_ms: step.value_iterated_to() as f64 / 1000.0,
                count: step.count_since_last_iteration(),
            })
            .skip_while(|bucket| bucket.count == 0)
            .collect()
    }
}
