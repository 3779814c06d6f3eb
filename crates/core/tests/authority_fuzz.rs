//! Guards against a sidecar whose view of the current planner lease differs from that of replay.
//! Processes claim, renew and release according to their own lagging replicas; a sidecar starts to
//! read the log at any offset.

mod common;

use nutmegbay_core::guard::OrderFencing;
use nutmegbay_core::ids::{Epoch, Incarnation, Offset, RecordId};
use nutmegbay_core::record::{Body, LeaseChange, LeaseClaim, LeaseRole, Record, SCHEMA};
use nutmegbay_core::replica::Replica;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Number of random histories in one run; `NUTMEGBAY_FUZZ_CASES` replaces it.
const CASES: u32 = 1_000;

/// Seed of the histories; `NUTMEGBAY_FUZZ_SEED` replaces it.
const SEED: u64 = 1;

const PROCESSES: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    /// A process reads this many records.
    Read(usize, usize),
    Claim(usize),
    Renew(usize),
    Release(usize),
    /// Appends a record of another kind.
    Other,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let process = || 0..PROCESSES;
    let step = prop_oneof![
        4 => (process(), 1_usize..8).prop_map(|(process, records)| Step::Read(process, records)),
        1 => process().prop_map(Step::Claim),
        4 => process().prop_map(Step::Renew),
        1 => process().prop_map(Step::Release),
        2 => Just(Step::Other),
    ];
    proptest::collection::vec(step, 1..80)
}

/// Returns the log that results if each process writes according to what it has read.
fn write_log(steps: &[Step]) -> Vec<Record> {
    let mut log: Vec<Record> = Vec::new();
    let mut replicas: Vec<Replica> = (0..PROCESSES).map(|_| Replica::new()).collect();
    for step in steps {
        let body = match *step {
            Step::Read(process, records) => {
                let replica = &mut replicas[process];
                let from = usize::try_from(replica.next().0).unwrap();
                for record in log.iter().skip(from).take(records) {
                    let text = serde_json::to_string(record).unwrap();
                    replica.apply(replica.next(), &text);
                }
                continue;
            }
            Step::Claim(process) => Some((process, claim(process, &replicas[process]))),
            Step::Renew(process) => lease_change(process, &replicas[process])
                .map(|change| (process, Body::LeaseRenew(change))),
            Step::Release(process) => lease_change(process, &replicas[process])
                .map(|change| (process, Body::LeaseRelease(change))),
            Step::Other => Some((0, common::publish(None, None, "{}"))),
        };
        if let Some((process, body)) = body {
            log.push(Record {
                id: RecordId(log.len() as u128),
                author: process.to_string().into(),
                at_ms: 0,
                schema: SCHEMA,
                body,
            });
        }
    }
    log
}

fn claim(process: usize, replica: &Replica) -> Body {
    Body::LeaseClaim(LeaseClaim {
        role: LeaseRole::Planner,
        holder: process.to_string().into(),
        incarnation: Incarnation(process as u128),
        prev: replica.leases().get(LeaseRole::Planner).map(|l| l.last),
        ttl_ms: 3_000,
    })
}

/// Returns the change by a process that holds the lease according to its replica.
fn lease_change(process: usize, replica: &Replica) -> Option<LeaseChange> {
    let lease = replica.leases().get(LeaseRole::Planner)?;
    let is_holder = *lease.holder == *process.to_string() && !lease.released;
    is_holder.then_some(LeaseChange {
        role: LeaseRole::Planner,
        epoch: lease.epoch,
        prev: lease.last,
    })
}

/// Reads `log` from offset `from` on and compares the result with replay after each record.
fn compare_with_replay(log: &[Record], from: usize) -> Result<(), TestCaseError> {
    let mut replica = Replica::new();
    let mut fencing = OrderFencing::new();
    fencing.set_head(Offset(from as u64));
    for (index, record) in log.iter().enumerate() {
        let offset = Offset(index as u64);
        replica.apply(offset, &serde_json::to_string(record).unwrap());
        if index < from {
            continue;
        }
        fencing.observe(offset, Some(record));
        if !fencing.is_confirmed() {
            prop_assert!(fencing.check(Epoch(u64::MAX)).is_err());
            continue;
        }
        let lease = replica.leases().get(LeaseRole::Planner);
        let lowest = match lease {
            Some(lease) if lease.released => Epoch(lease.last.0),
            Some(lease) => lease.epoch,
            None => Epoch(0),
        };
        prop_assert_eq!(fencing.highest(), lowest, "after record {}", index);
        if lowest > Epoch(0) {
            prop_assert!(fencing.check(Epoch(lowest.0 - 1)).is_err());
        }
        prop_assert!(fencing.check(lowest).is_ok());
    }
    Ok(())
}

#[test]
fn same_lease_as_replay() {
    let number = |name, default| {
        let text = std::env::var(name).ok();
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let cases = number("NUTMEGBAY_FUZZ_CASES", u64::from(CASES));
    let config = Config {
        cases: u32::try_from(cases).unwrap(),
        failure_persistence: None,
        ..Config::default()
    };
    let mut seed = [0; 32];
    seed[..8].copy_from_slice(&number("NUTMEGBAY_FUZZ_SEED", SEED).to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let confirmed = std::cell::Cell::new(0);
    let result = runner.run(&(steps(), 0_usize..20), |(steps, from)| {
        let log = write_log(&steps);
        compare_with_replay(&log, from)?;
        confirmed.set(confirmed.get() + usize::from(log.len() > from));
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
    assert!(confirmed.get() > 0);
}
