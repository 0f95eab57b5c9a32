//! Tests how long departures of endpoints are remembered and what refutes them.

use std::rc::Rc;

use sycamorefork::departures::Departures;
use sycamorefork::time::Ms;

/// Time after which departures that rows show are forgotten.
const FORGOTTEN: Ms = Ms::secs(61);
/// Start of the incarnation that leaves.
const START: u64 = 1_700_000_000_000;

fn announced() -> (Departures, Rc<str>) {
    let id: Rc<str> = Rc::from("i-1");
    let mut departures = Departures::default();
    assert!(departures.announce(Ms(0), &id, START));
    assert!(!departures.announce(Ms(0), &id, START));
    (departures, id)
}

#[test]
fn what_an_endpoint_has_said_is_not_forgotten_while_it_is_listed() {
    let (mut departures, id) = announced();
    departures.expire(FORGOTTEN, |_| true);
    assert!(departures.overrides(&id, 100, START), "its entry is newer and still says ready");
    assert_eq!(departures.announced().collect::<Vec<_>>(), [(&id, START)]);
    departures.expire(FORGOTTEN, |_| false);
    assert!(!departures.contains(&id));
}

#[test]
fn new_incarnation_is_free_of_what_the_former_one_has_said() {
    let (mut departures, id) = announced();
    assert!(!departures.overrides(&id, 100, START + 1));
    assert!(!departures.contains(&id));
}

#[test]
fn new_incarnation_that_has_left_by_its_row_stays_gone() {
    let (mut departures, id) = announced();
    departures.record(Ms(0), &id, 200);
    assert!(departures.overrides(&id, 100, START + 1));
    assert!(!departures.overrides(&id, 300, START + 1), "a newer entry says that it is back");
}

#[test]
fn beats_list_what_rows_show_apart_from_what_answers_say() {
    let (mut departures, id) = announced();
    let other: Rc<str> = Rc::from("i-2");
    departures.record(Ms(0), &other, 200);
    assert_eq!(departures.recent(Ms(1), Ms::secs(10)).collect::<Vec<_>>(), [(&other, 200)]);
    assert_eq!(departures.announced().collect::<Vec<_>>(), [(&id, START)]);
}
