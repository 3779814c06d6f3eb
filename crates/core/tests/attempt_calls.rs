//! Guards against gateways that dispatch before the log has accepted the attempt, or that return a
//! wrong verdict.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use common::Log;
use nutmegbay_core::attempt::{
    AppendResult, CallEnd, CallRequest, Coordinator, CoordinatorTiming, DispatchResult, Effect,
    Event, Target, TicketId,
};
use nutmegbay_core::environment::{Environment, MonotonicTime};
use nutmegbay_core::ids::{CallKey, Fingerprint, Incarnation};
use nutmegbay_core::record::{Answer, Body, Record};
use nutmegbay_core::verdict::Verdict;

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
        // The shift keeps these identifiers apart from those that `Log` gives to its own records.
        self.random << 64
    }

    fn perform(&mut self, effect: Effect) {
        self.effects.push(effect);
    }
}

/// Coordinator of one gateway with its log.
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
        self.coordinator
            .on_event(event, attempts, &mut self.environment);
    }

    fn choose_upstream(&mut self) {
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

    fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.environment.effects)
    }

    /// Returns the token and the record of the append that was requested last.
    fn take_append(&mut self) -> (u64, Record) {
        assert_matches!(self.take_effects().pop(), Some(Effect::Append(mut append)) => {
            (append.token, append.records.remove(0))
        })
    }

    /// Appends a record to the log and replays it.
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
fn dispatch_after_accepted_open() {
    let mut gateway = TestGateway::new();
    gateway.begin(1, 7);
    assert_eq!(gateway.take_effects(), [Effect::Choose(CALL)]);
    gateway.choose_upstream();
    let (token, open) = gateway.take_append();
    gateway.on(Event::Appended(token, AppendResult::Done));
    assert_eq!(
        gateway.take_effects(),
        [],
        "dispatched before replay accepted the attempt"
    );
    gateway.replay(&open);
    let effects = gateway.take_effects();
    assert_matches!(&effects[..], [Effect::Dispatch { attempt, .. }] => {
        let result = DispatchResult::Answered(answer());
        gateway.on(Event::Dispatched(*attempt, result));
    });
    let (_, outcome) = gateway.take_append();
    gateway.replay(&outcome);
    let end = CallEnd::Answered(answer());
    let ticket = TicketId(1);
    assert_eq!(gateway.take_effects(), [Effect::Finish { ticket, end }]);
    assert!(gateway.coordinator.is_empty());

    // A retry gets the logged answer.
    gateway.begin(2, 7);
    let end = CallEnd::Answered(answer());
    let ticket = TicketId(2);
    assert_eq!(gateway.take_effects(), [Effect::Finish { ticket, end }]);
}

#[test]
fn reused_idempotency_key() {
    let mut gateway = TestGateway::new();
    gateway.begin(1, 7);
    gateway.take_effects();
    gateway.begin(2, 8);
    let (ticket, end) = (TicketId(2), CallEnd::KeyReused);
    assert_eq!(gateway.take_effects(), [Effect::Finish { ticket, end }]);
}

#[test]
fn outage_verdict() {
    for (is_complete, verdict) in [(true, Verdict::NotRun), (false, Verdict::MayHaveRun)] {
        let mut gateway = TestGateway::new();
        gateway.begin(1, 7);
        gateway.choose_upstream();
        let (token, _) = gateway.take_append();
        gateway.on(Event::Appended(token, AppendResult::Refused));
        if is_complete {
            gateway.on(Event::CompleteAsOf(MonotonicTime(Duration::from_millis(1))));
        }
        gateway.wait(10_000);
        let (ticket, end) = (TicketId(1), CallEnd::Failed(verdict));
        assert!(
            gateway
                .take_effects()
                .contains(&Effect::Finish { ticket, end }),
            "{verdict}"
        );
    }
}

#[test]
fn no_dispatch_after_not_run() {
    // The caller got `NotRun` while the append that opens its attempt was in flight.
    let mut gateway = TestGateway::new();
    gateway.begin(1, 7);
    gateway.choose_upstream();
    let (token, open) = gateway.take_append();
    gateway.on(Event::Appended(token, AppendResult::Lost));
    gateway.on(Event::CompleteAsOf(MonotonicTime(Duration::from_millis(1))));
    gateway.wait(10_000);
    gateway.take_effects();
    gateway.replay(&open);
    let (_, fence) = gateway.take_append();
    gateway.replay(&fence);
    assert_eq!(gateway.take_effects(), []);
    assert!(gateway.coordinator.is_empty());
}

#[test]
fn late_open() {
    // An append that was considered lost takes effect while the call chooses again. If nobody
    // handled the open attempt, the call would look as if it may have run.
    let mut gateway = TestGateway::new();
    gateway.begin(1, 7);
    gateway.choose_upstream();
    let (token, open) = gateway.take_append();
    gateway.on(Event::Appended(token, AppendResult::Lost));
    gateway.on(Event::CompleteAsOf(MonotonicTime(Duration::from_millis(1))));
    gateway.wait(200);
    assert_eq!(gateway.take_effects(), [Effect::Choose(CALL)]);
    gateway.replay(&open);
    assert_matches!(&gateway.take_effects()[..], [Effect::Dispatch { .. }]);
}

#[test]
fn taken_number() {
    // The gateway's own open record was refused in an outage of the log. Then replay shows that
    // another gateway had opened the same number before. The caller must not get `NotRun`.
    let mut gateway = TestGateway::new();
    gateway.begin(1, 7);
    gateway.choose_upstream();
    let (token, open) = gateway.take_append();
    gateway.on(Event::Appended(token, AppendResult::Refused));
    gateway.wait(200);
    assert_eq!(gateway.take_effects(), [Effect::Choose(CALL)]);
    let mut other = open;
    assert_matches!(&mut other.body, Body::AttemptOpen(open) => {
        open.gateway_incarnation = Incarnation(99);
    });
    gateway.replay(&other);
    assert_matches!(&gateway.take_effects()[..], [Effect::Query { .. }]);
    gateway.on(Event::CompleteAsOf(gateway.environment.now));
    gateway.wait(10_000);
    let (ticket, end) = (TicketId(1), CallEnd::Failed(Verdict::MayHaveRun));
    assert!(
        gateway
            .take_effects()
            .contains(&Effect::Finish { ticket, end })
    );
}
