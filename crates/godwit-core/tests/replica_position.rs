//! Guards against positions of different eras that order wrongly, or whose revision reaches a store in another era.

use godwit_core::replica::{StorePosition, fencing_number};

const MAX_REVISION: u64 = (1 << 53) - 1;
const MAX_ERA: u64 = 2_047;

#[test]
fn position_of_a_later_era_is_later_whatever_the_revisions() {
    let last = StorePosition::new(3, MAX_REVISION).unwrap();
    let next = StorePosition::new(4, 0).unwrap();
    assert!(last < next);
    assert!(last.ordinal() < next.ordinal());
    assert_eq!(StorePosition::from_ordinal(last.ordinal()), last);
}

#[test]
fn position_gives_its_revision_back_only_in_its_era() {
    let position = StorePosition::new(MAX_ERA, MAX_REVISION).unwrap();
    assert_eq!(position.revision_in(MAX_ERA), Some(MAX_REVISION));
    assert_eq!(position.revision_in(MAX_ERA - 1), None);
    assert_eq!(position.revision_in(0), None);
}

#[test]
fn position_out_of_range_is_none() {
    assert_eq!(StorePosition::new(0, MAX_REVISION + 1), None);
    assert_eq!(StorePosition::new(MAX_ERA + 1, 1), None);
}

#[test]
fn fencing_number_rises_with_the_era_and_is_exact_in_json() {
    assert!(fencing_number(8, 1) > fencing_number(7, 1 << 39));
    assert!(fencing_number(8_191, 1 << 39) < 1 << 53);
}
