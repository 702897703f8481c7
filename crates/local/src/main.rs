//! `yuccanotch-local`.

fn main() {}
