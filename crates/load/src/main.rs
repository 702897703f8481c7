//! `yuccanotch-load`.

fn main() {}
