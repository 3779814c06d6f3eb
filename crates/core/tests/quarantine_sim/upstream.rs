//! Simulated upstreams with their sidecars: exclusive runs, crashes and crash reports.

use std::collections::BTreeMap;

use nutmegbay_core::guard::RunQueue;
use nutmegbay_core::ids::{Fingerprint, Incarnation};
use nutmegbay_core::quarantine::TicketId;
use nutmegbay_core::record::CrashReport;

use super::{Event, MAX_CRASHED_UPSTREAMS, Sim};

#[derive(Default)]
pub struct Upstream {
    run_queue: RunQueue,
    runs: BTreeMap<u64, Run>,
    /// Crash reports, which the gateways poll.
    pub reports: Vec<CrashReport>,
}

#[derive(Debug, Clone)]
struct Run {
    gateway: usize,
    process: Incarnation,
    ticket: TicketId,
    fingerprint: Fingerprint,
    exclusive: bool,
    has_started: bool,
}

impl Sim {
    pub(super) fn dispatch(&mut self, gateway: usize, ticket: TicketId, exclusive: bool) {
        let upstream = self.tickets[&ticket].upstream;
        let fingerprint = self.tickets[&ticket].fingerprint;
        self.next_run += 1;
        let run = self.next_run;
        let process = self.gateways[gateway].process;
        let state = Run {
            gateway,
            process,
            ticket,
            fingerprint,
            exclusive,
            has_started: false,
        };
        self.upstreams[upstream].runs.insert(run, state);
        if self.upstreams[upstream].run_queue.add(run, exclusive) {
            self.start_run(upstream, run);
        }
    }

    fn start_run(&mut self, upstream: usize, run: u64) {
        if let Some(state) = self.upstreams[upstream].runs.get_mut(&run) {
            state.has_started = true;
        }
        let all = self.upstreams.iter().flat_map(|u| u.runs.values());
        let exclusive = all.filter(|run| run.exclusive && run.has_started).count();
        assert!(exclusive <= 1, "lock: {exclusive} exclusive runs at once");
        let time = 5 + self.random_below(150);
        self.push(time, Event::RunEnds { upstream, run });
    }

    pub(super) fn on_run_end(&mut self, upstream: usize, run: u64) {
        let Some(state) = self.upstreams[upstream].runs.get(&run).cloned() else {
            return;
        };
        if state.fingerprint.0 == 0 {
            self.crash(upstream);
            return;
        }
        self.remove_run(upstream, run);
        let Run {
            gateway,
            process,
            ticket,
            ..
        } = state;
        self.push(
            2,
            Event::Ended {
                gateway,
                process,
                ticket,
            },
        );
    }

    /// The poison request crashes the upstream with all its runs.
    fn crash(&mut self, upstream: usize) {
        self.crashed_upstreams += 1;
        let max = MAX_CRASHED_UPSTREAMS + self.killed_error_holders;
        let lost = self.crashed_upstreams;
        assert!(
            lost <= max,
            "two: the poison has crashed {lost} upstreams, at most {max} may be lost"
        );
        let crash = self.new_incarnation();
        let (started, waiting): (BTreeMap<u64, Run>, _) =
            std::mem::take(&mut self.upstreams[upstream].runs)
                .into_iter()
                .partition(|(_, run)| run.has_started);
        self.upstreams[upstream].runs = waiting;
        let mut running: Vec<Fingerprint> = started.values().map(|run| run.fingerprint).collect();
        running.sort_unstable();
        running.dedup();
        for fingerprint in &running {
            self.crashes_by_request
                .entry(*fingerprint)
                .or_default()
                .insert(crash);
        }
        let report = CrashReport {
            upstream: upstream.to_string().into(),
            crash,
            running,
        };
        self.upstreams[upstream].reports.push(report.clone());
        let mut by_gateway: BTreeMap<(usize, Incarnation), Vec<TicketId>> = BTreeMap::new();
        for (run, state) in started {
            let gateway = (state.gateway, state.process);
            by_gateway.entry(gateway).or_default().push(state.ticket);
            self.remove_run(upstream, run);
        }
        for ((gateway, process), tickets) in by_gateway {
            let report = report.clone();
            let event = Event::Crashed {
                gateway,
                process,
                report,
                tickets,
            };
            self.push(2, event);
        }
    }

    fn remove_run(&mut self, upstream: usize, run: u64) {
        self.upstreams[upstream].runs.remove(&run);
        for started in self.upstreams[upstream].run_queue.remove(run) {
            self.start_run(upstream, started);
        }
    }

    /// The connections of a killed gateway close, which cancels its runs.
    pub(super) fn cancel_runs(&mut self, process: Incarnation) {
        for upstream in 0..self.upstreams.len() {
            let runs = self.upstreams[upstream].runs.iter();
            let cancelled: Vec<u64> = runs
                .filter(|(_, r)| r.process == process)
                .map(|(run, _)| *run)
                .collect();
            for run in cancelled {
                self.remove_run(upstream, run);
            }
        }
    }
}
