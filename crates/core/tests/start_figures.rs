//! Guards against a start whose duration grows with the log: prints the duration of each way to
//! start.
//!
//! `cargo test --release -p nutmegbay-core --test start_figures -- --ignored --nocapture`

mod common;

use std::hint::black_box;
// Measuring is the purpose of this file; nothing under test reads this clock.
use std::time::Instant;

use common::host::Host;
use common::{busy_log, grant, put_snapshot};
use nutmegbay_core::freshness::LogProgress;
use nutmegbay_core::node::Event;
use nutmegbay_core::replica::Replica;
use nutmegbay_core::snapshot::{PART_BYTES, ReplicaSnapshot};

/// Number of runs of each way to start. The median is printed.
const RUNS: usize = 5;

/// Median duration of [`RUNS`] runs in milliseconds.
fn median_ms(mut run: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..RUNS)
        .map(|_| {
            let before = Instant::now();
            run();
            before.elapsed().as_secs_f64() * 1000.0
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[RUNS / 2]
}

/// Measures the ways to start from a log of `records` records, with a snapshot `tail` records
/// before its head.
fn measure(records: usize, gateways: usize, accounts: usize, tail: usize) {
    let plain = busy_log(records, gateways, accounts);
    let mut log = busy_log(records - tail, gateways, accounts);
    put_snapshot(&mut log, PART_BYTES);
    for number in 0..tail {
        log.put("ann", grant(&format!("t{number}"), "a1"));
    }
    let from_log = median_ms(|| {
        let mut replica = Replica::new();
        for text in &plain.texts {
            black_box(replica.apply(replica.next(), text));
        }
    });
    let mut read = 0;
    let from_snapshot = median_ms(|| {
        let mut host = Host::named("g1");
        host.advance(0);
        host.read(&log.texts, 0);
        assert_eq!(host.node.replica(), &log.replica);
        read = host.records_read;
    });
    let snapshot = ReplicaSnapshot::of(&log.replica);
    let from_peer = median_ms(|| {
        let mut host = Host::named("g1");
        host.advance(0);
        host.send_event(Event::PeerSnapshot {
            endpoint: "g2".into(),
            asked: host.environment.now,
            view: LogProgress::default(),
            snapshot: snapshot.clone(),
        });
        assert_eq!(host.node.replica(), &log.replica);
    });
    let write = median_ms(|| {
        black_box(ReplicaSnapshot::of(&log.replica));
    });
    let bytes: usize = plain.texts.iter().map(String::len).sum();
    println!(
        "records={records} gateways={gateways} accounts={accounts} log_bytes={bytes} \
         image_bytes={} log_ms={from_log:.1} snapshot_ms={from_snapshot:.1} snapshot_read={read} \
         peer_ms={from_peer:.1} write_ms={write:.1}",
        snapshot.text.len()
    );
}

#[test]
#[ignore = "prints figures and takes tens of seconds"]
fn start_cost() {
    measure(20_000, 3, 8, 2_000);
    measure(200_000, 3, 8, 4_000);
    measure(200_000, 20, 50, 4_000);
}
