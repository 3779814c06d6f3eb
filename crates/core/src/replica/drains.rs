use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::Offset;
use crate::record::DrainRequest;

/// Requests kept; the oldest go first. Far more than the instances that drain at one time.
const KEPT: usize = 1024;

/// Instances that were asked to drain.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Drains {
    requests: BTreeMap<Box<str>, Offset>,
}

impl Drains {
    /// Whether `instance` was asked to drain at or after `since`, the head of the log when its
    /// process started: an older request was for a former process of that name.
    pub fn is_requested(&self, instance: &str, since: Offset) -> bool {
        self.requests.get(instance).is_some_and(|at| *at >= since)
    }

    /// Last request by instance.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Offset)> {
        self.requests.iter().map(|(name, at)| (&**name, *at))
    }

    pub(super) fn request(&mut self, offset: Offset, drain: &DrainRequest) {
        self.requests.insert(drain.instance.clone(), offset);
        if self.requests.len() > KEPT {
            let oldest = self.requests.iter().min_by_key(|(_, at)| **at);
            let oldest = oldest.map(|(name, _)| name.clone());
            oldest.map(|name| self.requests.remove(&name));
        }
    }
}
