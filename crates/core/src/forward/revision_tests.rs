//! Tests of the order of revisions over eras.

use yare::parameterized;

use super::item_log::Changes;
use super::item_log::ItemChange;
use super::item_log::ItemLog;
use super::revision::era_of;
use super::revision::order_over_eras;
use super::revision::revision_of;

#[parameterized(
    same_era = { (1, 7), (1, 8) },
    later_era_with_lower_revision = { (1, 90_000), (2, 3) },
    first_era = { (0, 90_000), (1, 0) },
    many_eras = { (4_000, 1 << 39), (4_001, 1) },
)]
fn a_later_era_comes_after_all_revisions_of_earlier_ones(earlier: (u64, u64), later: (u64, u64)) {
    let order = |(era, revision)| order_over_eras(era, revision);
    assert!(order(earlier) < order(later));
    assert_eq!((era_of(order(later)), revision_of(order(later))), later);
}

#[test]
fn a_log_takes_a_lower_revision_of_a_later_era_and_nothing_of_an_earlier_one_again() {
    let list = |era, revision, key: &str| Changes {
        is_complete: true,
        revision: order_over_eras(era, revision),
        items: vec![ItemChange {
            key: key.to_owned(),
            revision: order_over_eras(era, revision),
            value: Some("v".into()),
        }],
    };
    let mut log = ItemLog::default();
    log.merge(list(1, 900, "a"));
    let applied = log.merge(list(2, 5, "b"));
    let keys: Vec<(&str, bool)> =
        applied.iter().map(|c| (c.key.as_str(), c.value.is_some())).collect();
    assert_eq!(keys, [("a", false), ("b", true)]);
    assert_eq!(log.merge(list(1, 950, "a")), []);
    assert_eq!(log.revision(), order_over_eras(2, 5));
    assert!(log.changes_after(order_over_eras(1, 950)).is_complete);
}
