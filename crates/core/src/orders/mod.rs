//! Orders that bring backend servers to their declared placement.
