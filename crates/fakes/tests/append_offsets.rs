//! Offsets of the fake log. Guards against gaps and duplicates, which would break replay.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{client, record};
use nutmegbay_backplane::Log;
use nutmegbay_core::ids::Offset;
use nutmegbay_fakes::platform::{FakePlatform, PlatformConfig};

#[tokio::test]
async fn consecutive_under_concurrency() {
    let platform = FakePlatform::start(PlatformConfig::default())
        .await
        .unwrap();
    let log = client(platform.addr(), "g1");
    let appends = (0..20).map(|_| {
        let log = log.clone();
        tokio::spawn(async move {
            log.append(vec![record("a"), record("b")])
                .await
                .unwrap()
                .first
        })
    });
    let mut firsts = BTreeSet::new();
    for append in appends {
        firsts.insert(append.await.unwrap().0);
    }
    assert_eq!(firsts, (0..20).map(|group| group * 2).collect());
    let read = log.read(Offset(0), 1_000, Duration::ZERO).await.unwrap();
    let offsets: Vec<u64> = read.records.iter().map(|entry| entry.offset.0).collect();
    assert_eq!(offsets, (0..40).collect::<Vec<u64>>());
    assert_eq!((read.oldest, read.head), (Offset(0), Offset(40)));
}

#[tokio::test]
async fn oldest_records_dropped() {
    let cfg = PlatformConfig {
        retain: 3,
        ..PlatformConfig::default()
    };
    let platform = FakePlatform::start(cfg).await.unwrap();
    let log = client(platform.addr(), "g1");
    log.append((0..5).map(|n| record(&n.to_string())).collect())
        .await
        .unwrap();
    let read = log.read(Offset(0), 2, Duration::ZERO).await.unwrap();
    let offsets: Vec<u64> = read.records.iter().map(|entry| entry.offset.0).collect();
    assert_eq!(offsets, [2, 3]);
    assert_eq!((read.oldest, read.head), (Offset(2), Offset(5)));
    assert_eq!(read.records[0].record.get(), "\"2\"");
}
