//! Choice of a chain of backend servers for each attempt of a request.
