//! Guards against changes that are made twice, silently lost, or made from bad settings.

mod common;

use assert_matches::assert_matches;
use common::{Fate, MemoryLog};
use nutmegbay_backplane::Log;
use nutmegbay_core::ids::{Epoch, RecordId};
use nutmegbay_core::record::{Body, ConfigScope, Record, SCHEMA};
use nutmegbay_core::snapshot::ReplicaSnapshot;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_ctl::{CtlError, CtlExit, Operator};
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
async fn racing_operators() {
    let log = MemoryLog::new();
    let (mut ann, mut ben) = (
        Operator::new(log.clone(), "ann"),
        Operator::new(log.clone(), "ben"),
    );
    ann.publish(ConfigScope::Base, base(BASE), None)
        .await
        .unwrap();
    ben.refresh().await.unwrap();

    // Both read the same state before either append, so the log order decides.
    let (first, second) = tokio::join!(
        ann.publish(ConfigScope::Base, base(BASE), None),
        ben.publish(site(), overlay(OVERLAY), None),
    );
    assert_ne!(
        first.is_ok(),
        second.is_ok(),
        "both or neither publish was accepted"
    );
    let error = first.and(second).unwrap_err();
    assert_matches!(error.current_context(), CtlError::Rejected(_));
    assert_eq!(error.current_context().exit(), CtlExit::Conflict);

    ben.publish(site(), overlay(OVERLAY), None)
        .await
        .expect("a repeat after reading was refused");
}

#[tokio::test(start_paused = true)]
async fn stale_file() {
    let log = MemoryLog::new();
    let mut operator = Operator::new(log.clone(), "ann");
    let seen = operator
        .publish(ConfigScope::Base, base(BASE), None)
        .await
        .unwrap();
    operator
        .publish(site(), overlay(OVERLAY), Some(seen))
        .await
        .unwrap();

    // The file was prepared before the overlay came.
    let result = operator
        .publish(ConfigScope::Base, base(BASE), Some(seen))
        .await;
    assert_matches!(result.unwrap_err().current_context(), CtlError::Rejected(_));
    assert_eq!(log.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn lost_answer() {
    let log = MemoryLog::new();
    let mut operator = Operator::new(log.clone(), "ann");
    log.set(Fate::AnswerLost);
    operator
        .publish(ConfigScope::Base, base(BASE), None)
        .await
        .expect("replay shows that it took effect");
    assert_eq!(log.len(), 1, "the append was repeated");
}

#[tokio::test(start_paused = true)]
async fn lost_request() {
    let log = MemoryLog::new();
    let mut operator = Operator::new(log.clone(), "ann");
    log.set(Fate::RequestLost);
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
    let mut operator = Operator::new(log.clone(), "ann");
    log.set(Fate::Refused);
    let error = operator
        .publish(ConfigScope::Base, base(BASE), None)
        .await
        .unwrap_err();
    assert_eq!(error.current_context().verdict(), Verdict::NotRun);
    assert_eq!(error.current_context().exit(), CtlExit::Platform);
}

#[tokio::test(start_paused = true)]
async fn bad_settings() {
    let log = MemoryLog::new();
    let mut operator = Operator::new(log.clone(), "ann");
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

    // A base that is valid alone but breaks a published overlay is refused as well.
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
    assert_eq!(log.len(), before, "a refused publish left a record");
}

#[tokio::test(start_paused = true)]
async fn key_life() {
    let log = MemoryLog::new();
    let mut operator = Operator::new(log.clone(), "ann");
    let key = operator.grant_key("captains").await.unwrap();
    assert!(operator.replica().keys().check(&key.token).is_ok());

    let withdrawn = operator.withdraw_key(&key.key).await.unwrap();
    assert!(operator.replica().keys().check(&key.token).is_err());
    assert_eq!(operator.withdraw_key(&key.key).await.unwrap(), withdrawn);
    assert!(operator.withdraw_key("unknown").await.is_err());
    assert!(
        !log_text(&log).contains(key.token.rsplit('_').next().unwrap()),
        "secret in the log"
    );
}

#[tokio::test(start_paused = true)]
async fn expired_records() {
    let log = MemoryLog::new();
    let mut before = Operator::new(log.clone(), "ann");
    let key = before.grant_key("captains").await.unwrap();
    let image = ReplicaSnapshot::of(before.replica());
    for part in image.split(Epoch(0), 64) {
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
    log.expire(1);
    let mut after = Operator::new(log.clone(), "ben");
    after.refresh().await.unwrap();
    assert!(
        after.replica().keys().check(&key.token).is_ok(),
        "the key was lost with its record"
    );

    log.expire(log.len() as u64);
    let error = Operator::new(log, "eve").refresh().await.unwrap_err();
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
