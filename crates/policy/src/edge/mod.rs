//! Decisions of the edge: request placement, admission, upstream health, the retry budget, and the
//! exchange of load and store changes between instances.

pub mod account_shares;
pub mod admission;
pub mod attempts;
pub mod body_budget;
pub mod budget;
pub mod engine_pace;
pub mod engine_view;
pub mod entry_age;
pub mod even_load;
pub mod exchange;
pub mod expiry_grace;
pub mod health;
pub mod held_responses;
pub mod limit_owners;
pub mod link;
pub mod load;
pub mod notices;
pub mod own_delay;
pub mod pending_work;
pub mod placement;
pub mod planned_stop;
pub mod prefill_rate;
pub mod prefixes;
pub mod presence;
pub mod quota;
pub mod relay;
pub mod silence;
pub mod software_versions;
pub mod stream_hosts;
pub mod stream_origins;
pub mod stream_slots;
pub mod upload_wait;
pub mod upstream_limit;
pub mod upstream_memory;
pub mod urgency;
