//! Guards against streams that no edge can continue because the one that carried them has ended
//! before the others knew their versions.

mod common;

use std::time::Duration;

use common::body_end::{BodyEnd, Close, Cut, EVENTS_BEFORE_CUT, Framing};
use common::relayed::RelayedSite;
use common::versioned::{HeldStream, Outcome};
use common::worker::{Action, Worker};
use tokio::time::sleep;

const STREAMS: usize = 12;

/// Time within which each edge has read the list of instances.
const LIST_TIME: Duration = Duration::from_secs(2);

/// Time in which news reach all edges: three hops, and once again after a loss.
const NEWS_TIME: Duration = Duration::from_millis(200);

/// Upstreams send some events and then nothing, until the edge closes the connection.
const SILENCE: Action = Action::End(BodyEnd {
    framing: Framing::Chunks,
    cut: Cut::BetweenEvents,
    close: Close::Silence,
});

/// The edge that carried the streams and the one at which they are taken up follow relays.
#[tokio::test(flavor = "multi_thread")]
async fn killed_follower() {
    let mut relayed = RelayedSite::start(20).await;
    for (n, version) in [(0, "v1"), (1, "v2")] {
        relayed.site.list_version(n, version);
    }
    sleep(LIST_TIME).await;
    let (followers, _) = relayed.by_role().await;
    let (other, carrier) = (followers[0], followers[1]);
    Worker::share_script(&relayed.site.workers, &[SILENCE; STREAMS]);
    let mut streams = Vec::new();
    for _ in 0..STREAMS {
        let mut stream = HeldStream::new();
        let at = relayed.edges[carrier].0.ingress();
        let outcome = stream.attempt(at, "/stream/1", Some(EVENTS_BEFORE_CUT));
        assert_eq!(outcome.await, Outcome::Left);
        streams.push(stream);
    }
    sleep(NEWS_TIME).await;
    let at = relayed.edges[other].0.ingress();
    drop(relayed.edges.remove(carrier));
    for stream in &mut streams {
        let outcome = stream.attempt(at, "/stream/1", None).await;
        assert_eq!(outcome, Outcome::Complete);
        assert_eq!(stream.versions().len(), 1, "{stream:?}");
    }
}
