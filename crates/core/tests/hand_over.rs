//! Guards against a planned stop after which a lease has no holder for longer than 500 ms.

mod cluster;
mod common;

use cluster::Cluster;
use cluster::steps::{Fault, Step};
use nutmegbay_core::mutation::Mutations;
use nutmegbay_core::record::LeaseRole;
use strum::IntoEnumIterator;

/// Maximum time in milliseconds without a holder after a planned stop.
const TARGET_MS: u64 = 500;

const STEP_MS: u64 = 5;

/// Node that holds the lease of `role`.
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
            let node = holder(&cluster, role).expect("no node holds the lease");
            let fault = Fault::Stop { ms: 1_500 };
            cluster.step(&Step::Fault { node, fault });
            let mut elapsed = 0;
            while holder(&cluster, role).is_none_or(|next| next == node) {
                elapsed += STEP_MS;
                assert!(
                    elapsed <= TARGET_MS,
                    "{role} has no holder after {elapsed} ms"
                );
                cluster.step(&Step::Run { ms: STEP_MS });
            }
            slowest = slowest.max(elapsed);
            cluster.step(&Step::Run { ms: 6_000 });
        }
        cluster.oracle.verdict().unwrap();
    }
    println!("hand_over_slowest_ms={slowest}");
}
