//! Embedded deployment: the platform, backend servers and entry hosts in one process.
