//! `yuccanotch-entry`.

fn main() {}
