//! Stand-ins for the platform and the backend servers, with faults and execution records.
