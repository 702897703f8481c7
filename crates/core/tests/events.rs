//! Checks that `docs/EVENTS.md` lists each log event with its number, level and text, and that
//! the numbers are unique.

use std::collections::HashSet;
use std::fs;

use yuccanotch_core::event::Event;

/// Reads the catalogue of log events.
fn catalogue() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/EVENTS.md");
    fs::read_to_string(path).expect("docs/EVENTS.md can be read")
}

#[test]
fn catalogue_lists_every_event() {
    let catalogue = catalogue();
    let missing: Vec<String> = Event::ALL
        .iter()
        .map(|event| {
            let level = event.level().as_str().to_lowercase();
            format!("| {} | {level} | {} |", event.number(), event.text())
        })
        .filter(|row| !catalogue.contains(row.as_str()))
        .collect();
    assert!(missing.is_empty(), "rows missing in docs/EVENTS.md:\n{}", missing.join("\n"));
}

#[test]
fn event_numbers_are_unique() {
    let numbers: HashSet<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    assert_eq!(numbers.len(), Event::ALL.len());
}
