//! Snapshots of a replica's state, which shorten the start of a process.
//!
//! The holder of the snapshot lease appends a mark, then the serialized state as of the mark in
//! parts. Every other replica verifies the digest of the parts against its own state.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::append::{Appender, Input};
use crate::environment::{Append, Environment};
use crate::ids::{Epoch, Fingerprint, Offset};
use crate::lease::LeaseKeeper;
use crate::record::{Body, Record, SCHEMA, SnapshotMark, SnapshotPart};
use crate::replica::{Applied, Replica};

/// Default length of the text of one part in bytes. Escaped as JSON, it stays well under 1 MiB.
pub const PART_BYTES: usize = 64 * 1024;

/// Serialized state of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaSnapshot {
    /// It contains the effect of all records below this offset.
    pub as_of: Offset,
    /// Hash of `text`.
    pub digest: Fingerprint,
    /// State as JSON.
    pub text: Box<str>,
}

/// Content of [`ReplicaSnapshot::text`].
#[derive(Serialize, Deserialize)]
struct SnapshotContent<R> {
    schema: u16,
    replica: R,
}

impl ReplicaSnapshot {
    /// Serializes the state of a replica.
    ///
    /// # Panics
    ///
    /// Never: all map keys of the state are serialized as strings, as JSON requires.
    pub fn of(replica: &Replica) -> Self {
        let content = SnapshotContent {
            schema: SCHEMA,
            replica,
        };
        let text = serde_json::to_string(&content).expect("all map keys of the state are strings");
        Self::from_text(replica.next(), text.into())
    }

    /// Snapshot from a text that was received; computes its digest.
    pub fn from_text(as_of: Offset, text: Box<str>) -> Self {
        let digest = Fingerprint(xxh3_128(text.as_bytes()));
        Self {
            as_of,
            digest,
            text,
        }
    }

    /// Restores the replica.
    ///
    /// Fails if the text does not contain the state of a replica, has another schema version, or is
    /// as of another offset than `as_of`.
    pub fn load(&self) -> Result<Replica, InvalidSnapshot> {
        let content: SnapshotContent<Replica> =
            serde_json::from_str(&self.text).map_err(|_| InvalidSnapshot::Unreadable)?;
        if content.schema != SCHEMA {
            return Err(InvalidSnapshot::SchemaMismatch);
        }
        if content.replica.next() != self.as_of {
            return Err(InvalidSnapshot::OffsetMismatch);
        }
        Ok(content.replica)
    }

    /// Splits the text into parts of at most `part_bytes` bytes, to be appended in order under the
    /// fencing number `epoch`.
    pub fn split(&self, epoch: Epoch, part_bytes: usize) -> Vec<SnapshotPart> {
        let mut texts = Vec::new();
        let mut rest = &*self.text;
        while !rest.is_empty() {
            let end = rest.floor_char_boundary(part_bytes.max(4));
            let (text, tail) = rest.split_at(end);
            texts.push(text);
            rest = tail;
        }
        let parts = u32::try_from(texts.len()).unwrap_or(u32::MAX);
        (0..parts)
            .zip(texts)
            .map(|(part, text)| SnapshotPart {
                as_of: self.as_of,
                epoch,
                part,
                parts,
                digest: self.digest,
                text: text.into(),
            })
            .collect()
    }
}

/// Error of [`ReplicaSnapshot::load`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidSnapshot {
    /// The text does not contain the state of a replica.
    Unreadable,
    /// It was written with another schema version.
    SchemaMismatch,
    /// The state is as of another offset than [`ReplicaSnapshot::as_of`].
    OffsetMismatch,
}

impl fmt::Display for InvalidSnapshot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreadable => "the snapshot does not contain the state of a replica",
            Self::SchemaMismatch => "the snapshot was written with another schema version",
            Self::OffsetMismatch => {
                "the state in the snapshot is as of another offset than it claims"
            }
        })
    }
}

impl std::error::Error for InvalidSnapshot {}

/// Assembles snapshots from the log records that hold their parts, and keeps the latest complete
/// one.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    parts: Vec<SnapshotPart>,
    latest: Option<ReplicaSnapshot>,
}

impl SnapshotAssembler {
    /// Examines the next record of the log. Records of other kinds and parts out of order are
    /// ignored.
    pub fn add_record(&mut self, raw_json: &str) {
        // Most records are of other kinds, and a text search is far cheaper than parsing them.
        if !raw_json.contains("\"snapshot_part\"") {
            return;
        }
        let Ok(record) = serde_json::from_str::<Record>(raw_json) else {
            return;
        };
        let (Body::SnapshotPart(part), SCHEMA) = (record.body, record.schema) else {
            return;
        };
        let is_same_snapshot = |first: &SnapshotPart| {
            let expected = (first.as_of, first.epoch, first.digest, first.parts);
            (part.as_of, part.epoch, part.digest, part.parts) == expected
        };
        let expected_part = u32::try_from(self.parts.len()).unwrap_or(u32::MAX);
        if part.part == 0 {
            self.parts.clear();
        } else if part.part != expected_part || !self.parts.first().is_some_and(is_same_snapshot) {
            return;
        }
        self.parts.push(part);
        self.finish_if_complete();
    }

    /// Latest complete snapshot whose text matches its digest.
    pub fn latest(&self) -> Option<&ReplicaSnapshot> {
        self.latest.as_ref()
    }

    fn finish_if_complete(&mut self) {
        let Some(first) = self.parts.first() else {
            return;
        };
        if first.parts as usize != self.parts.len() {
            return;
        }
        let text: String = self.parts.iter().map(|part| &*part.text).collect();
        let snapshot = ReplicaSnapshot::from_text(first.as_of, text.into());
        if snapshot.digest == first.digest {
            self.latest = Some(snapshot);
        }
        self.parts.clear();
    }
}

/// Writes snapshots while this process holds the snapshot lease, and verifies those of other
/// holders.
pub struct Snapshotter {
    record_interval: u64,
    part_bytes: usize,
    appender: Appender,
    /// Fencing number of the own mark whose append is in flight.
    pending_mark: Option<Epoch>,
    /// Own state at the last mark: offset and digest.
    own_state: Option<(Offset, Fingerprint)>,
    /// Parts of the own snapshot that are still to be appended.
    parts: VecDeque<SnapshotPart>,
    is_stopping: bool,
}

impl Snapshotter {
    /// Snapshotter that starts a snapshot when the log is `record_interval` records ahead of the
    /// last complete one, and writes it in parts of `part_bytes` bytes.
    pub fn new(instance: &str, record_interval: u64, part_bytes: usize) -> Self {
        Self {
            record_interval,
            part_bytes,
            appender: Appender::new(instance),
            pending_mark: None,
            own_state: None,
            parts: VecDeque::new(),
            is_stopping: false,
        }
    }

    /// Handles one event; `replica` is the state right after it. Returns the offset as of which a
    /// snapshot was taken, if it differs from this replica's own state at that offset.
    pub fn on_event<W>(
        &mut self,
        environment: &mut W,
        input: Input<'_>,
        replica: &Replica,
        lease: &LeaseKeeper,
    ) -> Option<Offset>
    where
        W: Environment<Effect: From<Append>>,
    {
        let is_complete = self.appender.on_input(environment.now(), input);
        let mut mismatch = None;
        match input {
            Input::Applied(_, Applied::Accepted(record)) => match &record.body {
                Body::SnapshotMark(mark) => self.on_mark(replica, mark.epoch),
                Body::SnapshotPart(part) => {
                    let differs = |own: &(Offset, Fingerprint)| {
                        own.0 == part.as_of && own.1 != part.digest && part.part + 1 == part.parts
                    };
                    mismatch = self.own_state.filter(differs).map(|own| own.0);
                }
                _ => {}
            },
            Input::Loaded(_) => {
                self.own_state = None;
                self.parts.clear();
            }
            Input::Stop => self.is_stopping = true,
            _ => {}
        }
        if is_complete {
            self.pending_mark = None;
        }
        if self.appender.can_send(environment.now()) {
            self.append_next(environment, replica, lease);
        }
        mismatch
    }

    fn on_mark(&mut self, replica: &Replica, epoch: Epoch) {
        let snapshot = ReplicaSnapshot::of(replica);
        self.own_state = Some((snapshot.as_of, snapshot.digest));
        self.parts.clear();
        if self.pending_mark == Some(epoch) {
            self.parts = snapshot.split(epoch, self.part_bytes).into();
        }
    }

    fn append_next<W>(&mut self, environment: &mut W, replica: &Replica, lease: &LeaseKeeper)
    where
        W: Environment<Effect: From<Append>>,
    {
        let Some(epoch) = lease.may_act(environment.now(), Duration::ZERO) else {
            self.parts.clear();
            return;
        };
        let snapshots = replica.snapshots();
        // Drops the parts that replay has accepted. A part whose append was lost is appended again.
        let expected_part = snapshots.expected_part();
        while self
            .parts
            .front()
            .is_some_and(|part| part.part < expected_part)
        {
            self.parts.pop_front();
        }
        if let Some(part) = self.parts.front() {
            let part = part.clone();
            self.appender
                .send(environment, vec![Body::SnapshotPart(part)]);
            return;
        }
        let last_complete = snapshots.complete().unwrap_or_default();
        let is_due = replica.next().0.saturating_sub(last_complete.0) >= self.record_interval;
        if is_due && !self.is_stopping {
            self.pending_mark = Some(epoch);
            self.appender.send(
                environment,
                vec![Body::SnapshotMark(SnapshotMark { epoch })],
            );
        }
    }
}
