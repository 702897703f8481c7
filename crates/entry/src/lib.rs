//! Entry host: callers, routing, pipeline streams, peer links, admin port.
