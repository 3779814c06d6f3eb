//! Guards against lost or repeated counts, a second figure for a window, and a report sent without
//! the lease.

mod common;

use common::Log;
use common::host::Host;
use nutmegbay_core::ids::{Incarnation, WindowId};
use nutmegbay_core::node::{Effect, Event, NodeConfig};
use nutmegbay_core::record::{LeaseRole, Usage};
use nutmegbay_core::replica::Figures;
use nutmegbay_core::usage::{SendUsageReport, WindowTerms};

/// Windows of 2 s that are sealed 1 s after their end; the clock of the tests starts in window 500.
fn host(name: &str, life: u128) -> Host {
    let mut cfg = NodeConfig::new(name, Incarnation(life));
    cfg.windows = WindowTerms {
        window_ms: 2_000,
        grace_ms: 1_000,
    };
    let mut host = Host::new(cfg);
    host.outside.seed = life << 64;
    host
}

fn served(calls: u64) -> Event {
    let usage = Usage {
        calls,
        ..Usage::default()
    };
    let account = "a".into();
    Event::Served { account, usage }
}

fn reports(effects: &[Effect]) -> Vec<SendUsageReport> {
    let report = |effect: &Effect| match effect {
        Effect::SendUsageReport(report) => Some(report.clone()),
        _ => None,
    };
    effects.iter().filter_map(report).collect()
}

fn answer(host: &mut Host, report: &SendUsageReport, is_taken: bool) {
    let window = report.window;
    host.give(Event::ReportAnswered { window, is_taken });
}

/// Flushes in the log.
fn flushes(log: &Log) -> usize {
    let is_flush = |text: &&String| text.contains("usage_counts");
    log.texts.iter().filter(is_flush).count()
}

#[test]
fn one_record_a_second() {
    let mut log = Log::default();
    let mut gateway = host("g1", 1);
    gateway.run(&mut log, 100);
    for _ in 0..58 {
        gateway.give(served(1));
        gateway.run(&mut log, 50);
    }
    assert_eq!(
        flushes(&log),
        3,
        "2.9 s of counts are not flushed at 0, 1 and 2 s"
    );
    gateway.run(&mut log, 1_000);
    let usage = log.replica.usage();
    let open = usage.open().map(|(_, figures)| figures);
    let sealed = usage.unreported().map(|sealed| &sealed.figures);
    let calls = |figures: &Figures| figures.accounts["a"].calls;
    assert_eq!(open.chain(sealed).map(calls).sum::<u64>(), 58);
    gateway.run(&mut log, 2_000);
    assert_eq!(flushes(&log), 4, "unchanged counts were written again");
}

#[test]
fn figure_survives_holder() {
    let mut log = Log::default();
    let mut first = host("g1", 1);
    first.run(&mut log, 100);
    first.give(served(3));
    // The claim comes after the wait of a started process, the seal after the window and its grace.
    let effects = first.run(&mut log, 5_000);
    let report = reports(&effects).remove(0);
    assert_eq!(
        (report.window, report.figures.accounts["a"].calls),
        (WindowId(500), 3)
    );
    // The answer is lost with the process. A late count comes before its successor reports again.
    let mut late = host("g3", 3);
    late.run(&mut log, 100);
    late.outside.now = nutmegbay_core::environment::MonotonicTime::default();
    late.give(served(4));
    late.run(&mut log, 1_500);
    let mut second = host("g2", 2);
    let effects = second.run(&mut log, 5_000);
    let again = reports(&effects).remove(0);
    assert_eq!(
        (again.window, again.epoch, &again.figures),
        (report.window, report.epoch, &report.figures),
        "the repeated report differs from the first"
    );
    answer(&mut second, &again, true);
    let effects = second.run(&mut log, 5_000);
    let next = reports(&effects).remove(0);
    assert_eq!(
        (next.window, next.figures.late["a"].calls),
        (WindowId(501), 4),
        "a count that came after the seal was lost or not marked late"
    );
    assert!(log.replica.usage().report(WindowId(500)).is_none());
}

#[test]
fn refused_reports() {
    let mut log = Log::default();
    let mut gateway = host("g1", 1);
    gateway.run(&mut log, 100);
    gateway.give(served(3));
    let effects = gateway.run(&mut log, 5_000);
    let report = reports(&effects).remove(0);
    answer(&mut gateway, &report, false);
    let soon = gateway.run(&mut log, 500);
    assert!(
        reports(&soon).is_empty(),
        "a refused report was repeated without a pause"
    );
    let later = gateway.run(&mut log, 1_000);
    assert_eq!(reports(&later)[0].figures, report.figures);
}

#[test]
fn flush_before_exit() {
    let mut log = Log::default();
    let mut gateway = host("g1", 1);
    gateway.run(&mut log, 5_000);
    assert_eq!(gateway.node.leases(gateway.outside.now).count(), 3);
    gateway.give(served(2));
    gateway.pump(&mut log);
    gateway.give(served(5));
    gateway.give(Event::StopRequested);
    let effects = gateway.pump(&mut log);
    let effects = [effects, gateway.run(&mut log, 100)].concat();
    assert!(
        effects.contains(&Effect::MayExit),
        "the planned stop did not end"
    );
    assert_eq!(
        log.replica.usage().open().next().unwrap().1.accounts["a"].calls,
        7
    );
    assert_eq!(log.replica.leases().current(LeaseRole::Reporter), None);
}

#[test]
fn slow_reads() {
    let mut log = Log::default();
    let mut gateway = host("g1", 1);
    gateway.run(&mut log, 100);
    for _ in 0..30 {
        gateway.give(served(1));
        gateway.pass(100);
        // Appends are answered, reads are not.
        let effects: Vec<Effect> = gateway.outside.effects.drain(..).collect();
        for effect in effects {
            if let Effect::Append(append) = effect {
                append.records.iter().for_each(|record| {
                    log.write(record);
                });
                let token = append.token;
                gateway.give(Event::AppendDone { token });
            }
        }
    }
    assert_eq!(
        flushes(&log),
        4,
        "counts waited for a read that shows the last flush"
    );
}
