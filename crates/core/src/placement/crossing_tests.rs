//! Tests of the allowance for domain crossings and of the choice of chains under it.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use yare::parameterized;

use crate::clock::Millis;
use crate::name::DomainName;
use crate::name::ServerName;
use crate::placement::chain::Chain;
use crate::placement::crossing::AllowanceChange;
use crate::placement::crossing::ChainChooser;
use crate::placement::crossing::CrossingBucket;
use crate::placement::crossing::CrossingShare;
use crate::placement::engine::EngineProfile;
use crate::placement::path;
use crate::placement::path::ChainNeeds;
use crate::placement::path::LayerHolder;
use crate::placement::path_tests::planned_holders;
use crate::placement::shortage;
use crate::placement::shortage::NoChain;
use crate::placement::tests::profile;

/// The tokens of a request of mean length in [`profile`].
const REQUEST_TOKENS: f64 = 995.0;
const HOSTS: usize = 72;

fn linked_profile() -> EngineProfile {
    EngineProfile { inter_domain_mbps: Some(2_720.0), activation_bytes: 18_000.0, ..profile() }
}

fn share(hosts: usize) -> CrossingShare {
    CrossingShare::new(&linked_profile(), hosts).expect("a link")
}

fn full_bucket() -> CrossingBucket {
    let mut bucket = CrossingBucket::new(Millis::ZERO, share(HOSTS));
    assert_eq!(bucket.fill(Millis(60_000), share(HOSTS)), Some(AllowanceChange::Available));
    bucket
}

fn empty_bucket() -> CrossingBucket {
    CrossingBucket::new(Millis::ZERO, share(HOSTS))
}

fn needs(domain: &DomainName) -> ChainNeeds<'_> {
    let tokens = REQUEST_TOKENS;
    ChainNeeds {
        domain,
        tokens,
        current: None,
        allowed_first: None,
        may_cross: true,
        max_prefill_backlog_ms: None,
        spread_seed: None,
    }
}

fn choose(holders: &[LayerHolder], domain: &str, bucket: &CrossingBucket) -> Option<Chain> {
    let profile = linked_profile();
    let tokens = REQUEST_TOKENS;
    let chooser = ChainChooser { profile: &profile, holders, tokens, bucket: Some(bucket) };
    chooser.choose(needs(&DomainName::new(domain)))
}

fn choose_other(
    holders: &[LayerHolder],
    current: &Chain,
    bucket: &CrossingBucket,
) -> Option<Chain> {
    let profile = linked_profile();
    let tokens = REQUEST_TOKENS;
    let chooser = ChainChooser { profile: &profile, holders, tokens, bucket: Some(bucket) };
    chooser.choose_other(needs(&current.first().domain), current)
}

fn without_layer(mut holders: Vec<LayerHolder>, domain: &str, layer: u16) -> Vec<LayerHolder> {
    let holds = |h: &LayerHolder| h.layers.from <= layer && layer < h.layers.to;
    holders.retain(|h| !(h.domain.as_str() == domain && holds(h)));
    holders
}

/// Fills the first-stage slots of the servers of all domains but `domain`.
fn with_slots_only_in(mut holders: Vec<LayerHolder>, domain: &str) -> Vec<LayerHolder> {
    for holder in holders.iter_mut().filter(|h| h.domain.as_str() != domain) {
        holder.load.first = 192.0;
    }
    holders
}

#[test]
fn the_share_of_a_host_is_an_equal_part_of_the_used_capacity() {
    let all = 2_720.0 * 1e6 / 8.0 / 18_000.0;
    assert!((share(HOSTS).tokens_per_s() - 0.7 * all / 72.0).abs() < 1e-6);
    assert_eq!(share(HOSTS).bucket_tokens(), 2.0 * REQUEST_TOKENS);
    assert_eq!(share(1).bucket_tokens(), share(1).tokens_per_s());
}

#[parameterized(
    no_link = { None, 18_000.0 },
    no_size = { Some(2_720.0), 0.0 },
    no_capacity = { Some(0.0), 18_000.0 },
    odd = { Some(f64::NAN), 18_000.0 },
)]
fn a_link_that_is_not_fully_described_sets_no_limit(mbps: Option<f64>, activation_bytes: f64) {
    let profile = EngineProfile { inter_domain_mbps: mbps, activation_bytes, ..profile() };
    assert_eq!(CrossingShare::new(&profile, HOSTS), None);
}

/// Guards against a burst of all hosts at once after a common restart.
#[test]
fn a_host_that_starts_has_no_allowance_until_its_share_has_accrued() {
    let mut bucket = empty_bucket();
    assert!(!bucket.holds(REQUEST_TOKENS));
    bucket.fill(Millis(5_000), share(HOSTS));
    assert!(!bucket.holds(REQUEST_TOKENS));
    bucket.fill(Millis(5_500), share(HOSTS));
    assert!(bucket.holds(REQUEST_TOKENS));
}

/// Guards against a log line for each request while the link is saturated.
#[test]
fn a_bucket_that_is_used_as_it_fills_reports_one_change() {
    let mut bucket = full_bucket();
    let mut changes = Vec::new();
    for at in (60_000..180_000).step_by(100) {
        changes.extend(bucket.fill(Millis(at), share(HOSTS)));
        if bucket.holds(REQUEST_TOKENS) {
            changes.extend(bucket.on_sent(REQUEST_TOKENS, 1));
        }
    }
    assert_eq!(changes, [AllowanceChange::Exhausted]);
    assert_eq!(bucket.fill(Millis(400_000), share(HOSTS)), Some(AllowanceChange::Available));
}

/// Guards against requests of more tokens than a bucket holds that are never allowed, or that exceed
/// the rate.
#[test]
fn a_request_larger_than_the_bucket_needs_a_full_one_and_leaves_a_debt() {
    let mut bucket = full_bucket();
    bucket.on_sent(10.0, 1);
    assert!(!bucket.holds(20_000.0));
    bucket.fill(Millis(61_000), share(HOSTS));
    assert!(bucket.holds(20_000.0));
    bucket.on_sent(20_000.0, 1);
    bucket.fill(Millis(61_000 + 90_000), share(HOSTS));
    assert!(!bucket.holds(1.0), "the debt of 18,000 tokens takes 98 s");
    bucket.fill(Millis(61_000 + 100_000), share(HOSTS));
    assert!(bucket.holds(1.0));
}

/// Load pattern: more and more hosts start. The share falls at once, and tokens accrue at the lower
/// of two rates.
#[test]
fn a_bucket_fills_at_the_lower_rate_when_the_number_of_hosts_changes() {
    for (before, after) in [(10, 72), (72, 10)] {
        let mut bucket = CrossingBucket::new(Millis::ZERO, share(before));
        bucket.fill(Millis(1_000), share(after));
        let accrued = share(72).tokens_per_s();
        assert!(bucket.holds(accrued - 1.0) && !bucket.holds(accrued + 1.0), "{before} {after}");
    }
}

proptest! {
    /// Load pattern: the link is shared by many hosts whose demand exceeds it, with requests of one
    /// to three crossings that begin or move. In any window the tokens of all hosts stay within the
    /// used capacity, the buckets, the overdrafts and the excess of the last request of each host.
    #[test]
    fn hosts_together_exceed_the_capacity_by_no_more_than_their_bursts(
        hosts in 1_usize..40,
        // Sending host, tokens, crossings, whether the request has begun, ms until the next one.
        requests in vec((any::<usize>(), 10.0_f64..4_000.0, 1_usize..4, any::<bool>(), 0_u64..30), 400),
    ) {
        let share = share(hosts);
        let mut buckets: Vec<_> =
            (0..hosts).map(|_| CrossingBucket::new(Millis::ZERO, share)).collect();
        let mut now = Millis::ZERO;
        let mut excess = 0.0_f64;
        let burst = hosts as f64 * (2.0 * share.bucket_tokens() + 3.0 * 4_000.0);
        for (host, tokens, crossings, has_begun, pause) in requests {
            let bucket = &mut buckets[host % hosts];
            bucket.fill(now, share);
            let total = tokens * crossings as f64;
            if bucket.holds(tokens) || (has_begun && bucket.may_overdraw(total)) {
                bucket.on_sent(tokens, crossings);
                excess += total;
            }
            assert!(excess <= burst, "{excess} tokens above the rate, {burst} allowed");
            now = now + Millis(pause);
            let accrued = share.tokens_per_s() * hosts as f64 * pause as f64 / 1e3;
            excess = (excess - accrued).max(0.0);
        }
    }
}

/// Load pattern: a failure domain lost a stage while the others have capacity.
#[test]
fn without_an_allowance_a_request_goes_to_a_domain_that_holds_all_layers() {
    let holders = without_layer(planned_holders(), "b", 40);
    let chain = choose(&holders, "b", &empty_bucket()).expect("a chain");
    assert_eq!(chain.crossings(), 0);
    assert_ne!(chain.first().domain.as_str(), "b");
}

/// Load pattern: a failure domain lost a stage, and requests can begin only there.
#[test]
fn with_an_allowance_a_request_crosses_domains_and_takes_its_tokens() {
    let holders = with_slots_only_in(without_layer(planned_holders(), "b", 40), "b");
    let mut bucket = full_bucket();
    let chain = choose(&holders, "b", &bucket).expect("a chain");
    assert!(chain.crossings() > 0);
    bucket.on_sent(REQUEST_TOKENS, chain.crossings());
    bucket.on_sent(REQUEST_TOKENS, chain.crossings());
    assert_eq!(choose(&holders, "b", &bucket), None);
    assert!(bucket.totals().granted >= REQUEST_TOKENS);
}

/// Load pattern: the link is saturated, and only chains across domains have room. The shortage that
/// is reported must be that of the link.
#[test]
fn on_a_saturated_link_a_request_without_room_in_one_domain_is_refused() {
    let holders = with_slots_only_in(without_layer(planned_holders(), "b", 40), "b");
    assert_eq!(choose(&holders, "b", &empty_bucket()), None);
    let domain = DomainName::new("b");
    let profile = linked_profile();
    let within = ChainNeeds { may_cross: false, ..needs(&domain) };
    let reason = shortage::explain_no_chain(&profile, &holders, within);
    assert_eq!(reason, NoChain::OnlyAcrossDomains);
    assert!(path::choose_chain(&profile, &holders, needs(&domain)).is_some());
}

/// Load pattern: no failure domain holds the whole model, and the buckets are empty.
#[test]
fn where_no_domain_holds_all_layers_requests_cross_without_an_allowance() {
    let mut holders = without_layer(planned_holders(), "a", 10);
    holders = without_layer(without_layer(holders, "b", 40), "c", 70);
    assert!(!shortage::has_complete_domain(&linked_profile(), &holders));
    let mut bucket = empty_bucket();
    for _ in 0..50 {
        let chain = choose(&holders, "a", &bucket).expect("a chain");
        assert!(chain.crossings() > 0);
        bucket.on_sent(REQUEST_TOKENS, chain.crossings());
    }
    assert!(bucket.totals().overdrawn >= 50.0 * REQUEST_TOKENS);
    bucket.fill(Millis(40_000), share(HOSTS));
    assert!(bucket.holds(REQUEST_TOKENS), "the debt is bounded");
}

/// Load pattern: a crash takes the stage of many answers that have begun, the other domains have no
/// room for their first stage, and the link is saturated.
#[test]
fn answers_that_have_begun_overdraw_the_bucket_by_a_bounded_amount() {
    let all = with_slots_only_in(planned_holders(), "b");
    let current = choose(&all, "b", &empty_bucket()).expect("a chain");
    assert_eq!(current.crossings(), 0);
    let holders = without_layer(all, "b", 40);
    let mut bucket = empty_bucket();
    bucket.fill(Millis(100), share(HOSTS));
    let mut moved = 0;
    while let Some(chain) = choose_other(&holders, &current, &bucket) {
        moved += 1;
        assert!(moved < 10, "unbounded");
        bucket.on_moved(REQUEST_TOKENS, chain.crossings_beyond(&current));
    }
    assert!(moved > 0);
    assert!(bucket.totals().overdrawn <= share(HOSTS).bucket_tokens() + REQUEST_TOKENS);
}

/// Guards against a request that moves all its later stages, with their prefill, because its
/// chain crosses domains where it did before.
#[test]
fn a_request_whose_other_stages_cross_domains_keeps_them_without_an_allowance() {
    let holders = with_slots_only_in(without_layer(planned_holders(), "b", 79), "b");
    let current = choose(&holders, "b", &full_bucket()).expect("a chain");
    assert!(current.crossings() > 0);
    let beside_no_crossing =
        current.stages().windows(3).find(|s| s.iter().all(|stage| stage.domain == s[0].domain));
    let lost = beside_no_crossing.expect("three stages in one domain")[1].server.clone();
    let mut left = holders.clone();
    // A copy of the lost stage's server stands in for another holder of its layers.
    let mut copy = left.iter().find(|h| h.server == lost).expect("a holder").clone();
    copy.server = ServerName::new("copy");
    copy.address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 80);
    left.retain(|h| h.server != lost);
    left.push(copy);
    let after = choose_other(&left, &current, &empty_bucket()).expect("a chain");
    assert_eq!(after.crossings_beyond(&current), 0);
    assert!(after.crossings() > 0);
}

/// Guards against a change for services whose configuration names no link.
#[test]
fn without_a_link_chains_are_chosen_as_if_there_were_no_limit() {
    let profile = profile();
    let domain = DomainName::new("b");
    for holders in [
        planned_holders(),
        without_layer(planned_holders(), "b", 40),
        with_slots_only_in(without_layer(planned_holders(), "b", 40), "b"),
    ] {
        let chooser = ChainChooser {
            profile: &profile,
            holders: &holders,
            tokens: REQUEST_TOKENS,
            bucket: None,
        };
        let expected = path::choose_chain(&profile, &holders, needs(&domain));
        assert_eq!(chooser.choose(needs(&domain)), expected);
        let current = expected.expect("a chain");
        let need = ChainNeeds { current: Some(&current), ..needs(&domain) };
        let moved = chooser.choose_other(needs(&domain), &current);
        assert_eq!(moved, path::choose_chain(&profile, &holders, need));
    }
}
