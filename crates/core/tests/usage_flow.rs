//! Guards against usage counts that are lost or counted twice, a window that is reported with two
//! different figures, and a report that is sent without the lease.

mod common;

use common::Log;
use common::host::Host;
use nutmegbay_core::ids::{Incarnation, WindowId};
use nutmegbay_core::node::{Effect, Event, NodeConfig};
use nutmegbay_core::record::{LeaseRole, Usage};
use nutmegbay_core::replica::WindowUsage;
use nutmegbay_core::usage::{SendUsageReport, WindowTiming};

/// Node with windows of 2 s that are sealed 1 s after their end. Its clock starts in window 500.
fn host(name: &str, incarnation: u128) -> Host {
    let mut cfg = NodeConfig::new(name, Incarnation(incarnation));
    cfg.windows = WindowTiming {
        window_ms: 2_000,
        grace_ms: 1_000,
    };
    let mut host = Host::new(cfg);
    host.environment.seed = incarnation << 64;
    host
}

fn served(calls: u64) -> Event {
    let usage = Usage {
        calls,
        ..Usage::default()
    };
    let account = "a".into();
    Event::RequestServed { account, usage }
}

fn reports(effects: &[Effect]) -> Vec<SendUsageReport> {
    let report = |effect: &Effect| match effect {
        Effect::SendUsageReport(report) => Some(report.clone()),
        _ => None,
    };
    effects.iter().filter_map(report).collect()
}

fn answer(host: &mut Host, report: &SendUsageReport, is_accepted: bool) {
    let window = report.window;
    host.send_event(Event::ReportAnswered {
        window,
        is_accepted,
    });
}

/// Number of flushes in the log.
fn flushes(log: &Log) -> usize {
    let is_flush = |text: &&String| text.contains("usage_counts");
    log.texts.iter().filter(is_flush).count()
}

#[test]
fn one_flush_per_second() {
    let mut log = Log::default();
    let mut gateway = host("g1", 1);
    gateway.run(&mut log, 100);
    for _ in 0..58 {
        gateway.send_event(served(1));
        gateway.run(&mut log, 50);
    }
    assert_eq!(
        flushes(&log),
        3,
        "2.9 s of counts are not flushed at 0, 1 and 2 s"
    );
    gateway.run(&mut log, 1_000);
    let usage = log.replica.usage();
    let open = usage.open().map(|(_, open)| open);
    let sealed = usage.unreported().map(|sealed| &sealed.usage);
    let calls = |usage: &WindowUsage| usage.accounts["a"].calls;
    assert_eq!(open.chain(sealed).map(calls).sum::<u64>(), 58);
    gateway.run(&mut log, 2_000);
    assert_eq!(flushes(&log), 4, "unchanged counts were flushed again");
}

#[test]
fn repeated_report_after_hand_over() {
    let mut log = Log::default();
    let mut first = host("g1", 1);
    first.run(&mut log, 100);
    first.send_event(served(3));
    // The process claims the lease after its start wait and seals after the window and its grace
    // time.
    let effects = first.run(&mut log, 5_000);
    let report = reports(&effects).remove(0);
    assert_eq!(
        (report.window, report.usage.accounts["a"].calls),
        (WindowId(500), 3)
    );
    // The answer is lost with the process. A late count is flushed before its successor repeats the
    // report.
    let mut late = host("g3", 3);
    late.run(&mut log, 100);
    late.environment.now = nutmegbay_core::environment::MonotonicTime::default();
    late.send_event(served(4));
    late.run(&mut log, 1_500);
    let mut second = host("g2", 2);
    let effects = second.run(&mut log, 5_000);
    let again = reports(&effects).remove(0);
    assert_eq!(
        (again.window, again.epoch, &again.usage),
        (report.window, report.epoch, &report.usage),
        "the repeated report differs from the first"
    );
    answer(&mut second, &again, true);
    let effects = second.run(&mut log, 5_000);
    let next = reports(&effects).remove(0);
    assert_eq!(
        (next.window, next.usage.late["a"].calls),
        (WindowId(501), 4),
        "a count that was flushed after the seal was lost or is not reported as late"
    );
    assert!(log.replica.usage().report(WindowId(500)).is_none());
}

#[test]
fn refused_reports() {
    let mut log = Log::default();
    let mut gateway = host("g1", 1);
    gateway.run(&mut log, 100);
    gateway.send_event(served(3));
    let effects = gateway.run(&mut log, 5_000);
    let report = reports(&effects).remove(0);
    answer(&mut gateway, &report, false);
    let soon = gateway.run(&mut log, 500);
    assert!(
        reports(&soon).is_empty(),
        "a refused report was repeated without a pause"
    );
    let later = gateway.run(&mut log, 1_000);
    assert_eq!(reports(&later)[0].usage, report.usage);
}

#[test]
fn flush_before_exit() {
    let mut log = Log::default();
    let mut gateway = host("g1", 1);
    gateway.run(&mut log, 5_000);
    assert_eq!(gateway.node.leases(gateway.environment.now).count(), 3);
    gateway.send_event(served(2));
    gateway.process_effects(&mut log);
    gateway.send_event(served(5));
    gateway.send_event(Event::StopRequested);
    let effects = gateway.process_effects(&mut log);
    let effects = [effects, gateway.run(&mut log, 100)].concat();
    assert!(
        effects.contains(&Effect::ReadyToExit),
        "the planned stop did not complete"
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
        gateway.send_event(served(1));
        gateway.advance(100);
        // The log answers appends but no reads.
        let effects: Vec<Effect> = gateway.environment.effects.drain(..).collect();
        for effect in effects {
            if let Effect::Append(append) = effect {
                append.records.iter().for_each(|record| {
                    log.write(record);
                });
                let token = append.token;
                gateway.send_event(Event::AppendDone { token });
            }
        }
    }
    assert_eq!(
        flushes(&log),
        4,
        "a flush waited until the previous one was read"
    );
}
