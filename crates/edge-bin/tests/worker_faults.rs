//! Guards the promise of each status: what 503 says has not run, and a non-idempotent request runs
//! at most once, however its worker fails.

mod common;

use std::time::Duration;

use common::Site;
use common::text;
use common::worker::{Act, EVENTS, event, events, header};
use tokio::time::timeout;

/// Status that a caller gets, and runs, for a request on `path` whose worker does `act`.
async fn outcome(site: &Site, path: &str, act: Act) -> (u16, usize) {
    for worker in &site.workers {
        worker.forget();
        worker.script(&[act]);
    }
    let answer = site.call("POST", path, &[]).await;
    for worker in &site.workers {
        worker.script(&[]);
    }
    (answer.status, site.runs())
}

#[tokio::test(flavor = "multi_thread")]
async fn once_only() {
    let site = Site::start(11, 2).await;
    let cases = [
        (Act::NotRun, 503, 0),
        (Act::Fail, 500, 1),
        (Act::Close, 502, 1),
        (Act::OtherId, 502, 1),
        (Act::Unsigned, 502, 1),
        (Act::Truncate, 502, 1),
        (Act::Twice, 200, 1),
        (Act::Hang, 504, 1),
        (Act::Serve, 200, 1),
    ];
    for (act, status, runs) in cases {
        assert_eq!(
            outcome(&site, "/once/1", act).await,
            (status, runs),
            "{act:?}"
        );
    }
}

/// A request that may be repeated goes to a second worker, and never to a third.
#[tokio::test(flavor = "multi_thread")]
async fn repeatable() {
    let site = Site::start(12, 3).await;
    for act in [
        Act::NotRun,
        Act::Close,
        Act::OtherId,
        Act::Unsigned,
        Act::Truncate,
        Act::Fail,
    ] {
        for worker in &site.workers {
            worker.forget();
        }
        site.workers[0].script(&[act]);
        site.workers[1].script(&[act]);
        site.workers[2].script(&[act]);
        let answer = site.call("GET", "/any/1", &[]).await;
        assert!(
            [500, 502, 503].contains(&answer.status),
            "{act:?}: {}",
            answer.status
        );
        assert_eq!(
            answer.status == 503,
            act == Act::NotRun,
            "{act:?} is a true promise"
        );
        assert!(site.runs() <= 2, "{act:?}: {} runs", site.runs());
        for worker in &site.workers {
            worker.script(&[]);
        }
    }
    site.workers[0].script(&[Act::Close]);
    for _ in 0..6 {
        assert_eq!(site.call("GET", "/any/1", &[]).await.status, 200);
    }
}

/// A worker must not go on for a caller that has left.
#[tokio::test(flavor = "multi_thread")]
async fn caller_leaves() {
    let site = Site::start(16, 1).await;
    site.workers[0].script(&[Act::Hang]);
    site.call_and_leave("/once/1", Duration::from_millis(200))
        .await;
    let told = site.until("the worker is told", async || site.workers[0].left() == 1);
    timeout(Duration::from_millis(500), told)
        .await
        .expect("told too late");
}

/// An extra answer may come late, in the place of the next one on the same connection, whose own answer
/// follows. Its caller was told 502 although its request had run and was answered.
#[tokio::test(flavor = "multi_thread")]
async fn late_extra_answer() {
    let site = Site::start(20, 1).await;
    for _ in 0..3 {
        let usual = site.call("POST", "/once/1", &[]).await;
        assert_eq!(usual.status, 200, "it leaves a connection that is kept");
        site.workers[0].script(&[Act::OtherFirst]);
        let answer = site.call("POST", "/once/2", &[]).await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, b"done");
    }
    assert_eq!(site.runs(), 6);
}

/// Bytes after a whole answer belong to no request.
#[tokio::test(flavor = "multi_thread")]
async fn extra_bytes() {
    let site = Site::start(13, 1).await;
    site.workers[0].script(&[Act::Twice, Act::Serve, Act::Twice, Act::Serve]);
    for n in 0..4 {
        let answer = site.call("POST", "/once/1", &[]).await;
        assert!(
            [200, 502].contains(&answer.status),
            "request {n}: {}",
            answer.status
        );
        assert!(answer.status != 200 || answer.body == b"done");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_stream() {
    let site = Site::start(14, 1).await;
    site.workers[0].script(&[Act::Stream]);
    let answer = site.call("POST", "/stream/1", &[]).await;
    assert_eq!(answer.status, 200);
    assert_eq!(text(&answer.body), events(1, EVENTS));
}

/// A stream that breaks within an event goes on at another worker after the last whole one.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_stream() {
    let site = Site::start(15, 2).await;
    for worker in &site.workers {
        worker.script(&[Act::Break(2)]);
    }
    // Whichever worker comes second must send the rest.
    let first_breaks = async {
        let answer = site.call("POST", "/stream/1", &[]).await;
        (answer.status, text_or_cut(&answer.body))
    };
    let (status, got) = first_breaks.await;
    assert_eq!(status, 200);
    assert_eq!(
        got,
        events(1, 2),
        "both broke: the caller sees whole events and a cut"
    );
    let second = site
        .workers
        .iter()
        .flat_map(common::worker::Worker::requests);
    let resumes: Vec<_> = second
        .filter_map(|head| header(&head, "last-event-id").map(String::from))
        .collect();
    assert_eq!(resumes, ["2"]);

    site.workers[0].script(&[Act::Break(3)]);
    site.workers[1].script(&[Act::Break(3)]);
    let both = site.call("POST", "/stream/1", &[]).await;
    assert_eq!(text_or_cut(&both.body), events(1, 3));
}

/// Events of a body that may be cut off.
fn text_or_cut(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    (1..=EVENTS)
        .map(event)
        .take_while(|event| text.contains(event.as_str()))
        .collect()
}
