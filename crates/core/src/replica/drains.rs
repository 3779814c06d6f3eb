use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::Offset;
use crate::record::DrainRequest;

/// Maximum number of requests; the oldest is dropped first. Far above the number of instances that
/// drain at the same time.
const MAX_REQUESTS: usize = 1024;

/// Last drain request for each instance.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DrainRequests {
    requests: BTreeMap<Box<str>, Offset>,
}

impl DrainRequests {
    /// Whether `instance` was asked to drain at or after `since`, the head of the log when its
    /// process started. An older request was for an earlier process with the same name.
    pub fn is_requested(&self, instance: &str, since: Offset) -> bool {
        self.requests.get(instance).is_some_and(|at| *at >= since)
    }

    /// Instances that were asked to drain, each with the offset of the last request.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Offset)> {
        self.requests.iter().map(|(name, at)| (&**name, *at))
    }

    pub(super) fn request(&mut self, offset: Offset, drain: &DrainRequest) {
        self.requests.insert(drain.instance.clone(), offset);
        if self.requests.len() > MAX_REQUESTS {
            let oldest = self.requests.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.map(|name| self.requests.remove(&name));
        }
    }
}
