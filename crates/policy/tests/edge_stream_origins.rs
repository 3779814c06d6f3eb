//! Guards against continuing a stream at another version than the one that began it.

use std::collections::BTreeSet;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::origin_replicas::ReplicaMember;
use nutmegbay_policy::edge::software_versions::{
    StoredVersion, TakeUpBounds, VersionHistory, VersionTag,
};
use nutmegbay_policy::edge::stream_origins::{AttemptTag, Origin, ServiceTag, StreamOrigins};
use nutmegbay_policy::edge::version_news::VersionNews;
use proptest::prelude::*;

const SERVICE: ServiceTag = ServiceTag(7);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

fn origin(version: u32) -> Origin {
    Origin {
        service: SERVICE,
        version: VersionTag(version),
    }
}

fn index(name: u64) -> usize {
    usize::try_from(name).unwrap()
}

/// Instances of a group, by their names and failure domains.
fn members(names: std::ops::Range<u64>) -> Vec<ReplicaMember> {
    let member = |name| ReplicaMember {
        domain: name % 3,
        name,
    };
    names.map(member).collect()
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
    version_news: VersionNews,
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
            if !instance.is_cut {
                // What was listed was in use until its record was replaced.
                for version in &instance.listed {
                    instance.history.record_used(VersionTag(*version), now);
                }
                instance.listed.clone_from(&self.serving);
                instance.read_at = Some(now);
                let read = instance.read.replace(self.records.len());
                for version in &self.records[read.unwrap_or(self.records.len())..] {
                    instance.history.record_used(VersionTag(*version), now);
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
            history.record_listed(listed, !*is_cut, now);
            // Calls to the store take no time.
            if !*is_cut && history.needs_earlier() {
                history.record_earlier(&self.in_store, true, now, now);
            }
            history.sweep(Self::retention(), now);
            origins.sweep(Self::retention(), now);
            let replacement = history.replacement(&self.in_store, Self::retention(), now);
            if let (false, Some(replacement)) = (*is_cut, replacement) {
                self.in_store = replacement;
            }
        }
    }

    fn send_news(&mut self, from: usize) {
        let now = self.now();
        let used: Vec<_> = self.instances[from].version_news.take().collect();
        let others = self.instances.iter_mut().enumerate();
        for (_, instance) in others.filter(|(to, other)| *to != from && !other.is_paused) {
            for origin in &used {
                instance.history.record_used(origin.version, now);
            }
        }
        for (to, copies) in self.instances[from].origins.take_copies(now) {
            let instance = &mut self.instances[index(to)];
            for copies in copies.iter().filter(|_| !instance.is_paused) {
                instance.origins.merge(copies, now);
                let used = StoredVersion {
                    version: copies.news.origin.version,
                    unused_ms: copies.age_s * 1_000,
                };
                instance.history.record_told(&[used], now);
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
        let own = members(instance as u64..instance as u64 + 1)[0];
        let Instance {
            history,
            origins,
            version_news,
            ..
        } = &mut self.instances[instance];
        history.record_used(VersionTag(*version), now);
        origins.update_members(own, members(0..3));
        origins.record_own(attempt, origin(*version), now);
        if history.is_mixed() {
            version_news.record(origin(*version), now);
        }
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
