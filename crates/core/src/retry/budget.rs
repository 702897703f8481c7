//! The retry budget: a limit on retries as a percentage of recent requests.

use crate::clock::Millis;

/// Buckets of the sliding window, one for each second.
const WINDOW_BUCKETS: usize = 10;
const BUCKET_SPAN: Millis = Millis(1_000);
const PERCENT_SCALE: u64 = 100;

/// The counts of one second.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    second: u64,
    requests: u64,
    retries: u64,
}

/// Counts the requests and retries of the last ten seconds, and grants retries up to a percentage
/// of the requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retries_per_100: u64,
    min_retries: u64,
    buckets: [Bucket; WINDOW_BUCKETS],
}

impl RetryBudget {
    /// Creates a budget of `percent` retries per 100 requests in the last ten seconds, and at least
    /// `min_retries` retries in that window, for hosts with little traffic.
    pub fn new(percent: u8, min_retries: u32) -> Self {
        Self {
            retries_per_100: percent.into(),
            min_retries: min_retries.into(),
            buckets: [Bucket::default(); WINDOW_BUCKETS],
        }
    }

    /// Counts a new request.
    pub fn on_request(&mut self, now: Millis) {
        self.bucket(now).requests += 1;
    }

    /// Takes one retry from the budget; returns whether the budget had one left.
    pub fn take(&mut self, now: Millis) -> bool {
        let (requests, retries) = self.window_totals(now);
        let allowed = self.min_retries.max(requests * self.retries_per_100 / PERCENT_SCALE);
        if retries >= allowed && !crate::defect::planted!(RetryWithoutBudget) {
            return false;
        }
        self.bucket(now).retries += 1;
        true
    }

    /// Returns the numbers of requests and of retries in the last ten seconds.
    pub fn window_totals(&self, now: Millis) -> (u64, u64) {
        let second = now.0 / BUCKET_SPAN.0;
        let live = |bucket: &&Bucket| bucket.second + (WINDOW_BUCKETS as u64) > second;
        self.buckets.iter().filter(live).fold((0, 0), |(requests, retries), bucket| {
            (requests + bucket.requests, retries + bucket.retries)
        })
    }

    fn bucket(&mut self, now: Millis) -> &mut Bucket {
        let second = now.0 / BUCKET_SPAN.0;
        let bucket = &mut self.buckets[second as usize % WINDOW_BUCKETS];
        if bucket.second != second {
            *bucket = Bucket { second, ..Bucket::default() };
        }
        bucket
    }
}
