//! Snapshots of a replica in the log: marked, written in parts, verified by every replica, loaded.

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

/// Text of one part in bytes. Escaped as JSON it stays well under 1 MiB.
pub const PART_BYTES: usize = 64 * 1024;

/// Serialised state of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Image {
    /// It holds the effect of all records below this offset.
    pub as_of: Offset,
    /// Hash of the text.
    pub digest: Fingerprint,
    /// State in JSON.
    pub text: Box<str>,
}

/// Text of an [`Image`].
#[derive(Serialize, Deserialize)]
struct Content<R> {
    schema: u16,
    replica: R,
}

impl Image {
    /// Serialises the state of a replica.
    ///
    /// # Panics
    ///
    /// Never: all map keys of the state are written as text.
    pub fn of(replica: &Replica) -> Self {
        let content = Content {
            schema: SCHEMA,
            replica,
        };
        let text = serde_json::to_string(&content).expect("the state has text as map keys");
        Self::from_text(replica.next(), text.into())
    }

    /// Image with the digest of a text that was received.
    pub fn from_text(as_of: Offset, text: Box<str>) -> Self {
        let digest = Fingerprint(xxh3_128(text.as_bytes()));
        Self {
            as_of,
            digest,
            text,
        }
    }

    /// Restores the replica.
    pub fn load(&self) -> Result<Replica, InvalidImage> {
        let content: Content<Replica> =
            serde_json::from_str(&self.text).map_err(|_| InvalidImage::Unreadable)?;
        if content.schema != SCHEMA {
            return Err(InvalidImage::OtherSchema);
        }
        if content.replica.next() != self.as_of {
            return Err(InvalidImage::OtherOffset);
        }
        Ok(content.replica)
    }

    /// Parts for the log, in order.
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

/// Why an image cannot be loaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidImage {
    /// It is not the state of a replica.
    Unreadable,
    /// It was written in another record format.
    OtherSchema,
    /// It is not as of the offset that it claims.
    OtherOffset,
}

impl fmt::Display for InvalidImage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreadable => "the image does not hold the state of a replica",
            Self::OtherSchema => "the image was written in another record format",
            Self::OtherOffset => "the image is not as of the offset that it claims",
        })
    }
}

impl std::error::Error for InvalidImage {}

/// Finds the latest complete snapshot among log records.
#[derive(Debug, Default)]
pub struct Collector {
    parts: Vec<SnapshotPart>,
    latest: Option<Image>,
}

impl Collector {
    /// Looks at one record, in the order of the log.
    pub fn feed(&mut self, raw_json: &str) {
        // Most records are none; a search is far cheaper than parsing them.
        if !raw_json.contains("\"snapshot_part\"") {
            return;
        }
        let Ok(record) = serde_json::from_str::<Record>(raw_json) else {
            return;
        };
        let (Body::SnapshotPart(part), SCHEMA) = (record.body, record.schema) else {
            return;
        };
        let follows = |first: &SnapshotPart| {
            let expected = (first.as_of, first.epoch, first.digest, first.parts);
            (part.as_of, part.epoch, part.digest, part.parts) == expected
        };
        let count = u32::try_from(self.parts.len()).unwrap_or(u32::MAX);
        if part.part == 0 {
            self.parts.clear();
        } else if part.part != count || !self.parts.first().is_some_and(follows) {
            return;
        }
        self.parts.push(part);
        self.complete();
    }

    /// Latest snapshot whose text has its digest.
    pub fn latest(&self) -> Option<&Image> {
        self.latest.as_ref()
    }

    fn complete(&mut self) {
        let Some(first) = self.parts.first() else {
            return;
        };
        if first.parts as usize != self.parts.len() {
            return;
        }
        let text: String = self.parts.iter().map(|part| &*part.text).collect();
        let image = Image::from_text(first.as_of, text.into());
        if image.digest == first.digest {
            self.latest = Some(image);
        }
        self.parts.clear();
    }
}

/// Writes snapshots while this process holds the snapshot lease, and verifies those of others.
pub struct Snapshotter {
    every: u64,
    part_bytes: usize,
    appender: Appender,
    mark: Option<Epoch>,
    /// Own state at the last mark: offset and digest.
    own: Option<(Offset, Fingerprint)>,
    parts: VecDeque<SnapshotPart>,
    is_stopping: bool,
}

impl Snapshotter {
    /// Snapshotter that writes one after each `every` records.
    pub fn new(instance: &str, every: u64, part_bytes: usize) -> Self {
        Self {
            every,
            part_bytes,
            appender: Appender::new(instance),
            mark: None,
            own: None,
            parts: VecDeque::new(),
            is_stopping: false,
        }
    }

    /// Handles one event; `replica` is the state right after it. Returns the offset of a snapshot
    /// that differs from this replica's own state.
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
        let is_over = self.appender.follow(environment.now(), input);
        let mut differs = None;
        match input {
            Input::Applied(_, Applied::Accepted(record)) => match &record.body {
                Body::SnapshotMark(mark) => self.on_mark(replica, mark.epoch),
                Body::SnapshotPart(part) => {
                    let is_wrong = |own: &(Offset, Fingerprint)| {
                        own.0 == part.as_of && own.1 != part.digest && part.part + 1 == part.parts
                    };
                    differs = self.own.filter(is_wrong).map(|own| own.0);
                }
                _ => {}
            },
            Input::Loaded(_) => {
                self.own = None;
                self.parts.clear();
            }
            Input::Stop => self.is_stopping = true,
            _ => {}
        }
        if is_over {
            self.mark = None;
        }
        if self.appender.is_free(environment.now()) {
            self.proceed(environment, replica, lease);
        }
        differs
    }

    fn on_mark(&mut self, replica: &Replica, epoch: Epoch) {
        let image = Image::of(replica);
        self.own = Some((image.as_of, image.digest));
        self.parts.clear();
        if self.mark == Some(epoch) {
            self.parts = image.split(epoch, self.part_bytes).into();
        }
    }

    fn proceed<W>(&mut self, environment: &mut W, replica: &Replica, lease: &LeaseKeeper)
    where
        W: Environment<Effect: From<Append>>,
    {
        let Some(epoch) = lease.may_act(environment.now(), Duration::ZERO) else {
            self.parts.clear();
            return;
        };
        let snapshots = replica.snapshots();
        // A part whose append was lost is sent again, one that replay shows is not.
        let next = snapshots.expected_part();
        while self.parts.front().is_some_and(|part| part.part < next) {
            self.parts.pop_front();
        }
        if let Some(part) = self.parts.front() {
            let part = part.clone();
            self.appender
                .send(environment, vec![Body::SnapshotPart(part)]);
            return;
        }
        let complete = snapshots.complete().unwrap_or_default();
        let is_due = replica.next().0.saturating_sub(complete.0) >= self.every;
        if is_due && !self.is_stopping {
            self.mark = Some(epoch);
            self.appender.send(
                environment,
                vec![Body::SnapshotMark(SnapshotMark { epoch })],
            );
        }
    }
}
