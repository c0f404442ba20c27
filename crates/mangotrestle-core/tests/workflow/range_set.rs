//! Tests of sets of numbers.

use std::collections::BTreeSet;

use mangotrestle_core::workflow::range_set::RangeSet;
use quickcheck::quickcheck;

fn set_of(numbers: &[u32]) -> RangeSet {
    let mut set = RangeSet::default();
    for &number in numbers {
        set.insert(number);
    }
    set
}

#[test]
fn numbers_that_are_added_in_order_take_one_range() {
    let numbers: Vec<u32> = (0..100_000).collect();

    let set = set_of(&numbers);

    assert_eq!(set.range_count(), 1);
    assert_eq!(set.count(), 100_000);
    assert_eq!(set.first_missing(0), 100_000);
}

#[test]
fn a_stored_set_is_read_whatever_the_order_of_its_ranges() {
    let stored = "[[7,9],[3,3],[0,2],[8,12],[2,3]]";

    let read: RangeSet = serde_json::from_str(stored).expect("a stored set");

    assert_eq!(read, set_of(&[0, 1, 2, 7, 8, 9, 10, 11]));
    assert_eq!(
        serde_json::to_string(&read).expect("JSON"),
        "[[0,3],[7,12]]"
    );
}

quickcheck! {
    fn the_set_agrees_with_a_set_of_numbers(numbers: Vec<u8>) -> bool {
        let numbers: Vec<u32> = numbers.into_iter().map(u32::from).collect();
        let naive: BTreeSet<u32> = numbers.iter().copied().collect();
        let set = set_of(&numbers);

        let first_missing = |from: u32| (from..=300).find(|number| !naive.contains(number));
        set.numbers().eq(naive.iter().copied())
            && set.count() == naive.len() as u64
            && (0..300).all(|number| set.contains(number) == naive.contains(&number))
            && (0..300).all(|number| Some(set.first_missing(number)) == first_missing(number))
    }
}
