//! This host's share of the link between failure domains, and when the chain of a request may use
//! it.
//!
//! The link carries a limited number of tokens per second, since each token of a request sends its
//! activations over every hop of its chain. All hosts share it; each keeps to an equal part without
//! messages to the others.

use crate::clock::Millis;
use crate::placement::chain::Chain;
use crate::placement::engine::EngineProfile;
use crate::placement::path;
use crate::placement::path::ChainNeeds;
use crate::placement::path::LayerHolder;
use crate::placement::shortage;

/// The part of the link's capacity that the hosts use. The rest is left for hosts that start in the
/// meantime, for requests that exceed their expected length and for overdrafts.
const USED_CAPACITY_RATIO: f64 = 0.7;
/// The number of requests of mean length whose tokens a bucket holds at least. With one, a request
/// of more than mean length would always need a debt.
const MIN_BUCKET_REQUESTS: f64 = 2.0;
/// The time in which the share fills a bucket at least, so that the share of a fast link is not
/// lost between requests.
const MIN_FILL_TIME: Millis = Millis(1_000);

/// The part of the link between failure domains that one host may use for a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CrossingShare {
    tokens_per_s: f64,
    bucket_tokens: f64,
    mean_request_tokens: f64,
}

impl CrossingShare {
    /// Returns the share of one of `hosts` hosts; `None` if the capacity of the link is not known.
    pub fn new(profile: &EngineProfile, hosts: usize) -> Option<Self> {
        let capacity = profile.inter_domain_tokens_per_s()?;
        let tokens_per_s = USED_CAPACITY_RATIO * capacity / hosts.max(1) as f64;
        let mean_request_tokens = profile.mean_prompt_tokens + profile.mean_answer_tokens;
        let min_fill = tokens_per_s * MIN_FILL_TIME.0 as f64 / 1e3;
        let bucket_tokens = min_fill.max(MIN_BUCKET_REQUESTS * mean_request_tokens);
        Some(Self { tokens_per_s, bucket_tokens, mean_request_tokens })
    }

    /// Returns the rate at which the bucket fills, in tokens per second.
    pub fn tokens_per_s(self) -> f64 {
        self.tokens_per_s
    }

    /// Returns the size of the bucket, in tokens. The overdraft has the same size.
    pub fn bucket_tokens(self) -> f64 {
        self.bucket_tokens
    }
}

/// A change between having tokens for requests of mean length and having none.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AllowanceChange {
    /// The bucket no longer holds the tokens of a request of mean length.
    Exhausted,
    /// The bucket is full again.
    Available,
}

/// The tokens that were asked of a bucket since it was created.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CrossingTotals {
    /// The tokens taken by requests for which the bucket held the tokens of a crossing.
    pub granted: f64,
    /// The tokens taken beyond what the bucket held: by requests that had begun, and while no
    /// failure domain held all layers.
    pub overdrawn: f64,
    /// The tokens of requests that were sent within a failure domain, or nowhere, while the bucket
    /// did not hold the tokens of a crossing.
    pub refused: f64,
}

impl CrossingTotals {
    /// Returns the tokens with the names of their outcomes.
    pub fn by_outcome(self) -> [(&'static str, f64); 3] {
        [("granted", self.granted), ("overdrawn", self.overdrawn), ("refused", self.refused)]
    }
}

/// The token bucket that limits the domain crossings of one service at one host.
///
/// It starts empty. A request of more tokens than it can hold needs a full bucket and leaves a debt,
/// so that the long-run rate holds for requests of any size.
#[derive(Debug, Default)]
pub struct CrossingBucket {
    share: CrossingShare,
    balance: f64,
    filled_at: Millis,
    has_allowance: bool,
    totals: CrossingTotals,
}

impl CrossingBucket {
    /// Creates an empty bucket.
    pub fn new(now: Millis, share: CrossingShare) -> Self {
        Self { share, filled_at: now, ..Self::default() }
    }

    /// Returns the share that fills the bucket.
    pub fn share(&self) -> CrossingShare {
        self.share
    }

    /// Returns the tokens asked for so far.
    pub fn totals(&self) -> CrossingTotals {
        self.totals
    }

    /// Adds the tokens that accrued until `now`, at the lower of the rates of `share` and of the share
    /// before it. Returns whether the host has an allowance again.
    pub fn fill(&mut self, now: Millis, share: CrossingShare) -> Option<AllowanceChange> {
        let rate = self.share.tokens_per_s.min(share.tokens_per_s);
        let accrued = rate * now.since(self.filled_at).0 as f64 / 1e3;
        self.balance = (self.balance + accrued).min(share.bucket_tokens);
        self.filled_at = self.filled_at.max(now);
        self.share = share;
        if self.has_allowance || self.balance < share.bucket_tokens {
            return None;
        }
        self.has_allowance = true;
        Some(AllowanceChange::Available)
    }

    /// Returns whether the bucket holds `tokens`, or is full if that is less.
    pub fn holds(&self, tokens: f64) -> bool {
        self.share.bucket_tokens > 0.0 && self.balance >= tokens.min(self.share.bucket_tokens)
    }

    /// Returns whether a request that has begun may take `tokens`: the overdraft, which is as large
    /// as the bucket, is not used up.
    pub fn may_overdraw(&self, tokens: f64) -> bool {
        let overdraft = self.share.bucket_tokens;
        overdraft > 0.0 && self.balance >= tokens.min(overdraft) - overdraft
    }

    /// Takes the tokens of a request that is sent, of `tokens` tokens for each of the `crossings` of
    /// its chain. Returns whether the host has no allowance any more.
    pub fn on_sent(&mut self, tokens: f64, crossings: usize) -> Option<AllowanceChange> {
        if crossings == 0 && !self.holds(tokens) {
            self.totals.refused += tokens;
        }
        self.take(tokens, crossings)
    }

    /// Takes the tokens of a request that is moved, of `tokens` tokens for each of the `crossings`
    /// that its chain did not have before. Returns whether the host has no allowance any more.
    pub fn on_moved(&mut self, tokens: f64, crossings: usize) -> Option<AllowanceChange> {
        self.take(tokens, crossings)
    }

    /// Counts a request of `tokens` tokens that only a chain across domains could have served.
    pub fn on_refused(&mut self, tokens: f64) {
        self.totals.refused += tokens;
    }

    /// Takes `tokens` for each of `crossings`. The debt does not grow while the overdraft is used up,
    /// so that a time in which no other chain existed does not forbid crossings for long after it.
    fn take(&mut self, tokens: f64, crossings: usize) -> Option<AllowanceChange> {
        let taken = tokens * crossings as f64;
        if self.holds(tokens) {
            self.totals.granted += taken;
        } else {
            self.totals.overdrawn += taken;
        }
        if self.balance > -self.share.bucket_tokens {
            self.balance -= taken;
        }
        if !self.has_allowance || self.balance >= self.share.mean_request_tokens {
            return None;
        }
        self.has_allowance = false;
        Some(AllowanceChange::Exhausted)
    }
}

/// The choice of chains under the allowance for domain crossings.
#[derive(Clone, Copy, Debug)]
pub struct ChainChooser<'a> {
    /// The engines of the service.
    pub profile: &'a EngineProfile,
    /// The servers that may be stages.
    pub holders: &'a [LayerHolder],
    /// The tokens of the prompt and of the expected answer.
    pub tokens: f64,
    /// The bucket of the service; `None` if crossings are not limited.
    pub bucket: Option<&'a CrossingBucket>,
}

impl ChainChooser<'_> {
    /// Returns whether a request that has not begun may cross domains.
    ///
    /// It may if the bucket holds the tokens of one crossing. If no failure domain holds all layers,
    /// it may without an allowance, since no other chain exists.
    pub fn may_cross(&self) -> bool {
        self.has_allowance() || !shortage::has_complete_domain(self.profile, self.holders)
    }

    /// Returns whether the bucket holds the tokens of one crossing.
    pub fn has_allowance(&self) -> bool {
        self.bucket.is_none_or(|bucket| bucket.holds(self.tokens))
    }

    /// Chooses the chain of a request that is to be sent. The choice is within one domain if there
    /// is no allowance and a domain has room.
    pub fn choose(&self, needs: ChainNeeds<'_>) -> Option<Chain> {
        if self.has_allowance() {
            return self.choose_across(needs);
        }
        let within = self.choose_within(needs);
        if within.is_some() || !self.may_cross() {
            return within;
        }
        self.choose_across(needs)
    }

    /// Chooses another chain for a request that has begun on `current`. Hops that `current` has need
    /// no allowance again. Without an allowance, and without a chain within one domain, the request
    /// may overdraw the bucket, or cross without one if no domain holds all layers.
    pub fn choose_other(&self, needs: ChainNeeds<'_>, current: &Chain) -> Option<Chain> {
        let needs = ChainNeeds { current: Some(current), ..needs };
        let across = self.choose_across(needs)?;
        let crossings = across.crossings_beyond(current);
        if crossings == 0 || self.has_allowance() {
            return Some(across);
        }
        let tokens = self.tokens * crossings as f64;
        let may_overdraw = || {
            let has_overdraft = self.bucket.is_none_or(|bucket| bucket.may_overdraw(tokens));
            has_overdraft || self.may_cross()
        };
        self.choose_within(needs).or_else(|| may_overdraw().then_some(across))
    }

    fn choose_within(&self, needs: ChainNeeds<'_>) -> Option<Chain> {
        let within = ChainNeeds { may_cross: false, ..needs };
        path::choose_chain(self.profile, self.holders, within)
    }

    fn choose_across(&self, needs: ChainNeeds<'_>) -> Option<Chain> {
        let across = ChainNeeds { may_cross: true, ..needs };
        path::choose_chain(self.profile, self.holders, across)
    }
}
