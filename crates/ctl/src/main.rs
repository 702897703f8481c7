//! `yuccanotch-ctl`.

fn main() {}
