//! Operator's view of the log and the changes made through it.

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

/// Records asked for in one read.
const READ_MAX: u32 = 512;

/// Longest wait for the log to settle whether an append with a lost answer took effect.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause between reads while the log does not answer.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);

/// Reads the log into a replica and appends changes.
pub struct Operator<L> {
    log: L,
    author: Box<str>,
    clock: WallClock,
    replica: Replica,
    recent: Vec<LogEntry>,
}

/// A new key. The secret is in `token` only; the log holds its hash.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct GrantedKey {
    /// Public part, by which the key is withdrawn.
    pub key: Box<str>,
    /// Client account.
    pub account: Box<str>,
    /// What the caller sends as a bearer token.
    pub token: Box<str>,
    /// Position of the grant in the log.
    pub offset: Offset,
}

impl<L: Log> Operator<L> {
    /// Creates a view that has read nothing yet.
    pub fn new(log: L, author: impl Into<Box<str>>) -> Self {
        Self {
            log,
            author: author.into(),
            clock: WallClock::new(),
            replica: Replica::new(),
            recent: Vec::new(),
        }
    }

    /// State as of the last read.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Records read by this view, for instances that lack them.
    pub fn recent(&self) -> &[LogEntry] {
        &self.recent
    }

    /// Reads up to the head of the log.
    pub async fn refresh(&mut self) -> Result<(), Report<CtlError>> {
        loop {
            let from = self.replica.next();
            let read = self.read(from).await?;
            if read.oldest > from {
                self.start_from_snapshot(read.oldest).await?;
                continue;
            }
            for entry in read.records {
                self.replica.apply(entry.offset, entry.record.get());
                self.recent.push(entry);
            }
            if self.replica.next() >= read.head {
                return Ok(());
            }
        }
    }

    /// One read that does not wait for new records.
    async fn read(&self, from: Offset) -> Result<ReadResponse, Report<CtlError>> {
        let read = self.log.read(from, READ_MAX, Duration::ZERO).await;
        read.map_err(platform)
    }

    /// Loads the latest snapshot, since the log no longer keeps the records from the view's position.
    async fn start_from_snapshot(&mut self, oldest: Offset) -> Result<(), Report<CtlError>> {
        let (mut collector, mut next) = (SnapshotAssembler::default(), oldest);
        loop {
            let read = self.read(next).await?;
            for entry in &read.records {
                collector.add_record(entry.record.get());
                next = entry.offset.next();
            }
            if next >= read.head || read.records.is_empty() {
                break;
            }
        }
        let image = collector.latest().filter(|image| image.as_of >= oldest);
        let image = image.ok_or_else(|| no_snapshot(oldest))?;
        self.replica = image.load().map_err(|e| invalid(&e.to_string()))?;
        self.recent.clear();
        Ok(())
    }

    /// Publishes base or overlay after checking it together with everything else in force. With
    /// `after`, it is refused if another publish came after that offset.
    pub async fn publish(
        &mut self,
        scope: ConfigScope,
        source: Source<'_>,
        after: Option<Offset>,
    ) -> Result<Offset, Report<CtlError>> {
        self.refresh().await?;
        if after.is_some() && after != self.replica.config().last() {
            return Err(rejected(RejectReason::Overtaken));
        }
        self.check(&scope, source)?;
        let prev = self.replica.config().last();
        let text = source.text.into();
        self.append(Body::ConfigPublish(ConfigPublish { scope, prev, text }))
            .await
    }

    /// Checks `source` in place of the published text of `scope`: every site must stay valid.
    pub fn check(&self, scope: &ConfigScope, source: Source<'_>) -> Result<(), Report<CtlError>> {
        let config = self.replica.config();
        match scope {
            ConfigScope::Base => {
                load(source, None)?;
                for (site, overlay) in config.overlays() {
                    let name = format!("published overlay of {site}");
                    load(
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
                    load(base, Some(source)).map(drop)
                }
                None => Err(Report::new(CtlError::Invalid(
                    "no base is published yet; publish the base first".into(),
                ))),
            },
        }
    }

    /// Settings of a site in force.
    pub fn site(&self, site: &str) -> Result<Site, Report<CtlError>> {
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
        load(
            Source {
                name: "published base",
                text: &base.text,
            },
            overlay,
        )
    }

    /// Creates a key for a client account.
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

    /// Withdraws a key for good. Withdrawing it again changes nothing and succeeds.
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

    /// Asks an instance to drain.
    pub async fn drain(&mut self, instance: &str) -> Result<Offset, Report<CtlError>> {
        self.refresh().await?;
        self.append(Body::DrainRequest(DrainRequest {
            instance: instance.into(),
        }))
        .await
    }

    /// Lifts the quarantine of a request.
    pub async fn clear(&mut self, clear: QuarantineClear) -> Result<Offset, Report<CtlError>> {
        self.refresh().await?;
        self.append(Body::QuarantineClear(clear)).await
    }

    /// Appends one record and returns its offset once replay has accepted it.
    async fn append(&mut self, body: Body) -> Result<Offset, Report<CtlError>> {
        let record = Record {
            id: RecordId(rand::random()),
            author: self.author.clone(),
            at_ms: self.clock.now_ms(),
            schema: SCHEMA,
            body,
        };
        let id = record.id;
        let raw = to_raw_value(&record).map_err(|e| invalid(&e.to_string()))?;
        match self.log.append(vec![raw]).await {
            Ok(_) => self.settle(id, None).await,
            Err(report) if report.current_context().verdict.is_repeatable() => {
                Err(platform(report))
            }
            Err(report) => self.settle(id, Some(report)).await,
        }
    }

    /// Reads until replay has judged record `id`. After a lost answer (`lost`) the record may also
    /// be absent, which is known once the log has been read past the head seen after the loss.
    async fn settle(
        &mut self,
        id: RecordId,
        lost: Option<Report<PlatformError>>,
    ) -> Result<Offset, Report<CtlError>> {
        let deadline = tokio::time::Instant::now() + SETTLE_TIMEOUT;
        loop {
            match self.find(id).await {
                Ok(Some(Ok(offset))) => return Ok(offset),
                Ok(Some(Err(reason))) => return Err(rejected(reason)),
                Ok(None) | Err(_) if tokio::time::Instant::now() < deadline => {
                    tokio::time::sleep(SETTLE_PAUSE).await;
                }
                Ok(None) | Err(_) => return Err(unsettled(lost)),
            }
        }
    }

    /// Reads up to the head and looks for record `id`.
    async fn find(
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
            self.recent.push(entry);
        }
        Ok(found)
    }
}

fn load(base: Source<'_>, overlay: Option<Source<'_>>) -> Result<Site, Report<CtlError>> {
    Site::load(base, overlay).map_err(|report| {
        let text = report.current_context().to_string();
        report.change_context(CtlError::Invalid(text.into()))
    })
}

fn platform(report: Report<PlatformError>) -> Report<CtlError> {
    let (verdict, text) = (
        report.current_context().verdict,
        report.current_context().to_string(),
    );
    report.change_context(CtlError::Platform(verdict, text.into()))
}

fn invalid(text: &str) -> Report<CtlError> {
    Report::new(CtlError::Invalid(text.into()))
}

fn no_snapshot(oldest: Offset) -> Report<CtlError> {
    let text = format!("the log begins at offset {oldest} and holds no complete snapshot");
    Report::new(CtlError::Instance(text.into()))
}

fn rejected(reason: RejectReason) -> Report<CtlError> {
    let hint = match reason {
        RejectReason::Overtaken => {
            "another operator published first; look at `diff` and publish again"
        }
        _ => "see `audit`",
    };
    Report::new(CtlError::Rejected(format!("{reason}: {hint}").into()))
}

fn unsettled(lost: Option<Report<PlatformError>>) -> Report<CtlError> {
    match lost {
        Some(report) => platform(report),
        None => {
            let text = "the log took the change but cannot be read back";
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
