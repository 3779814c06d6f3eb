//! Guards against content that crashes one upstream after another, and against refusing harmless
//! requests because of a crash.

use nutmegbay_core::crashes::{BrokenRun, ContentId, CrashHistory, CrashReport, ReportSource};

/// A request that its caller sends again.
const REQUEST: ContentId = ContentId(7);

/// Block that all prompts of an account share.
const COMMON: ContentId = ContentId(100);

/// Block on which upstreams crash.
const CRASHING: ContentId = ContentId(101);

/// Block of harmless prompts.
const HARMLESS: ContentId = ContentId(102);

/// Run at the upstream `incarnation` that was sent at `sent_ms` and broke 20 ms later.
fn run(request: ContentId, blocks: &[ContentId], incarnation: u64, sent_ms: u64) -> BrokenRun {
    BrokenRun {
        id: request.0 ^ (incarnation << 32) ^ (sent_ms << 40),
        contents: [&[request], blocks].concat(),
        incarnation,
        sent_ms,
        broke_ms: sent_ms + 20,
    }
}

/// Records a crash of the upstream `incarnation` that broke the runs of prompts with the given
/// blocks. No two prompts are alike.
fn crash_with(
    crashes: &mut CrashHistory,
    incarnation: u64,
    sent_ms: u64,
    prompts: &[&[ContentId]],
) {
    for (n, blocks) in (0..).zip(prompts) {
        let request = ContentId(1_000 * incarnation + n);
        crashes.record_broken_run(run(request, blocks, incarnation, sent_ms), sent_ms + 20);
    }
    crashes.record_crash(incarnation, sent_ms + 30);
}

/// Records a crash of the upstream `incarnation` under [`REQUEST`].
fn crash(crashes: &mut CrashHistory, incarnation: u64, sent_ms: u64) {
    crashes.record_broken_run(run(REQUEST, &[], incarnation, sent_ms), sent_ms + 20);
    crashes.end_incarnation(incarnation, sent_ms + 20);
}

fn is_refused(crashes: &CrashHistory, contents: &[ContentId], now_ms: u64) -> bool {
    crashes.refused_for(contents, now_ms).is_some()
}

/// A prompt that was not sent before.
fn new_prompt(blocks: &[ContentId]) -> Vec<ContentId> {
    [&[ContentId(u64::MAX)], blocks].concat()
}

#[test]
fn three_in_a_row() {
    let mut crashes = CrashHistory::default();
    crash(&mut crashes, 1, 1_000);
    crash(&mut crashes, 2, 1_100);
    assert!(!is_refused(&crashes, &[REQUEST], 2_000));
    crash(&mut crashes, 3, 2_000);
    assert!(is_refused(&crashes, &[REQUEST], 2_100));
    assert!(!is_refused(&crashes, &[ContentId(8)], 2_100));
}

/// The same upstream may crash again after its restart, as another incarnation.
#[test]
fn restarted_upstream() {
    let mut crashes = CrashHistory::default();
    for incarnation in 1..=3 {
        crash(&mut crashes, incarnation, incarnation * 5_000);
    }
    assert!(is_refused(&crashes, &[REQUEST], 16_000));
}

/// All upstreams of a service crash at once while many requests with the same content wait there.
/// These runs are not consecutive.
#[test]
fn common_crash() {
    let mut crashes = CrashHistory::default();
    for incarnation in 1..=3 {
        crash(&mut crashes, incarnation, 1_000);
        crash_with(&mut crashes, 10 + incarnation, 1_000, &[&[HARMLESS][..]; 4]);
    }
    assert!(!is_refused(&crashes, &[REQUEST], 1_100));
    assert!(!is_refused(&crashes, &new_prompt(&[HARMLESS]), 1_100));
}

/// So many requests with the block come that all upstreams crash before a third one was sent after
/// the second crash. When upstreams are back, one request shows that the block is the cause.
/// Harmless blocks that were answered before are not refused.
#[test]
fn simultaneous_crashes() {
    let mut crashes = CrashHistory::default();
    crashes.record_answer(&new_prompt(&[HARMLESS]), 1_000);
    let prompts: [&[_]; 2] = [&[CRASHING], &[HARMLESS]];
    for incarnation in 1..=6 {
        crash_with(&mut crashes, incarnation, 60_000, &prompts);
    }
    let contents = new_prompt(&[CRASHING]);
    assert!(is_refused(&crashes, &contents, 60_100));
    assert!(!is_refused(&crashes, &new_prompt(&[HARMLESS]), 60_100));
    assert!(
        !is_refused(&crashes, &contents, 66_000),
        "upstreams are back"
    );
    crashes.record_sent(&contents, 66_000);
    assert!(is_refused(&crashes, &contents, 66_001), "one run at a time");
    crash_with(&mut crashes, 7, 66_000, &[&[CRASHING]]);
    crashes.record_sent(&contents, 80_000);
    crash_with(&mut crashes, 8, 80_000, &[&[CRASHING]]);
    assert!(is_refused(&crashes, &contents, 180_000));
}

/// A harmless request breaks with three upstreams in a row, which crash under other requests. It is
/// not taken for the cause, neither before nor after the block is refused.
#[test]
fn unlucky_request() {
    let mut crashes = CrashHistory::default();
    crash_with(&mut crashes, 1, 900, &[&[CRASHING]]);
    for n in 0..3 {
        let (incarnation, sent_ms) = (n + 2, 1_000 + n * 100);
        let unlucky = run(REQUEST, &[HARMLESS], incarnation, sent_ms);
        crashes.record_broken_run(unlucky, sent_ms + 20);
        // Sent before the crash of the first upstream.
        let mut other = run(ContentId(n), &[CRASHING], incarnation, 900);
        other.broke_ms = sent_ms + 20;
        crashes.record_broken_run(other, sent_ms + 20);
        crashes.record_crash(incarnation, sent_ms + 30);
        assert!(!is_refused(&crashes, &[REQUEST, HARMLESS], sent_ms + 40));
    }
    crash_with(&mut crashes, 5, 1_210, &[&[CRASHING]]);
    assert!(is_refused(&crashes, &new_prompt(&[CRASHING]), 1_300));
    assert!(!is_refused(&crashes, &[REQUEST, HARMLESS], 1_300));
}

/// Broken connections of upstreams that keep running are no crashes.
#[test]
fn broken_connections() {
    let mut crashes = CrashHistory::default();
    for n in 1..=10 {
        let broken = run(REQUEST, &[CRASHING], n, n * 1_000);
        crashes.record_broken_run(broken, n * 1_000 + 20);
    }
    assert!(!is_refused(&crashes, &[REQUEST, CRASHING], 11_000));
}

#[test]
fn good_answer() {
    let mut crashes = CrashHistory::default();
    crash(&mut crashes, 1, 1_000);
    crash(&mut crashes, 2, 2_000);
    crashes.record_answer(&[REQUEST], 2_500);
    crash(&mut crashes, 3, 3_000);
    assert!(!is_refused(&crashes, &[REQUEST], 3_100));
    crash(&mut crashes, 4, 20_000);
    crash(&mut crashes, 5, 21_000);
    assert!(!is_refused(&crashes, &[REQUEST], 21_100));
}

/// Content is not refused forever: one run is allowed after the refusal period, and one more crash
/// is enough to refuse it again.
#[test]
fn second_chance() {
    let mut crashes = CrashHistory::default();
    for incarnation in 1..=3 {
        crash(&mut crashes, incarnation, incarnation * 1_000);
    }
    assert!(is_refused(&crashes, &[REQUEST], 100_000));
    assert!(!is_refused(&crashes, &[REQUEST], 124_000));
    crashes.record_sent(&[REQUEST], 124_000);
    assert!(
        is_refused(&crashes, &[REQUEST], 124_001),
        "one run at a time"
    );
    crash(&mut crashes, 4, 124_000);
    assert!(is_refused(&crashes, &[REQUEST], 125_000));
    assert!(is_refused(&crashes, &[REQUEST], 240_000));
}

/// Earlier crashes still count when only the last one is recent.
#[test]
fn long_quarantine() {
    let mut crashes = CrashHistory::default();
    let mut sent_ms = 0;
    for incarnation in 1..=8 {
        sent_ms += if incarnation <= 3 { 1_000 } else { 130_000 };
        crash(&mut crashes, incarnation, sent_ms);
        crashes.sweep(sent_ms + 100);
    }
    assert!(is_refused(&crashes, &[REQUEST], sent_ms + 1_000));
    crashes.sweep(sent_ms + 400_000);
    assert!(crashes.is_empty());
}

/// A run that another instance reports counts once, however often the report arrives.
#[test]
fn repeated_report() {
    let mut crashes = CrashHistory::default();
    let report = CrashReport {
        runs: vec![run(REQUEST, &[], 1, 1_000)],
        answers: Vec::new(),
    };
    for _ in 0..5 {
        crashes.merge(&report, ReportSource::Shared, 2_000);
    }
    assert!(!is_refused(&crashes, &[REQUEST], 2_000));
}

/// A request that keeps breaking must not use more and more memory, and what is known of
/// quarantined content must not be displaced.
#[test]
fn bounded_runs() {
    let mut crashes = CrashHistory::default();
    for n in 0..2_000 {
        crashes.record_broken_run(run(REQUEST, &[], 7, n * 10), n * 10 + 20);
    }
    assert_eq!(crashes.end_incarnation(7, 20_000), 512);

    let mut crashes = CrashHistory::default();
    for incarnation in 1..=3 {
        crash(&mut crashes, incarnation, incarnation * 1_000);
    }
    for incarnation in 10..200 {
        crash_with(&mut crashes, incarnation, 5_000, &[&[][..]; 8]);
    }
    assert!(is_refused(&crashes, &[REQUEST], 6_000));
    assert!(crashes.report(6_000).runs.len() <= 512);
}

/// Requests that share one block crash upstreams, no two of them alike. Harmless prompts of the
/// same account break with them, and some complete.
#[test]
fn shared_block() {
    let mut crashes = CrashHistory::default();
    for n in 1..=3 {
        crashes.record_answer(&new_prompt(&[COMMON, HARMLESS]), n * 1_000 - 500);
        let prompts: [&[_]; 3] = [&[COMMON, CRASHING], &[COMMON, HARMLESS], &[COMMON]];
        crash_with(&mut crashes, n, n * 1_000, &prompts);
    }
    let refused_blocks = [COMMON, CRASHING];
    assert!(is_refused(&crashes, &new_prompt(&refused_blocks), 3_100));
    assert!(!is_refused(
        &crashes,
        &new_prompt(&[COMMON, HARMLESS]),
        3_100
    ));
    assert!(!is_refused(&crashes, &new_prompt(&[COMMON]), 3_100));
}

/// Nothing is known of any block when the first crashes come. Requests without the block on which
/// upstreams crash are not refused, even if another block was in every crashed run.
#[test]
fn unknown_blocks() {
    let mut crashes = CrashHistory::default();
    for n in 1..=3 {
        crash_with(&mut crashes, n, n * 1_000, &[&[COMMON, CRASHING]]);
    }
    assert!(is_refused(
        &crashes,
        &new_prompt(&[COMMON, CRASHING]),
        3_100
    ));
    assert!(!is_refused(
        &crashes,
        &new_prompt(&[COMMON, HARMLESS]),
        3_100
    ));
    // A crash without the common block shows that the other one suffices.
    crash_with(&mut crashes, 4, 4_000, &[&[CRASHING]]);
    assert!(is_refused(&crashes, &new_prompt(&[CRASHING]), 4_100));
}

/// Harmless prompts broke in two of three crashes, and in one that had another cause. The crashes
/// that the block explains do not count against them.
#[test]
fn explained_crashes() {
    let mut crashes = CrashHistory::default();
    crash_with(&mut crashes, 1, 1_000, &[&[CRASHING], &[HARMLESS]]);
    crash_with(&mut crashes, 2, 2_000, &[&[CRASHING], &[HARMLESS]]);
    crash_with(&mut crashes, 3, 3_000, &[&[CRASHING]]);
    crash_with(&mut crashes, 4, 4_000, &[&[CRASHING]]);
    crash_with(&mut crashes, 5, 5_000, &[&[HARMLESS]]);
    assert!(is_refused(&crashes, &new_prompt(&[CRASHING]), 5_100));
    assert!(!is_refused(&crashes, &new_prompt(&[HARMLESS]), 5_100));
}

/// The same request may come with another prompt. Its answer clears the request and not the block.
#[test]
fn equal_requests() {
    let mut crashes = CrashHistory::default();
    for n in 1..=3 {
        let sent_ms = n * 1_000;
        crashes.record_broken_run(run(REQUEST, &[CRASHING], n, sent_ms), sent_ms + 20);
        crashes.record_crash(n, sent_ms + 30);
        crashes.record_answer(&[REQUEST, HARMLESS], sent_ms + 500);
    }
    assert!(is_refused(&crashes, &[REQUEST, CRASHING], 3_600));
    assert!(!is_refused(&crashes, &[REQUEST, HARMLESS], 3_600));
}

/// Two blocks crash upstreams at the same time.
#[test]
fn two_blocks() {
    let mut crashes = CrashHistory::default();
    for n in 0..4 {
        crash_with(&mut crashes, 2 * n + 1, n * 1_000, &[&[CRASHING]]);
        crash_with(&mut crashes, 2 * n + 2, n * 1_000 + 500, &[&[HARMLESS]]);
    }
    assert!(is_refused(&crashes, &new_prompt(&[CRASHING]), 4_000));
    assert!(is_refused(&crashes, &new_prompt(&[HARMLESS]), 4_000));
}

/// Each of three instances sees one crash. What they tell each other is enough.
#[test]
fn separate_instances() {
    let mut instances = [(); 3].map(|()| CrashHistory::default());
    for (n, crashes) in (1..).zip(&mut instances) {
        crash_with(crashes, n, n * 1_000, &[&[CRASHING]]);
    }
    let [first, second, third] = &mut instances;
    for other in [second, third] {
        let news = other.take_news(4_000);
        assert!(!news.is_empty());
        first.merge(&news, ReportSource::Shared, 4_000);
    }
    assert!(is_refused(first, &new_prompt(&[CRASHING]), 4_000));
    let mut started = CrashHistory::default();
    started.merge(&first.report(60_000), ReportSource::Shared, 60_000);
    assert!(is_refused(&started, &new_prompt(&[CRASHING]), 60_000));
}

/// A block is suspected by others, and this instance has answers that clear it. It says so.
#[test]
fn refuted_suspicion() {
    let mut crashes = CrashHistory::default();
    let mut other = CrashHistory::default();
    for n in 1..=3 {
        crash_with(&mut other, n, n * 1_000, &[&[HARMLESS]]);
    }
    assert!(is_refused(&other, &new_prompt(&[HARMLESS]), 3_100));
    crashes.record_answer(&new_prompt(&[HARMLESS]), 3_000);
    crashes.merge(&other.take_news(3_100), ReportSource::Shared, 3_100);
    assert!(!is_refused(&crashes, &new_prompt(&[HARMLESS]), 3_100));
    let refutation = crashes.take_news(3_200);
    other.merge(&refutation, ReportSource::Shared, 3_200);
    assert!(!is_refused(&other, &new_prompt(&[HARMLESS]), 3_300));
}

/// Only relays pass news on, and each piece is sent a few times.
#[test]
fn bounded_news() {
    let mut crashes = CrashHistory::default();
    let report = |n| CrashReport {
        runs: vec![run(ContentId(n), &[CRASHING], n, 1_000 * n)],
        answers: Vec::new(),
    };
    crashes.merge(&report(1), ReportSource::Shared, 2_000);
    assert!(crashes.take_news(2_000).is_empty());
    crashes.merge(&report(2), ReportSource::Unshared, 3_000);
    let sends = (0..100).filter(|n| !crashes.take_news(3_000 + n * 10).is_empty());
    assert_eq!(sends.count(), 3);
}

/// The store gets only what several crashes have in common, and only from those that saw it.
#[test]
fn stored_evidence() {
    let mut crashes = CrashHistory::default();
    crash_with(&mut crashes, 1, 1_000, &[&[CRASHING], &[HARMLESS]]);
    assert!(crashes.own_report().is_empty(), "one crash is no pattern");
    let others = CrashReport {
        runs: vec![run(ContentId(2), &[CRASHING], 2, 2_000)],
        answers: Vec::new(),
    };
    crashes.merge(&others, ReportSource::Shared, 2_100);
    let stored = crashes.own_report();
    assert_eq!(stored.runs.len(), 1);
    assert!(stored.runs[0].contents.contains(&CRASHING));
    // After a restart, the instance goes on from its own record.
    let mut restarted = CrashHistory::default();
    restarted.merge(&stored, ReportSource::Own, 3_000);
    crash_with(&mut restarted, 3, 3_000, &[&[CRASHING]]);
    assert_eq!(restarted.own_report().runs.len(), 2);
}

/// Times that cannot be right, for example from a damaged report, have no effect.
#[test]
fn implausible_times() {
    let mut crashes = CrashHistory::default();
    let runs = [(u64::MAX - 20, 1), (900_000, 2), (1, 3)];
    let report = CrashReport {
        runs: runs
            .map(|(sent_ms, n)| run(REQUEST, &[], n, sent_ms))
            .to_vec(),
        answers: Vec::new(),
    };
    crashes.merge(&report, ReportSource::Shared, 600_000);
    assert!(crashes.is_empty());
}
