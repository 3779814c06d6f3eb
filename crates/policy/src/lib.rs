//! Routing, limits and role planning, free of input and output.
