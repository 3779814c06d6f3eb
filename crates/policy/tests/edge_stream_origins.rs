//! Guards against continuing a stream at another version than the one that began it, and against
//! news without end.

use std::collections::BTreeSet;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::software_versions::{
    StoredVersion, TakeUpBounds, VersionHistory, VersionTag,
};
use nutmegbay_policy::edge::stream_origins::{
    AttemptTag, MAX_ATTEMPTS, Origin, OriginNews, ServiceTag, StreamOrigins,
};
use proptest::prelude::*;

const SERVICE: ServiceTag = ServiceTag(7);

const RETENTION: Duration = Duration::from_secs(20);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

fn origin(version: u32) -> Origin {
    Origin {
        service: SERVICE,
        version: VersionTag(version),
    }
}

fn version(origins: &StreamOrigins, attempt: u64, ms: u64) -> Option<u32> {
    let known = origins.origin(AttemptTag(attempt), at(ms));
    known.map(|known| known.version.0)
}

fn merge_all(origins: &mut StreamOrigins, news: &[OriginNews], is_relay: bool, ms: u64) {
    for news in news {
        origins.merge(news, is_relay, at(ms));
    }
}

/// A second version appears while streams are open.
#[test]
fn open_streams() {
    let mut origins = StreamOrigins::default();
    origins.record_own(AttemptTag(1), origin(1), false, at(0));
    assert_eq!(origins.take_news(at(0)), []);
    origins.tell_all(ServiceTag(8), at(100));
    assert_eq!(origins.take_news(at(100)), []);
    origins.tell_all(SERVICE, at(100));
    let mut other = StreamOrigins::default();
    merge_all(&mut other, &origins.take_news(at(100)), false, 101);
    assert_eq!(version(&other, 1, 101), Some(1));
}

/// A datagram may be lost, but news are not sent without end.
#[test]
fn lost_datagram() {
    let mut origins = StreamOrigins::default();
    origins.record_own(AttemptTag(1), origin(1), true, at(0));
    assert_eq!(origins.take_news(at(5)).len(), 1);
    assert_eq!(origins.take_news(at(40)), []);
    let mut other = StreamOrigins::default();
    merge_all(&mut other, &origins.take_news(at(45)), false, 46);
    assert_eq!(version(&other, 1, 46), Some(1));
    for ms in (50..30_000).step_by(5) {
        assert_eq!(origins.take_news(at(ms)), [], "at {ms}");
    }
}

/// Relays forward news to each other, but not back and forth.
#[test]
fn forwarded_once() {
    let mut relays = [StreamOrigins::default(), StreamOrigins::default()];
    relays[0].record_own(AttemptTag(1), origin(1), true, at(0));
    let mut sent = 0;
    for ms in (0..5_000).step_by(5) {
        for (from, to) in [(0, 1), (1, 0)] {
            let news = relays[from].take_news(at(ms));
            sent += news.len();
            merge_all(&mut relays[to], &news, true, ms + 1);
        }
    }
    assert_eq!(sent, 4);
}

/// Two attempts with the same hash, or a peer in error, must not change a known origin.
#[test]
fn first_origin() {
    let mut origins = StreamOrigins::default();
    origins.record_own(AttemptTag(1), origin(1), true, at(0));
    let mut other = StreamOrigins::default();
    other.record_own(AttemptTag(1), origin(2), true, at(0));
    merge_all(&mut origins, &other.take_news(at(5_000)), false, 5_000);
    origins.record_own(AttemptTag(1), origin(2), true, at(6_000));
    assert_eq!(version(&origins, 1, 6_000), Some(1));
    assert_eq!(origins.take_news(at(6_000))[0].origin, origin(1));
}

/// A caller takes up its stream again and again, each time naming its first attempt.
#[test]
fn long_chain() {
    let mut carrier = StreamOrigins::default();
    let mut relay = StreamOrigins::default();
    let mut other = StreamOrigins::default();
    for ms in (0..60_000).step_by(5_000) {
        carrier.record_own(AttemptTag(1), origin(1), true, at(ms));
        merge_all(&mut relay, &carrier.take_news(at(ms)), true, ms);
        merge_all(&mut other, &relay.take_news(at(ms)), false, ms);
        for origins in [&mut carrier, &mut relay, &mut other] {
            origins.sweep(RETENTION, at(ms));
        }
        assert_eq!(version(&other, 1, ms), Some(1), "at {ms}");
    }
    other.sweep(RETENTION, at(75_000));
    assert!(other.is_empty());
}

/// Attempts without end must not use more and more memory, nor datagrams that are too large.
#[test]
fn bounded_memory() {
    let mut origins = StreamOrigins::default();
    let count = MAX_ATTEMPTS as u64 + 1_000;
    for n in 0..count {
        origins.record_own(AttemptTag(n), origin(1), true, at(0));
    }
    assert!(origins.len() <= MAX_ATTEMPTS);
    assert_eq!(version(&origins, 0, 0), None);
    assert_eq!(version(&origins, count - 1, 0), Some(1));
    let mut datagrams = 0;
    for ms in (0..10_000).step_by(5) {
        let news = origins.take_news(at(ms));
        let size = serde_json::to_vec(&news).map(|json| json.len());
        assert!(size.is_ok_and(|size| size < 16_000));
        datagrams += usize::from(!news.is_empty());
    }
    assert!(datagrams < 40, "{datagrams} datagrams");
    origins.sweep(RETENTION, at(20_000));
    assert!(origins.is_empty());
}

/// An instance that has just started takes over what the others know.
#[test]
fn started_instance() {
    let mut origins = StreamOrigins::default();
    origins.record_own(AttemptTag(1), origin(1), false, at(0));
    origins.record_own(AttemptTag(2), origin(2), true, at(6_000));
    let mut started = StreamOrigins::default();
    for known in origins.snapshot(at(8_000)) {
        started.take_over(&known, at(500));
    }
    assert_eq!(version(&started, 1, 500), Some(1));
    assert_eq!(version(&started, 2, 500), Some(2));
}

/// Instances that start one after another must not keep a stream forever.
#[test]
fn handed_on() {
    let mut origins = StreamOrigins::default();
    origins.record_own(AttemptTag(1), origin(1), true, at(100_000));
    for ms in (103_000..=121_000).step_by(3_000) {
        let mut started = StreamOrigins::default();
        for known in origins.snapshot(at(ms)) {
            started.take_over(&known, at(ms));
        }
        origins = started;
        origins.sweep(RETENTION, at(ms));
        assert_eq!(version(&origins, 1, ms).is_some(), ms < 120_000, "at {ms}");
    }
}

/// Time in milliseconds for which an upstream whose entry is gone gets requests.
const DRAIN_MS: u64 = 2_000;

/// Time in milliseconds for which an answer lasts.
const TIMEOUT_MS: u64 = 4_000;

/// Time in milliseconds for which a caller takes its stream up, however short the answers are.
const WAIT_MS: u64 = 11_000;

/// Step of the model. An instance, a version or a stream is chosen by a number.
#[derive(Debug, Clone)]
enum Step {
    Wait(u8),
    Release(u8),
    Leave(u8),
    Kill(u8),
    KillAll,
    Cut {
        instance: u8,
        is_cut: bool,
    },
    Pause {
        instance: u8,
        is_paused: bool,
    },
    Begin {
        instance: u8,
        version: u8,
        is_told: bool,
    },
    TakeUp {
        instance: u8,
        stream: u8,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (1..4_u8).prop_map(Step::Wait),
        2 => any::<u8>().prop_map(Step::Release),
        2 => any::<u8>().prop_map(Step::Leave),
        1 => any::<u8>().prop_map(Step::Kill),
        1 => Just(Step::KillAll),
        2 => (any::<u8>(), any::<bool>())
            .prop_map(|(instance, is_cut)| Step::Cut { instance, is_cut }),
        2 => (any::<u8>(), any::<bool>())
            .prop_map(|(instance, is_paused)| Step::Pause { instance, is_paused }),
        5 => (any::<u8>(), any::<u8>(), any::<bool>()).prop_map(|(instance, version, is_told)| {
            Step::Begin { instance, version, is_told }
        }),
        6 => (any::<u8>(), any::<u8>())
            .prop_map(|(instance, stream)| Step::TakeUp { instance, stream }),
    ];
    proptest::collection::vec(step, 1..120)
}

#[derive(Default)]
struct Instance {
    history: VersionHistory,
    origins: StreamOrigins,
    /// List as last read, and the time at which it was.
    listed: BTreeSet<u32>,
    read_at: Option<MonotonicTime>,
    /// Number of records of the list that it has read.
    read: Option<usize>,
    /// Whether it is cut off from the store.
    is_cut: bool,
    /// Whether its process is stopped. What waits for it is handled when it goes on, before it
    /// reads anything.
    is_paused: bool,
}

impl Instance {
    fn restart(&mut self) {
        *self = Self {
            is_cut: self.is_cut,
            is_paused: self.is_paused,
            ..Self::default()
        };
    }
}

/// Upstreams of some versions, instances that see their list while they reach the store, and the
/// streams that began.
#[derive(Default)]
struct Model {
    /// Time in milliseconds.
    now: u64,
    instances: [Instance; 3],
    in_store: Vec<StoredVersion>,
    /// Versions with an entry in the list.
    serving: BTreeSet<u32>,
    /// Versions of the entries in the order in which they were written.
    records: Vec<u32>,
    /// Versions without one, with the time of its removal.
    removed: Vec<(u32, u64)>,
    streams: Vec<(u32, u64)>,
}

impl Model {
    fn retention() -> Duration {
        let bounds = TakeUpBounds {
            drain: Duration::from_millis(DRAIN_MS),
            timeout: Duration::from_millis(TIMEOUT_MS),
            caller_wait: Some(Duration::from_millis(WAIT_MS)),
        };
        bounds.retention()
    }

    fn now(&self) -> MonotonicTime {
        at(self.now)
    }

    fn update(&mut self) {
        let now = self.now();
        for instance in self.instances.iter_mut().filter(|i| !i.is_paused) {
            let was_mixed = instance.history.is_mixed();
            let mut has_passed = false;
            if !instance.is_cut {
                // What was listed was in use until its record was replaced.
                for version in &instance.listed {
                    instance.history.record_used(VersionTag(*version), now);
                }
                instance.listed.clone_from(&self.serving);
                instance.read_at = Some(now);
                let read = instance.read.replace(self.records.len());
                for version in &self.records[read.unwrap_or(self.records.len())..] {
                    has_passed |= instance.history.record_used(VersionTag(*version), now);
                }
            }
            let Instance {
                history,
                origins,
                listed,
                is_cut,
                ..
            } = instance;
            let listed = listed.iter().copied().map(VersionTag);
            let has_new = history.record_listed(listed, !*is_cut, now) || has_passed;
            // Calls to the store take no time.
            if !*is_cut && history.needs_earlier() {
                history.record_earlier(&self.in_store, true, now, now);
            }
            history.sweep(Self::retention(), now);
            if history.is_mixed() && (has_new || !was_mixed) {
                origins.tell_all(SERVICE, now);
            }
            origins.sweep(Self::retention(), now);
            let replacement = history.replacement(&self.in_store, Self::retention(), now);
            if let (false, Some(replacement)) = (*is_cut, replacement) {
                self.in_store = replacement;
            }
        }
    }

    fn send_news(&mut self, from: usize) {
        let now = self.now();
        for news in self.instances[from].origins.take_news(now) {
            for (to, instance) in self.instances.iter_mut().enumerate() {
                let is_reached = to != from && !instance.is_paused;
                if is_reached && instance.origins.merge(&news, false, now) {
                    instance.history.record_used(news.origin.version, now);
                }
            }
        }
    }

    fn begin(&mut self, instance: usize, choice: u8, is_told: bool) {
        // An instance that is cut off uses upstreams without an entry for as long as they serve.
        let removed = self.removed.iter();
        let draining = removed.filter(|(_, since)| self.now < since + DRAIN_MS);
        let draining: BTreeSet<u32> = draining.map(|(version, _)| *version).collect();
        let listed = self.instances[instance].listed.iter();
        let usable: Vec<u32> = listed
            .filter(|version| self.serving.contains(version) || draining.contains(version))
            .copied()
            .collect();
        let Some(version) = usable.get(usize::from(choice) % usable.len().max(1)) else {
            return;
        };
        let attempt = AttemptTag(self.streams.len() as u64);
        self.streams.push((*version, self.now));
        let now = self.now();
        let Instance {
            history, origins, ..
        } = &mut self.instances[instance];
        history.record_used(VersionTag(*version), now);
        origins.record_own(attempt, origin(*version), history.is_mixed(), now);
        if is_told {
            self.send_news(instance);
        }
    }

    /// Returns the version at which a stream is continued, and the one that began it.
    fn take_up(&self, instance: usize, choice: u8) -> Option<(Option<u32>, u32)> {
        let age = |stream: &(u32, u64)| self.now - stream.1;
        let open: Vec<_> = (0..self.streams.len())
            .filter(|at| age(&self.streams[*at]) < WAIT_MS)
            .collect();
        let attempt = *open.get(usize::from(choice) % open.len().max(1))?;
        let Instance {
            history,
            origins,
            read_at,
            ..
        } = &self.instances[instance];
        let known = origins.origin(AttemptTag(attempt as u64), self.now());
        let known = known.map(|known| known.version);
        let version = known.or_else(|| history.proved(*read_at, self.now()));
        Some((version.map(|version| version.0), self.streams[attempt].0))
    }

    fn apply(&mut self, step: &Step) -> Option<(Option<u32>, u32)> {
        let index = |choice: &u8| usize::from(*choice) % 3;
        // The instances that run read the list all the time.
        self.now += 1;
        self.update();
        match step {
            Step::Wait(seconds) => {
                for _ in 0..*seconds {
                    self.now += 1_000;
                    self.update();
                }
            }
            Step::Release(version) => {
                self.serving.insert(u32::from(version % 4));
                self.records.push(u32::from(version % 4));
                self.update();
            }
            Step::Leave(version) => {
                let version = u32::from(version % 4);
                if self.serving.remove(&version) {
                    self.removed.push((version, self.now));
                }
                self.update();
            }
            Step::Kill(instance) => self.instances[index(instance)].restart(),
            Step::KillAll => self.instances.iter_mut().for_each(Instance::restart),
            Step::Cut { instance, is_cut } => {
                self.instances[index(instance)].is_cut = *is_cut;
                self.update();
            }
            Step::Begin {
                instance,
                version,
                is_told,
            } if !self.instances[index(instance)].is_paused => {
                self.begin(index(instance), *version, *is_told);
            }
            Step::Begin { .. } => {}
            Step::Pause {
                instance,
                is_paused,
            } => {
                self.instances[index(instance)].is_paused = *is_paused;
            }
            Step::TakeUp { instance, stream } => return self.take_up(index(instance), *stream),
        }
        None
    }
}

/// An instance has just gone on after a pause in which another version joined and began a stream.
#[test]
fn paused_instance() {
    let mut model = Model::default();
    let pause = |is_paused| Step::Pause {
        instance: 1,
        is_paused,
    };
    let begin = Step::Begin {
        instance: 2,
        version: 0,
        is_told: false,
    };
    let take_up = Step::TakeUp {
        instance: 1,
        stream: 0,
    };
    let joined = [
        Step::Wait(1),
        Step::Release(3),
        pause(true),
        Step::Wait(1),
        Step::Release(0),
        begin,
    ];
    for step in &joined {
        assert_eq!(model.apply(step), None);
    }
    let (version, first) = model.apply(&take_up).unwrap();
    assert_eq!(version, None, "the stream is of {first}");
    model.apply(&pause(false));
    let (version, first) = model.apply(&take_up).unwrap();
    assert!(version.is_none_or(|version| version == first));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_000))]

    /// Whatever an instance has missed, it continues no stream at another version.
    #[test]
    fn continued_version(steps in steps()) {
        let mut model = Model::default();
        for step in &steps {
            if let Some((Some(version), began)) = model.apply(step) {
                prop_assert_eq!(version, began, "after {}", model.now);
            }
        }
    }
}
