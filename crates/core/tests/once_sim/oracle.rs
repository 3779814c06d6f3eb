//! Predicates over the calls that the services executed and the results that the callers got.

use std::collections::BTreeMap;

use nutmegbay_core::attempt::DispatchResult;
use nutmegbay_core::guard::AttemptRef;
use nutmegbay_core::ids::CallKey;
use nutmegbay_core::record::Answer;

#[derive(Default)]
pub struct Oracle {
    calls: BTreeMap<CallKey, CallRecord>,
    /// Attempts that were sent. The value tells whether their first result was an answer, `None`
    /// before that.
    sent: BTreeMap<(CallKey, u32), Option<bool>>,
    runs: u64,
}

#[derive(Default)]
struct CallRecord {
    runs: Vec<u64>,
    answer: Option<Answer>,
    /// Last time at which a caller got `NotRun`.
    not_run_at: Option<u64>,
    service_died: bool,
}

impl Oracle {
    pub fn begin(&mut self, call: CallKey) {
        self.calls.entry(call).or_default();
    }

    pub fn calls(&self) -> Vec<CallKey> {
        self.calls.keys().copied().collect()
    }

    /// A service executes a call, whose latest request started at `last_started`.
    pub fn run(&mut self, call: CallKey, last_started: u64) -> u64 {
        self.runs += 1;
        let run = self.runs;
        let call_record = self.calls.entry(call).or_default();
        call_record.runs.push(run);
        assert!(call_record.runs.len() == 1, "once: call {call} ran twice");
        assert!(
            call_record.not_run_at.is_none_or(|at| at <= last_started),
            "not run for ever: call {call} ran after its last caller got `not run`"
        );
        run
    }

    /// A caller gets the verdict `NotRun`.
    pub fn not_run(&mut self, call: CallKey, now: u64) {
        let call_record = self.calls.entry(call).or_default();
        assert!(
            call_record.runs.is_empty(),
            "not run: call {call} had run when its caller got `not run`"
        );
        call_record.not_run_at = Some(now);
    }

    /// A caller gets an answer.
    pub fn answered(&mut self, call: CallKey, answer: &Answer) {
        let call_record = self.calls.entry(call).or_default();
        let first = call_record.answer.get_or_insert_with(|| answer.clone());
        assert!(
            first == answer,
            "same answer: call {call} was answered with {first:?} and then with {answer:?}"
        );
        assert!(
            !call_record.runs.is_empty(),
            "call {call} was answered without a run"
        );
    }

    pub fn service_dies(&mut self, call: CallKey) {
        self.calls.entry(call).or_default().service_died = true;
    }

    pub fn service_died(&self, call: CallKey) -> bool {
        self.calls
            .get(&call)
            .is_some_and(|call_record| call_record.service_died)
    }

    /// A gateway sends an attempt.
    pub fn sent(&mut self, attempt: AttemptRef) {
        self.sent.insert((attempt.call, attempt.number), None);
    }

    /// The gateway that sent an attempt gets its first result.
    pub fn dispatched(&mut self, attempt: AttemptRef, result: &DispatchResult) {
        if let Some(first) = self.sent.get_mut(&(attempt.call, attempt.number)) {
            first.get_or_insert(*result != DispatchResult::Lost);
        }
    }

    /// Returns whether an attempt was sent and its gateway got no answer in time.
    pub fn is_unanswered(&self, call: CallKey, number: u32) -> bool {
        self.sent
            .get(&(call, number))
            .is_some_and(|answered| *answered != Some(true))
    }
}
