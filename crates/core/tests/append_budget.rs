//! Guards against non-idempotent calls that cost the log one append each: with group commit, the
//! appends are bounded by the window of the groups. Prints the measured table with `--nocapture`.

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

/// Longest wait of a record for its group.
const WINDOW: Duration = Duration::from_millis(10);

/// Time of one append to the log.
const APPEND: Duration = Duration::from_millis(3);

/// Time of one call at its service.
const CALL: Duration = Duration::from_millis(20);

/// Time over which the calls arrive.
const SPAN: Duration = Duration::from_secs(1);

enum Due {
    Begin(u64),
    Group(Vec<Record>, Vec<u64>),
    Answered(AttemptRef),
}

#[derive(Default)]
struct Outside {
    now: MonotonicTime,
    random: u128,
    effects: Vec<Effect>,
}

impl Environment for Outside {
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

/// What a number of calls cost.
struct Cost {
    appends: u32,
    records: u32,
    answered: u32,
}

struct Gateway {
    coordinator: Coordinator,
    replica: Replica,
    group: GroupCommit,
    environment: Outside,
    due: BTreeMap<(MonotonicTime, u64), Due>,
    pushed: u64,
    cost: Cost,
}

impl Gateway {
    fn push(&mut self, at: MonotonicTime, due: Due) {
        self.pushed += 1;
        self.due.insert((at, self.pushed), due);
    }

    fn on(&mut self, event: Event) {
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
                    self.on(Event::Chosen(call, Some(target)));
                }
                Effect::Dispatch { attempt, .. } => {
                    self.push(now.plus(CALL), Due::Answered(attempt));
                }
                Effect::Finish { .. } => self.cost.answered += 1,
                Effect::Query { .. } => panic!("nothing is lost here"),
            }
        }
    }

    fn handle(&mut self, due: Due) {
        match due {
            Due::Begin(number) => {
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
            Due::Group(records, tokens) => {
                self.group.done();
                for token in tokens {
                    self.on(Event::Appended(token, AppendResult::Done));
                }
                for record in &records {
                    self.replay(record);
                }
            }
            Due::Answered(attempt) => {
                let answer = Answer {
                    status: 201,
                    content_type: None,
                    body: Some("done".into()),
                };
                let result = DispatchResult::Answered(answer);
                self.on(Event::Dispatched(attempt, result));
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
        self.on(Event::Replayed(call, id));
    }

    fn run(&mut self) {
        loop {
            let group = self.group.due();
            let event = self.due.first_key_value().map(|((at, _), _)| *at);
            let Some(at) = [group, event].into_iter().flatten().min() else {
                return;
            };
            self.environment.now = self.environment.now.max(at);
            let now = self.environment.now;
            if let Some((records, tokens)) = self.group.take(now) {
                self.cost.appends += 1;
                self.cost.records += u32::try_from(records.len()).unwrap();
                self.push(now.plus(APPEND), Due::Group(records, tokens));
            } else if let Some((_, due)) = self.due.pop_first() {
                self.handle(due);
            }
        }
    }
}

/// Cost of `calls` that arrive evenly within [`SPAN`] at one gateway.
fn measure(calls: u32) -> Cost {
    let me = Incarnation(2);
    let mut gateway = Gateway {
        coordinator: Coordinator::new("g1", me, CoordinatorTiming::default()).unwrap(),
        replica: Replica::new(),
        group: GroupCommit::new(WINDOW, 1_024),
        environment: Outside::default(),
        due: BTreeMap::new(),
        pushed: 0,
        cost: Cost {
            appends: 0,
            records: 0,
            answered: 0,
        },
    };
    for number in 0..calls {
        let at = MonotonicTime(SPAN * number / calls);
        gateway.push(at, Due::Begin(number.into()));
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
        // One group a window, and the groups of the calls that are under way when the span ends.
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
