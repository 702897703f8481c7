//! Checks and resumption of token streams.
