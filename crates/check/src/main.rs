//! `yuccanotch-check`: randomised runs, planted defects and measurements of the decision modules.

fn main() {}
