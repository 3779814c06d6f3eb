//! Newest store records known to this process, kept so that it can pass them on to peers.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::position::Position;
use nutmegbay_policy::edge::entry_age::EntryAge;
use nutmegbay_policy::edge::relay::ReadCounts;

use crate::model::KeyedRecord;

/// Time for which the removal of an entry is passed on. Peers ask for changes every few seconds; a
/// peer that asks too late reads the whole list.
const REMOVAL_RETENTION: Duration = Duration::from_mins(1);

/// Newest store records known to this process.
#[derive(Debug, Default)]
pub struct KnownRecords {
    /// Configuration record.
    pub config: Option<KeyedRecord>,
    /// Position from which the configuration is read next.
    pub config_next: Option<Position>,
    /// Time as of which the configuration is known to be current.
    pub config_at: Option<MonotonicTime>,
    /// Entries of the list of instances, by key.
    instances: BTreeMap<Box<str>, Entry>,
    /// Position from which the list of instances is read next.
    pub instances_next: Option<Position>,
    /// Time as of which the list is known to be current.
    pub instances_at: Option<MonotonicTime>,
    /// Start of the newest read of the list by this process. Unlike the age that a relay states, it
    /// is not too recent if this process was paused while a reply waited for it.
    pub instances_read_at: Option<MonotonicTime>,
    /// Position from which every removal is known.
    complete_from: Option<Position>,
    /// Era of the store at the newest read of the list.
    list_era: Option<u64>,
    /// Number of store reads that this process itself has completed.
    pub reads: ReadCounts,
}

/// Entry of the list of instances.
#[derive(Debug)]
struct Entry {
    record: KeyedRecord,
    /// Age of the entry, or of the last one before its removal.
    age: EntryAge,
    /// Position of the last record that changed the entry; later records are heartbeats.
    changed: Position,
    received_at: MonotonicTime,
}

impl KnownRecords {
    /// Stores a configuration record. If it is outdated, which means that its version is lower than
    /// the known one, only its position is stored: peers that know the topic up to there lack the
    /// known version.
    pub fn keep_config(&mut self, record: &KeyedRecord, is_outdated: bool) {
        let known = self.config.take();
        let position = known
            .as_ref()
            .map_or(record.position, |known| known.position.max(record.position));
        let newest = known.filter(|_| is_outdated).unwrap_or(record.clone());
        self.config = Some(KeyedRecord { position, ..newest });
    }

    /// Returns whether this record of the list, or a newer one with the same key, is already known.
    pub fn has_instance(&self, record: &KeyedRecord) -> bool {
        let known = self.instances.get(&record.key);
        known.is_some_and(|known| known.record.position >= record.position)
    }

    /// Returns whether a record of the list contains an outdated entry. The known one then takes its
    /// position, so that peers which know the list up to there receive the known one.
    pub fn is_outdated(&mut self, record: &KeyedRecord, age: EntryAge) -> bool {
        let Some(known) = self.instances.get_mut(&record.key) else {
            return false;
        };
        let is_restored = known.record.position.era < record.position.era;
        let is_outdated = age.is_outdated(known.age, is_restored);
        if is_outdated {
            known.record.position = record.position;
            known.changed = record.position;
        }
        is_outdated
    }

    /// Stores a record of the list, whose entry has the given age. `is_change` is false for a
    /// heartbeat.
    pub fn keep_instance(
        &mut self,
        record: KeyedRecord,
        age: EntryAge,
        is_change: bool,
        now: MonotonicTime,
    ) {
        let before = self.instances.get(&record.key);
        let age = match (&record.value, before) {
            (None, Some(before)) => before.age,
            _ => age,
        };
        let changed = match before {
            Some(before) if !is_change => before.changed,
            _ => record.position,
        };
        let entry = Entry {
            age,
            changed,
            received_at: now,
            record,
        };
        self.instances.insert(entry.record.key.clone(), entry);
    }

    /// Records that the whole list was read up to `end`. Removals before the first such read
    /// are unknown.
    pub fn record_full_read(&mut self, end: Position) {
        let complete_from = self.complete_from.get_or_insert(end);
        if complete_from.era < end.era {
            *complete_from = end;
        }
    }

    /// Records that the list is read in `era`. Returns whether an earlier list was read before the
    /// store was restored.
    pub fn record_list_era(&mut self, era: u64) -> bool {
        let before = self.list_era.replace(era);
        before.is_some_and(|before| before < era)
    }

    /// Returns the entries that a process lacks which knows the list up to `next`. The flag is true
    /// if they are the whole list, and false if they are the changes since `next`.
    pub fn instances_since(
        &self,
        next: Option<Position>,
    ) -> (bool, impl Iterator<Item = &KeyedRecord>) {
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

    /// Drops removals that were kept for [`REMOVAL_RETENTION`].
    pub fn sweep(&mut self, now: MonotonicTime) {
        let complete_from = &mut self.complete_from;
        self.instances.retain(|_, entry| {
            let is_kept =
                entry.record.value.is_some() || now.since(entry.received_at) < REMOVAL_RETENTION;
            if !is_kept {
                let after = Some(entry.changed.next());
                *complete_from = (*complete_from).max(after);
            }
            is_kept
        });
    }

    /// Returns the age of the known list of instances.
    pub fn instances_age(&self, now: MonotonicTime) -> Duration {
        self.instances_at.map_or(now.0, |at| now.since(at))
    }

    /// Returns the age of the known configuration.
    pub fn config_age(&self, now: MonotonicTime) -> Duration {
        self.config_at.map_or(now.0, |at| now.since(at))
    }
}
