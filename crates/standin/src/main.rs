//! `yuccanotch-standin`.

fn main() {}
