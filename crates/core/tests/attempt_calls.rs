//! Guards against gateways that dispatch without the log's consent or give untrue verdicts.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::Log;
use nutmegbay_core::attempt::{
    AppendResult, CallRequest, Coordinator, DispatchResult, Effect, CallEnd, Event, Target, TicketId,
    CoordinatorTiming,
};
use nutmegbay_core::ids::{CallKey, Fingerprint, Incarnation};
use nutmegbay_core::record::{Answer, Body, Record};
use nutmegbay_core::verdict::Verdict;
use nutmegbay_core::environment::{MonotonicTime, Environment};

const CALL: CallKey = CallKey(5);
const GATEWAY: Incarnation = Incarnation(2);
const SIDECAR: Incarnation = Incarnation(1);

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
        // Apart from the identities that `Log` gives to its own records.
        self.random << 64
    }

    fn perform(&mut self, effect: Effect) {
        self.effects.push(effect);
    }
}

/// One gateway with its log.
struct TestGateway {
    coordinator: Coordinator,
    log: Log,
    environment: TestEnvironment,
}

impl TestGateway {
    fn new() -> Self {
        Self {
            coordinator: Coordinator::new("g1", GATEWAY, CoordinatorTiming::default()).unwrap(),
            log: Log::default(),
            environment: TestEnvironment::default(),
        }
    }

    fn begin(&mut self, ticket: u64, content: u128) {
        let req = CallRequest {
            ticket: TicketId(ticket),
            call: CALL,
            content: Fingerprint(content),
            deadline: self.environment.now.plus(Duration::from_secs(10)),
        };
        let attempts = self.log.replica.attempts();
        self.coordinator.begin(req, attempts, &mut self.environment);
    }

    fn on(&mut self, event: Event) {
        let attempts = self.log.replica.attempts();
        self.coordinator.on_event(event, attempts, &mut self.environment);
    }

    fn chosen(&mut self) {
        let target = Target {
            upstream: "o1".into(),
            sidecar: SIDECAR,
        };
        self.on(Event::Chosen(CALL, Some(target)));
    }

    fn wait(&mut self, ms: u64) {
        self.environment.now = self.environment.now.plus(Duration::from_millis(ms));
        let attempts = self.log.replica.attempts();
        self.coordinator.tick(attempts, &mut self.environment);
    }

    fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.environment.effects)
    }

    /// Takes the append that was asked for last.
    fn appended(&mut self) -> (u64, Record) {
        assert_matches!(self.effects().pop(), Some(Effect::Append(mut append)) => {
            (append.token, append.records.remove(0))
        })
    }

    /// Lets the log take a record.
    fn replay(&mut self, record: &Record) {
        let text = serde_json::to_string(record).unwrap();
        let next = self.log.replica.next();
        assert!(self.log.replica.apply(next, &text).is_accepted());
        self.on(Event::Replayed(CALL, record.id));
    }
}

fn answer() -> Answer {
    Answer {
        status: 201,
        content_type: None,
        body: Some("order 9".into()),
    }
}

#[test]
fn log_first() {
    let mut rig = TestGateway::new();
    rig.begin(1, 7);
    assert_eq!(rig.effects(), [Effect::Choose(CALL)]);
    rig.chosen();
    let (token, open) = rig.appended();
    rig.on(Event::Appended(token, AppendResult::Done));
    assert_eq!(rig.effects(), [], "dispatched before replay had accepted");
    rig.replay(&open);
    let effects = rig.effects();
    assert_matches!(&effects[..], [Effect::Dispatch { attempt, .. }] => {
        let result = DispatchResult::Answered(answer());
        rig.on(Event::Dispatched(*attempt, result));
    });
    let (_, outcome) = rig.appended();
    rig.replay(&outcome);
    let end = CallEnd::Answered(answer());
    let ticket = TicketId(1);
    assert_eq!(rig.effects(), [Effect::Finish { ticket, end }]);
    assert!(rig.coordinator.is_empty());

    // A retry gets the logged answer.
    rig.begin(2, 7);
    let end = CallEnd::Answered(answer());
    let ticket = TicketId(2);
    assert_eq!(rig.effects(), [Effect::Finish { ticket, end }]);
}

#[test]
fn reused_key() {
    let mut rig = TestGateway::new();
    rig.begin(1, 7);
    rig.effects();
    rig.begin(2, 8);
    let (ticket, end) = (TicketId(2), CallEnd::KeyReused);
    assert_eq!(rig.effects(), [Effect::Finish { ticket, end }]);
}

#[test]
fn outage_verdict() {
    for (is_complete, verdict) in [(true, Verdict::NotRun), (false, Verdict::MayHaveRun)] {
        let mut rig = TestGateway::new();
        rig.begin(1, 7);
        rig.chosen();
        let (token, _) = rig.appended();
        rig.on(Event::Appended(token, AppendResult::Refused));
        if is_complete {
            rig.on(Event::CompleteAsOf(MonotonicTime(Duration::from_millis(1))));
        }
        rig.wait(10_000);
        let (ticket, end) = (TicketId(1), CallEnd::Failed(verdict));
        assert!(
            rig.effects().contains(&Effect::Finish { ticket, end }),
            "{verdict}"
        );
    }
}

#[test]
fn revoked_right() {
    // The caller was told "not run" while its attempt's append was under way.
    let mut rig = TestGateway::new();
    rig.begin(1, 7);
    rig.chosen();
    let (token, open) = rig.appended();
    rig.on(Event::Appended(token, AppendResult::Lost));
    rig.on(Event::CompleteAsOf(MonotonicTime(Duration::from_millis(1))));
    rig.wait(10_000);
    rig.effects();
    rig.replay(&open);
    let (_, fence) = rig.appended();
    rig.replay(&fence);
    assert_eq!(rig.effects(), []);
    assert!(rig.coordinator.is_empty());
}

#[test]
fn late_open() {
    // An append that was taken for lost takes effect while the call chooses again. Left alone, the
    // open attempt would make the call look as if it may have run.
    let mut rig = TestGateway::new();
    rig.begin(1, 7);
    rig.chosen();
    let (token, open) = rig.appended();
    rig.on(Event::Appended(token, AppendResult::Lost));
    rig.on(Event::CompleteAsOf(MonotonicTime(Duration::from_millis(1))));
    rig.wait(200);
    assert_eq!(rig.effects(), [Effect::Choose(CALL)]);
    rig.replay(&open);
    assert_matches!(&rig.effects()[..], [Effect::Dispatch { .. }]);
}

#[test]
fn taken_number() {
    // The gateway's own open was refused in an outage; then it learns that another gateway had opened
    // the same number before. Its caller must not be told that the call did not run.
    let mut rig = TestGateway::new();
    rig.begin(1, 7);
    rig.chosen();
    let (token, open) = rig.appended();
    rig.on(Event::Appended(token, AppendResult::Refused));
    rig.wait(200);
    assert_eq!(rig.effects(), [Effect::Choose(CALL)]);
    let mut other = open;
    assert_matches!(&mut other.body, Body::AttemptOpen(open) => {
        open.gateway_incarnation = Incarnation(99);
    });
    rig.replay(&other);
    assert_matches!(&rig.effects()[..], [Effect::Query { .. }]);
    rig.on(Event::CompleteAsOf(rig.environment.now));
    rig.wait(10_000);
    let (ticket, end) = (TicketId(1), CallEnd::Failed(Verdict::MayHaveRun));
    assert!(rig.effects().contains(&Effect::Finish { ticket, end }));
}
