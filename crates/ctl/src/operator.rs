//! Client through which operators read the platform's log and change configuration, keys and
//! instances.

use std::time::Duration;

use error_stack::Report;
use nutmegbay_backplane::{Log, PlatformError};
use nutmegbay_core::ids::{Offset, RecordId};
use nutmegbay_core::record::{
    Body, ConfigPublish, ConfigScope, DrainRequest, KeyGrant, KeyWithdraw, QuarantineClear, Record,
    SCHEMA,
};
use nutmegbay_core::replica::{Applied, RejectReason, Replica};
use nutmegbay_core::snapshot::SnapshotAssembler;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::platform::{LogEntry, ReadResponse};
use nutmegbay_settings::{Site, Source};
use nutmegbay_telemetry::clock::WallClock;
use serde_json::value::to_raw_value;
use sha2::{Digest, Sha256};

use crate::error::CtlError;

/// Maximum number of records in one read.
const MAX_RECORDS_PER_READ: u32 = 512;

/// Maximum time to look for an appended record in the log. It decides whether an append whose
/// answer was lost took effect.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between reads while an appended record has not been found.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the log into a replica and appends changes to it.
pub struct OperatorClient<L> {
    log: L,
    author: Box<str>,
    clock: WallClock,
    replica: Replica,
    recent_entries: Vec<LogEntry>,
}

/// A new key. Only `token` contains the secret; the log holds its hash.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct GrantedKey {
    /// Public part, which identifies the key when it is withdrawn.
    pub key: Box<str>,
    /// Client account of the calls that use this key.
    pub account: Box<str>,
    /// Bearer token that the caller sends.
    pub token: Box<str>,
    /// Offset of the grant in the log.
    pub offset: Offset,
}

impl<L: Log> OperatorClient<L> {
    /// Creates a client with an empty replica. `author` is stored in every record it appends.
    pub fn new(log: L, author: impl Into<Box<str>>) -> Self {
        Self {
            log,
            author: author.into(),
            clock: WallClock::new(),
            replica: Replica::new(),
            recent_entries: Vec::new(),
        }
    }

    /// Returns the state as of the last read.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the records read since the last snapshot, to be sent to instances that lack them.
    pub fn recent_entries(&self) -> &[LogEntry] {
        &self.recent_entries
    }

    /// Reads up to the head of the log. Loads a snapshot if the log no longer holds the next
    /// record.
    pub async fn refresh(&mut self) -> Result<(), Report<CtlError>> {
        loop {
            let from = self.replica.next();
            let read = self.read(from).await?;
            if read.oldest > from {
                self.load_snapshot(read.oldest).await?;
                continue;
            }
            for entry in read.records {
                self.replica.apply(entry.offset, entry.record.get());
                self.recent_entries.push(entry);
            }
            if self.replica.next() >= read.head {
                return Ok(());
            }
        }
    }

    /// Reads one batch from `from` without waiting for new records.
    async fn read(&self, from: Offset) -> Result<ReadResponse, Report<CtlError>> {
        let read = self
            .log
            .read(from, MAX_RECORDS_PER_READ, Duration::ZERO)
            .await;
        read.map_err(platform_error)
    }

    /// Replaces the replica by the latest complete snapshot in the log. Used when the log has
    /// dropped the records that come next; `oldest` is the first offset that it still holds.
    async fn load_snapshot(&mut self, oldest: Offset) -> Result<(), Report<CtlError>> {
        let (mut assembler, mut next) = (SnapshotAssembler::default(), oldest);
        loop {
            let read = self.read(next).await?;
            for entry in &read.records {
                assembler.add_record(entry.record.get());
                next = entry.offset.next();
            }
            if next >= read.head || read.records.is_empty() {
                break;
            }
        }
        let snapshot = assembler
            .latest()
            .filter(|snapshot| snapshot.as_of >= oldest);
        let snapshot = snapshot.ok_or_else(|| no_snapshot_error(oldest))?;
        self.replica = snapshot.load().map_err(|e| invalid_error(&e.to_string()))?;
        self.recent_entries.clear();
        Ok(())
    }

    /// Publishes a base or an overlay after validating it together with the other published texts.
    /// If `after` is given and is not the offset of the last publish, fails with
    /// [`CtlError::Rejected`].
    pub async fn publish(
        &mut self,
        scope: ConfigScope,
        source: Source<'_>,
        after: Option<Offset>,
    ) -> Result<Offset, Report<CtlError>> {
        self.refresh().await?;
        if after.is_some() && after != self.replica.config().last() {
            return Err(rejected_error(RejectReason::Overtaken));
        }
        self.validate(&scope, source)?;
        let prev = self.replica.config().last();
        let text = source.text.into();
        self.append(Body::ConfigPublish(ConfigPublish { scope, prev, text }))
            .await
    }

    /// Validates `source` in place of the published text of `scope`. A base is validated with every
    /// published overlay, an overlay with the published base.
    pub fn validate(
        &self,
        scope: &ConfigScope,
        source: Source<'_>,
    ) -> Result<(), Report<CtlError>> {
        let config = self.replica.config();
        match scope {
            ConfigScope::Base => {
                load_site(source, None)?;
                for (site, overlay) in config.overlays() {
                    let name = format!("published overlay of {site}");
                    load_site(
                        source,
                        Some(Source {
                            name: &name,
                            text: &overlay.text,
                        }),
                    )?;
                }
                Ok(())
            }
            ConfigScope::Overlay(_) => match config.base() {
                Some(base) => {
                    let base = Source {
                        name: "published base",
                        text: &base.text,
                    };
                    load_site(base, Some(source)).map(drop)
                }
                None => Err(Report::new(CtlError::Invalid(
                    "no base is published yet; publish the base first".into(),
                ))),
            },
        }
    }

    /// Returns the published settings of a site. A site without an overlay gets the base alone.
    pub fn site_settings(&self, site: &str) -> Result<Site, Report<CtlError>> {
        let config = self.replica.config();
        let Some(base) = config.base() else {
            return Err(Report::new(CtlError::Invalid(
                "no base is published yet".into(),
            )));
        };
        let overlay = config.overlay(site);
        let overlay = overlay.map(|o| Source {
            name: "published overlay",
            text: &o.text,
        });
        load_site(
            Source {
                name: "published base",
                text: &base.text,
            },
            overlay,
        )
    }

    /// Creates a key for a client account. Only the result contains its token.
    pub async fn grant_key(&mut self, account: &str) -> Result<GrantedKey, Report<CtlError>> {
        self.refresh().await?;
        let key: Box<str> = format!("{:016x}", rand::random::<u64>()).into();
        let secret = format!("{:032x}", rand::random::<u128>());
        let secret_sha256 = hex(&Sha256::digest(&secret));
        let body = KeyGrant {
            key: key.clone(),
            account: account.into(),
            secret_sha256,
        };
        let offset = self.append(Body::KeyGrant(body)).await?;
        let token = format!("nb_{key}_{secret}").into();
        Ok(GrantedKey {
            key,
            account: account.into(),
            token,
            offset,
        })
    }

    /// Withdraws a key permanently. For a key that is already withdrawn, returns the offset of the
    /// earlier withdrawal and appends nothing.
    pub async fn withdraw_key(&mut self, key: &str) -> Result<Offset, Report<CtlError>> {
        self.refresh().await?;
        match self.replica.keys().get(key) {
            None => Err(Report::new(CtlError::Invalid(
                format!("no key `{key}` was granted; see `key list`").into(),
            ))),
            Some(state) => match state.withdrawn {
                Some(offset) => Ok(offset),
                None => {
                    self.append(Body::KeyWithdraw(KeyWithdraw { key: key.into() }))
                        .await
                }
            },
        }
    }

    /// Appends a request that an instance drains.
    pub async fn request_drain(&mut self, instance: &str) -> Result<Offset, Report<CtlError>> {
        self.refresh().await?;
        self.append(Body::DrainRequest(DrainRequest {
            instance: instance.into(),
        }))
        .await
    }

    /// Removes a request from quarantine.
    pub async fn clear_quarantine(
        &mut self,
        clear: QuarantineClear,
    ) -> Result<Offset, Report<CtlError>> {
        self.refresh().await?;
        self.append(Body::QuarantineClear(clear)).await
    }

    /// Appends one record and returns its offset after replay has accepted it. If the answer is
    /// lost, the log is read to find out whether the record was appended.
    async fn append(&mut self, body: Body) -> Result<Offset, Report<CtlError>> {
        let record = Record {
            id: RecordId(rand::random()),
            author: self.author.clone(),
            at_ms: self.clock.now_ms(),
            schema: SCHEMA,
            body,
        };
        let id = record.id;
        let raw = to_raw_value(&record).map_err(|e| invalid_error(&e.to_string()))?;
        match self.log.append(vec![raw]).await {
            Ok(_) => self.confirm_append(id, None).await,
            Err(report) if report.current_context().verdict.is_repeatable() => {
                Err(platform_error(report))
            }
            Err(report) => self.confirm_append(id, Some(report)).await,
        }
    }

    /// Reads the log until replay accepts or rejects record `id`. If the answer to the append was
    /// lost (`append_error`), the record may be absent. Fails with [`CtlError::Platform`] if the
    /// record was not found within [`CONFIRM_TIMEOUT`].
    async fn confirm_append(
        &mut self,
        id: RecordId,
        append_error: Option<Report<PlatformError>>,
    ) -> Result<Offset, Report<CtlError>> {
        let deadline = tokio::time::Instant::now() + CONFIRM_TIMEOUT;
        loop {
            match self.find_replayed(id).await {
                Ok(Some(Ok(offset))) => return Ok(offset),
                Ok(Some(Err(reason))) => return Err(rejected_error(reason)),
                Ok(None) | Err(_) if tokio::time::Instant::now() < deadline => {
                    tokio::time::sleep(CONFIRM_POLL_INTERVAL).await;
                }
                Ok(None) | Err(_) => return Err(unconfirmed_error(append_error)),
            }
        }
    }

    /// Reads and replays one batch; returns the result of record `id` if the batch contains it.
    async fn find_replayed(
        &mut self,
        id: RecordId,
    ) -> Result<Option<Result<Offset, RejectReason>>, Report<CtlError>> {
        let from = self.replica.next();
        let read = self.read(from).await?;
        let mut found = None;
        for entry in read.records {
            let offset = entry.offset;
            match self.replica.apply(offset, entry.record.get()) {
                Applied::Accepted(record) if record.id == id => found = Some(Ok(offset)),
                Applied::Rejected(record, reason) if record.id == id => found = Some(Err(reason)),
                _ => {}
            }
            self.recent_entries.push(entry);
        }
        Ok(found)
    }
}

fn load_site(base: Source<'_>, overlay: Option<Source<'_>>) -> Result<Site, Report<CtlError>> {
    Site::load(base, overlay).map_err(|report| {
        let text = report.current_context().to_string();
        report.change_context(CtlError::Invalid(text.into()))
    })
}

fn platform_error(report: Report<PlatformError>) -> Report<CtlError> {
    let (verdict, text) = (
        report.current_context().verdict,
        report.current_context().to_string(),
    );
    report.change_context(CtlError::Platform(verdict, text.into()))
}

fn invalid_error(text: &str) -> Report<CtlError> {
    Report::new(CtlError::Invalid(text.into()))
}

fn no_snapshot_error(oldest: Offset) -> Report<CtlError> {
    let text = format!("the log starts at offset {oldest} and holds no complete snapshot");
    Report::new(CtlError::Instance(text.into()))
}

fn rejected_error(reason: RejectReason) -> Report<CtlError> {
    let hint = match reason {
        RejectReason::Overtaken => {
            "another operator published first; check `diff` and publish again"
        }
        _ => "see `audit`",
    };
    Report::new(CtlError::Rejected(format!("{reason}: {hint}").into()))
}

fn unconfirmed_error(append_error: Option<Report<PlatformError>>) -> Report<CtlError> {
    match append_error {
        Some(report) => platform_error(report),
        None => {
            let text = "the log accepted the record, but it was not found when reading the log";
            Report::new(CtlError::Platform(Verdict::MayHaveRun, text.into()))
        }
    }
}

fn hex(bytes: &[u8]) -> Box<str> {
    use std::fmt::Write;
    let mut out = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        let _ = write!(out, "{byte:02x}");
    }
    out.into()
}
