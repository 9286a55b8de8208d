//! Tests eras of a store that is restored from an older copy repeatedly.

use quetzal_mesh::{EraTagged, EraTracker, StoreEra};

#[test]
fn acknowledgements_of_an_earlier_era_are_invalid() {
    let mut tracker = EraTracker::default();
    assert!(!tracker.observe(Some(StoreEra(3))));
    let written = EraTagged {
        value: (),
        era: Some(StoreEra(3)),
    };
    assert!(written.is_current(tracker.latest()));
    for era in [4, 5] {
        assert!(!tracker.observe(Some(StoreEra(era))));
        assert!(!written.is_current(tracker.latest()), "era {era}");
    }
}

#[test]
fn a_late_response_of_an_earlier_era_is_outdated() {
    let mut tracker = EraTracker::default();
    assert!(!tracker.observe(Some(StoreEra(2))));
    assert!(tracker.observe(Some(StoreEra(1))));
    assert_eq!(tracker.latest(), Some(StoreEra(2)));
    assert!(!tracker.observe(Some(StoreEra(2))));
}

#[test]
fn values_without_an_era_are_valid_until_an_era_is_seen() {
    let mut tracker = EraTracker::default();
    let read = EraTagged {
        value: 7,
        era: None,
    };
    assert!(!tracker.observe(None));
    assert!(read.is_current(tracker.latest()));
    // Values from before the first known era may be of an earlier one, so they are invalid.
    assert!(!tracker.observe(Some(StoreEra(1))));
    assert!(!read.is_current(tracker.latest()));
    assert!(!tracker.observe(None));
}
