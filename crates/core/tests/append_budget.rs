//! Guards against a log append for each record of a non-idempotent call: with group commit, the
//! number of appends is bounded by the group window. Prints the measured table with `--nocapture`.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegbay_core::attempt::{
    AppendResult, CallRequest, Coordinator, CoordinatorTiming, DispatchResult, Effect, Event,
    GroupCommit, Target, TicketId,
};
use nutmegbay_core::environment::{Environment, MonotonicTime};
use nutmegbay_core::guard::AttemptRef;
use nutmegbay_core::ids::{CallKey, Fingerprint, Incarnation, RecordId};
use nutmegbay_core::record::{Answer, Body, Record};
use nutmegbay_core::replica::{Applied, Replica};

/// Maximum time that a record waits until its group is appended.
const GROUP_WINDOW: Duration = Duration::from_millis(10);

/// Duration of one append to the log.
const APPEND_TIME: Duration = Duration::from_millis(3);

/// Duration of one call at its service.
const CALL_TIME: Duration = Duration::from_millis(20);

/// Time within which the calls arrive.
const ARRIVAL_SPAN: Duration = Duration::from_secs(1);

/// Events that are scheduled for a later time.
enum Scheduled {
    BeginCall(u64),
    GroupAppended(Vec<Record>, Vec<u64>),
    Answered(AttemptRef),
}

#[derive(Default)]
struct TestEnvironment {
    now: MonotonicTime,
    random: u128,
    effects: Vec<Effect>,
}

impl Environment for TestEnvironment {
    type Effect = Effect;

    fn now(&self) -> MonotonicTime {
        self.now
    }

    fn wall_ms(&self) -> u64 {
        0
    }

    fn random(&mut self) -> u128 {
        self.random += 1;
        self.random
    }

    fn perform(&mut self, effect: Effect) {
        self.effects.push(effect);
    }
}

/// Records and appends of a number of calls.
struct Cost {
    appends: u32,
    records: u32,
    answered: u32,
}

struct Gateway {
    coordinator: Coordinator,
    replica: Replica,
    group: GroupCommit,
    environment: TestEnvironment,
    schedule: BTreeMap<(MonotonicTime, u64), Scheduled>,
    scheduled: u64,
    cost: Cost,
}

impl Gateway {
    fn schedule(&mut self, at: MonotonicTime, event: Scheduled) {
        self.scheduled += 1;
        self.schedule.insert((at, self.scheduled), event);
    }

    fn send_event(&mut self, event: Event) {
        let attempts = self.replica.attempts();
        self.coordinator
            .on_event(event, attempts, &mut self.environment);
        self.perform();
    }

    fn perform(&mut self) {
        let now = self.environment.now;
        for effect in std::mem::take(&mut self.environment.effects) {
            match effect {
                Effect::Append(append) => self.group.push(append, now),
                Effect::Choose(call) => {
                    let target = Target {
                        upstream: "o1".into(),
                        sidecar: Incarnation(1),
                    };
                    self.send_event(Event::Chosen(call, Some(target)));
                }
                Effect::Dispatch { attempt, .. } => {
                    self.schedule(now.plus(CALL_TIME), Scheduled::Answered(attempt));
                }
                Effect::Finish { .. } => self.cost.answered += 1,
                Effect::Query { .. } => panic!("no dispatch is lost in this test"),
            }
        }
    }

    fn handle(&mut self, event: Scheduled) {
        match event {
            Scheduled::BeginCall(number) => {
                let req = CallRequest {
                    ticket: TicketId(number),
                    call: CallKey(number.into()),
                    content: Fingerprint(0),
                    deadline: self.environment.now.plus(Duration::from_secs(30)),
                };
                let attempts = self.replica.attempts();
                self.coordinator.begin(req, attempts, &mut self.environment);
                self.perform();
            }
            Scheduled::GroupAppended(records, tokens) => {
                self.group.done();
                for token in tokens {
                    self.send_event(Event::Appended(token, AppendResult::Done));
                }
                for record in &records {
                    self.replay(record);
                }
            }
            Scheduled::Answered(attempt) => {
                let answer = Answer {
                    status: 201,
                    content_type: None,
                    body: Some("done".into()),
                };
                let result = DispatchResult::Answered(answer);
                self.send_event(Event::Dispatched(attempt, result));
            }
        }
    }

    fn replay(&mut self, record: &Record) {
        let text = serde_json::to_string(record).unwrap();
        let applied = self.replica.apply(self.replica.next(), &text);
        assert!(matches!(applied, Applied::Accepted(_)), "{applied:?}");
        let call = match &record.body {
            Body::AttemptOpen(open) => open.call,
            Body::AttemptOutcome(outcome) => outcome.call,
            other => panic!("unexpected record {other:?}"),
        };
        let id: RecordId = record.id;
        self.send_event(Event::Replayed(call, id));
    }

    fn run(&mut self) {
        loop {
            let group = self.group.due();
            let event = self.schedule.first_key_value().map(|((at, _), _)| *at);
            let Some(at) = [group, event].into_iter().flatten().min() else {
                return;
            };
            self.environment.now = self.environment.now.max(at);
            let now = self.environment.now;
            if let Some((records, tokens)) = self.group.take(now) {
                self.cost.appends += 1;
                self.cost.records += u32::try_from(records.len()).unwrap();
                self.schedule(
                    now.plus(APPEND_TIME),
                    Scheduled::GroupAppended(records, tokens),
                );
            } else if let Some((_, event)) = self.schedule.pop_first() {
                self.handle(event);
            }
        }
    }
}

/// Cost of `calls` that arrive evenly within [`ARRIVAL_SPAN`] at one gateway.
fn measure(calls: u32) -> Cost {
    let me = Incarnation(2);
    let mut gateway = Gateway {
        coordinator: Coordinator::new("g1", me, CoordinatorTiming::default()).unwrap(),
        replica: Replica::new(),
        group: GroupCommit::new(GROUP_WINDOW, 1_024),
        environment: TestEnvironment::default(),
        schedule: BTreeMap::new(),
        scheduled: 0,
        cost: Cost {
            appends: 0,
            records: 0,
            answered: 0,
        },
    };
    for number in 0..calls {
        let at = MonotonicTime(ARRIVAL_SPAN * number / calls);
        gateway.schedule(at, Scheduled::BeginCall(number.into()));
    }
    gateway.run();
    gateway.cost
}

#[test]
fn grouped_appends() {
    println!("calls/s  records  appends  records/append");
    for calls in [10, 50, 200, 1_000, 4_000] {
        let cost = measure(calls);
        assert_eq!(cost.answered, calls);
        assert_eq!(cost.records, 2 * calls, "more than two records a call");
        // One group for each window, and the groups of the calls in flight when the span ends.
        assert!(
            cost.appends <= 106,
            "{calls} calls took {} appends",
            cost.appends
        );
        println!(
            "{calls:7}  {:7}  {:7}  {:14.1}",
            cost.records,
            cost.appends,
            f64::from(cost.records) / f64::from(cost.appends)
        );
    }
}
