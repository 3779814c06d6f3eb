//! Guards against a planned stop after which nobody acts for longer than the target of 500 ms.

mod cluster;
mod common;

use cluster::Cluster;
use cluster::steps::{Fault, Step};
use nutmegbay_core::mutation::Mutations;
use nutmegbay_core::record::LeaseRole;
use strum::IntoEnumIterator;

/// Target for a planned hand-over, in milliseconds.
const TARGET_MS: u64 = 500;

const STEP_MS: u64 = 5;

fn holder(cluster: &Cluster, role: LeaseRole) -> Option<usize> {
    cluster.holders(role).first().map(|(node, _)| *node)
}

#[test]
fn planned_stop() {
    let mut slowest = 0;
    for warm_up in 0..40 {
        let mut cluster = Cluster::new(Mutations::default());
        cluster.step(&Step::Run {
            ms: 5_000 + 37 * warm_up,
        });
        for role in LeaseRole::iter() {
            let node = holder(&cluster, role).expect("nobody took the lease");
            let fault = Fault::Stop { ms: 1_500 };
            cluster.step(&Step::Fault { node, fault });
            let mut taken = 0;
            while holder(&cluster, role).is_none_or(|next| next == node) {
                taken += STEP_MS;
                assert!(taken <= TARGET_MS, "{role} has no holder after {taken} ms");
                cluster.step(&Step::Run { ms: STEP_MS });
            }
            slowest = slowest.max(taken);
            cluster.step(&Step::Run { ms: 6_000 });
        }
        cluster.oracle.verdict().unwrap();
    }
    println!("hand_over_slowest_ms={slowest}");
}
