//! Guards against operators' changes that are applied twice, lost without an error, or published
//! with invalid settings.

mod common;

use assert_matches::assert_matches;
use common::{AppendOutcome, MemoryLog};
use nutmegbay_backplane::Log;
use nutmegbay_core::ids::{Epoch, RecordId};
use nutmegbay_core::record::{Body, ConfigScope, Record, SCHEMA};
use nutmegbay_core::snapshot::ReplicaSnapshot;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_ctl::{CtlError, CtlExit, OperatorClient};
use nutmegbay_settings::Source;

const BASE: &str = include_str!("../../../examples/base.jsonc");
const OVERLAY: &str = include_str!("../../../examples/rastrillo.jsonc");

fn base(text: &str) -> Source<'_> {
    Source {
        name: "base.jsonc",
        text,
    }
}

fn overlay(text: &str) -> Source<'_> {
    Source {
        name: "site.jsonc",
        text,
    }
}

fn site() -> ConfigScope {
    ConfigScope::Overlay("rastrillo".into())
}

#[tokio::test(start_paused = true)]
async fn concurrent_publishes_conflict() {
    let log = MemoryLog::new();
    let (mut ann, mut ben) = (
        OperatorClient::new(log.clone(), "ann"),
        OperatorClient::new(log.clone(), "ben"),
    );
    ann.publish(ConfigScope::Base, base(BASE), None)
        .await
        .unwrap();
    ben.refresh().await.unwrap();

    // Both operators read the same state before either appends, so the order in the log decides.
    let (first, second) = tokio::join!(
        ann.publish(ConfigScope::Base, base(BASE), None),
        ben.publish(site(), overlay(OVERLAY), None),
    );
    assert_ne!(
        first.is_ok(),
        second.is_ok(),
        "exactly one of two concurrent publishes must be accepted"
    );
    let error = first.and(second).unwrap_err();
    assert_matches!(error.current_context(), CtlError::Rejected(_));
    assert_eq!(error.current_context().exit_code(), CtlExit::Conflict);

    ben.publish(site(), overlay(OVERLAY), None)
        .await
        .expect("a publish after reading the newer record was rejected");
}

#[tokio::test(start_paused = true)]
async fn publish_after_outdated_offset() {
    let log = MemoryLog::new();
    let mut operator = OperatorClient::new(log.clone(), "ann");
    let base_offset = operator
        .publish(ConfigScope::Base, base(BASE), None)
        .await
        .unwrap();
    operator
        .publish(site(), overlay(OVERLAY), Some(base_offset))
        .await
        .unwrap();

    // `base_offset` is older than the publish of the overlay.
    let result = operator
        .publish(ConfigScope::Base, base(BASE), Some(base_offset))
        .await;
    assert_matches!(result.unwrap_err().current_context(), CtlError::Rejected(_));
    assert_eq!(log.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn lost_append_response() {
    let log = MemoryLog::new();
    let mut operator = OperatorClient::new(log.clone(), "ann");
    log.set_next_append(AppendOutcome::ResponseLost);
    operator
        .publish(ConfigScope::Base, base(BASE), None)
        .await
        .expect("the record is in the log, so the publish succeeds");
    assert_eq!(log.len(), 1, "the append was repeated");
}

#[tokio::test(start_paused = true)]
async fn lost_append_request() {
    let log = MemoryLog::new();
    let mut operator = OperatorClient::new(log.clone(), "ann");
    log.set_next_append(AppendOutcome::RequestLost);
    let error = operator
        .publish(ConfigScope::Base, base(BASE), None)
        .await
        .unwrap_err();
    assert_eq!(error.current_context().verdict(), Verdict::MayHaveRun);
    assert_eq!(log.len(), 0);
}

#[tokio::test(start_paused = true)]
async fn refused_append() {
    let log = MemoryLog::new();
    let mut operator = OperatorClient::new(log.clone(), "ann");
    log.set_next_append(AppendOutcome::Refused);
    let error = operator
        .publish(ConfigScope::Base, base(BASE), None)
        .await
        .unwrap_err();
    assert_eq!(error.current_context().verdict(), Verdict::NotRun);
    assert_eq!(error.current_context().exit_code(), CtlExit::Platform);
}

#[tokio::test(start_paused = true)]
async fn invalid_settings() {
    let log = MemoryLog::new();
    let mut operator = OperatorClient::new(log.clone(), "ann");
    operator
        .publish(ConfigScope::Base, base(BASE), None)
        .await
        .unwrap();
    operator
        .publish(site(), overlay(OVERLAY), None)
        .await
        .unwrap();
    let before = log.len();

    let error = operator
        .publish(
            site(),
            overlay("{\n  \"usage\": { \"windows\": 1 }\n}"),
            None,
        )
        .await;
    let text = error.unwrap_err().current_context().to_string();
    assert!(text.contains("site.jsonc:2:14: usage.windows"), "{text}");

    // A base that is valid alone but makes a published overlay invalid is refused as well.
    let broken = BASE.replace(
        r#""accounts": []"#,
        r#""accounts": [{ "name": "captains" }]"#,
    );
    assert!(
        operator
            .publish(ConfigScope::Base, base(&broken), None)
            .await
            .is_err()
    );
    assert_eq!(log.len(), before, "a refused publish appended a record");
}

#[tokio::test(start_paused = true)]
async fn key_grant_and_withdrawal() {
    let log = MemoryLog::new();
    let mut operator = OperatorClient::new(log.clone(), "ann");
    let key = operator.grant_key("captains").await.unwrap();
    assert!(operator.replica().keys().check(&key.token).is_ok());

    let withdrawn = operator.withdraw_key(&key.key).await.unwrap();
    assert!(operator.replica().keys().check(&key.token).is_err());
    assert_eq!(operator.withdraw_key(&key.key).await.unwrap(), withdrawn);
    assert!(operator.withdraw_key("unknown").await.is_err());
    assert!(
        !log_text(&log).contains(key.token.rsplit('_').next().unwrap()),
        "the log contains the secret of the key"
    );
}

#[tokio::test(start_paused = true)]
async fn snapshot_replaces_pruned_records() {
    let log = MemoryLog::new();
    let mut before = OperatorClient::new(log.clone(), "ann");
    let key = before.grant_key("captains").await.unwrap();
    let snapshot = ReplicaSnapshot::of(before.replica());
    for part in snapshot.split(Epoch(0), 64) {
        let record = Record {
            id: RecordId(u128::from(part.part)),
            author: "g1".into(),
            at_ms: 0,
            schema: SCHEMA,
            body: Body::SnapshotPart(part),
        };
        let raw = serde_json::value::to_raw_value(&record).unwrap();
        log.append(vec![raw]).await.unwrap();
    }
    log.prune_below(1);
    let mut after = OperatorClient::new(log.clone(), "ben");
    after.refresh().await.unwrap();
    assert!(
        after.replica().keys().check(&key.token).is_ok(),
        "the snapshot does not contain the key"
    );

    log.prune_below(log.len() as u64);
    let error = OperatorClient::new(log, "eve").refresh().await.unwrap_err();
    assert!(
        error
            .current_context()
            .to_string()
            .contains("no complete snapshot")
    );
}

fn log_text(log: &MemoryLog) -> String {
    let read = log.read(
        nutmegbay_core::ids::Offset(0),
        100,
        std::time::Duration::ZERO,
    );
    let read = futures::executor::block_on(read).unwrap();
    read.records.iter().map(|e| e.record.get()).collect()
}
