//! Pattern: the store comes back from an older copy, once and again.

use quetzal_mesh::{EraTagged, EraTracker, StoreEra};

#[test]
fn what_an_earlier_era_acknowledged_is_void() {
    let mut watch = EraTracker::default();
    assert!(!watch.is_outdated(Some(StoreEra(3))));
    let written = EraTagged {
        value: (),
        era: Some(StoreEra(3)),
    };
    assert!(written.is_current(watch.latest()));
    for era in [4, 5] {
        assert!(!watch.is_outdated(Some(StoreEra(era))));
        assert!(!written.is_current(watch.latest()), "era {era}");
    }
}

#[test]
fn a_late_answer_of_an_earlier_era_changes_nothing() {
    let mut watch = EraTracker::default();
    assert!(!watch.is_outdated(Some(StoreEra(2))));
    assert!(watch.is_outdated(Some(StoreEra(1))));
    assert_eq!(watch.latest(), Some(StoreEra(2)));
    assert!(!watch.is_outdated(Some(StoreEra(2))));
}

#[test]
fn a_store_that_tells_no_era_voids_nothing() {
    let mut watch = EraTracker::default();
    let read = EraTagged {
        value: 7,
        era: None,
    };
    assert!(!watch.is_outdated(None));
    assert!(read.is_current(watch.latest()));
    // The first era told voids what came before: it may be a later one.
    assert!(!watch.is_outdated(Some(StoreEra(1))));
    assert!(!read.is_current(watch.latest()));
    assert!(!watch.is_outdated(None));
}
