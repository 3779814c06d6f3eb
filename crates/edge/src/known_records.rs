//! Newest records of the store that this process knows, kept so that they can be passed on to peers.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegbay_core::world::Moment;
use nutmegbay_policy::edge::relay::Reads;

use crate::model::KeyedRecord;

/// Time for which the removal of an entry is passed on. Peers ask for changes every few seconds and
/// read the whole list where they cannot.
const REMOVAL_RETENTION: Duration = Duration::from_mins(1);

/// Newest records of the store that this process knows.
#[derive(Debug, Default)]
pub struct KnownRecords {
    /// The configuration.
    pub config: Option<KeyedRecord>,
    /// Position from which the configuration is read on.
    pub config_next: Option<u64>,
    /// As of when the configuration is known.
    pub config_at: Option<Moment>,
    /// The list of instances.
    instances: BTreeMap<Box<str>, Entry>,
    /// Position from which the list of instances is read on.
    pub instances_next: Option<u64>,
    /// As of when the list is known.
    pub instances_at: Option<Moment>,
    /// Position from which all removals are known.
    complete_from: Option<u64>,
    /// Reads of the store that this process itself has finished.
    pub reads: Reads,
}

/// Entry of the list of instances.
#[derive(Debug)]
struct Entry {
    record: KeyedRecord,
    /// Position at which it last said something new; later records are heartbeats.
    changed: u64,
    received_at: Moment,
}

impl KnownRecords {
    /// Keeps a record of the configuration unless a newer one is known.
    pub fn keep_config(&mut self, record: &KeyedRecord) {
        let is_newer = self
            .config
            .as_ref()
            .is_none_or(|kept| kept.offset < record.offset);
        if is_newer {
            self.config = Some(record.clone());
        }
    }

    /// Whether a record of the list, or a newer one of the same key, is known already.
    pub fn has_instance(&self, record: &KeyedRecord) -> bool {
        let kept = self.instances.get(&record.key);
        kept.is_some_and(|kept| kept.record.offset >= record.offset)
    }

    /// Keeps a record of the list, which says something new or is a heartbeat.
    pub fn keep_instance(&mut self, record: KeyedRecord, is_change: bool, now: Moment) {
        let before = self.instances.get(&record.key);
        let changed = match before {
            Some(before) if !is_change => before.changed,
            _ => record.offset,
        };
        let entry = Entry {
            changed,
            received_at: now,
            record,
        };
        self.instances.insert(entry.record.key.clone(), entry);
    }

    /// Notes that the list was read whole up to `end`. Removals before the first such read are not
    /// known.
    pub fn record_full_read(&mut self, end: u64) {
        self.complete_from.get_or_insert(end);
    }

    /// What a process that knows the list up to `next` does not know: the changes since then, or,
    /// with true, the whole list.
    pub fn instances_since(&self, next: Option<u64>) -> (bool, impl Iterator<Item = &KeyedRecord>) {
        let from = next.filter(|next| {
            let complete_from = self.complete_from;
            complete_from.is_some_and(|complete_from| *next >= complete_from)
        });
        let records = self
            .instances
            .values()
            .filter(move |entry| from.is_none_or(|from| entry.changed >= from))
            .map(|entry| &entry.record);
        (from.is_none(), records)
    }

    /// Forgets removals that everybody has heard of.
    pub fn sweep(&mut self, now: Moment) {
        let complete_from = &mut self.complete_from;
        self.instances.retain(|_, entry| {
            let is_kept =
                entry.record.value.is_some() || now.since(entry.received_at) < REMOVAL_RETENTION;
            if !is_kept {
                let after = Some(entry.changed + 1);
                *complete_from = (*complete_from).max(after);
            }
            is_kept
        });
    }

    /// Age of what is known of the list of instances.
    pub fn instances_age(&self, now: Moment) -> Duration {
        self.instances_at.map_or(now.0, |at| now.since(at))
    }

    /// Age of what is known of the configuration.
    pub fn config_age(&self, now: Moment) -> Duration {
        self.config_at.map_or(now.0, |at| now.since(at))
    }
}
