//! Process beside an upstream: the only path for its work and orders.
