//! Division of engine time among client accounts.

use std::net::SocketAddr;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::account_shares::{
    AccountShares, AccountTag, Part, REPORT_INTERVAL, WorkReport,
};
use nutmegbay_policy::edge::exchange::Scope;
use xxhash_rust::xxh3::xxh3_64;

use super::digests::service_tag;
use super::{Demand, Fleet};
use crate::clock::millis;

/// Minimum time between two log lines about accounts that are beyond their part.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Work for one service that other instances report, with the service's tag.
pub type ServiceReport = (u32, WorkReport);

/// Returns the tag of the client account `name`.
pub fn account_tag(name: &str) -> AccountTag {
    AccountTag(xxh3_64(name.as_bytes()) as u32)
}

impl Fleet {
    /// Records the work that a request of `account` asks for, and returns the account's part.
    pub fn record_asked(
        &mut self,
        service: &str,
        account: &str,
        demand: Demand,
        now: MonotonicTime,
    ) -> Part {
        if !self.account_shares.contains_key(service) {
            self.account_shares
                .insert(service.into(), AccountShares::default());
        }
        let shares = self
            .account_shares
            .get_mut(service)
            .expect("it was just inserted");
        let tag = account_tag(account);
        shares.record_asked(tag, demand.urgency, demand.cost_ms, now);
        let part = shares.part(tag, demand.urgency, now);
        let is_due = self
            .part_logged_at
            .is_none_or(|at| now.since(at) >= LOG_INTERVAL);
        if part.fraction < 1.0 && is_due {
            self.part_logged_at = Some(now);
            tracing::info!(
                event = "account_beyond_part",
                service,
                account,
                within = part.fraction,
                asked_ms_per_s = part.asked.round(),
                level_ms_per_s = part.level.map(f64::round),
                instances = part.instances,
                age_ms = millis(part.age),
            );
        }
        part
    }

    /// Records that a request of `cost_ms` got its first result.
    pub fn record_done(&mut self, service: &str, cost_ms: f64, now: MonotonicTime) {
        if let Some(shares) = self.account_shares.get_mut(service) {
            shares.record_done(cost_ms, now);
        }
    }

    /// Returns the work that accounts ask for and that gets done, for all services and instances in
    /// touch, in milliseconds of engine time per second.
    pub fn account_work(&mut self, now: MonotonicTime) -> (u64, u64) {
        let totals = self.account_shares.values_mut();
        totals.fold((0, 0), |(asked, done), shares| {
            let total = shares.total(now);
            let asked_here: u64 = total.asked.all().map(u64::from).sum();
            (asked + asked_here, done + u64::from(total.done))
        })
    }

    /// Returns whether reports of accounts' work are due to be sent to other instances.
    pub fn take_reports_due(&mut self, now: MonotonicTime) -> bool {
        let is_due = !self.account_shares.is_empty()
            && self
                .reports_sent_at
                .is_none_or(|at| now.since(at) >= REPORT_INTERVAL);
        if is_due {
            self.reports_sent_at = Some(now);
        }
        is_due
    }

    /// Returns the reports for receivers of digests of `scope`. Services without work are left out.
    pub fn account_reports(&mut self, scope: Scope, now: MonotonicTime) -> Vec<ServiceReport> {
        let reports = self.account_shares.iter_mut();
        reports
            .map(|(service, shares)| (service_tag(service), shares.report(scope, now)))
            .filter(|(_, report)| report.has_work())
            .collect()
    }

    /// Applies the reports of another instance.
    pub fn merge_account_reports(
        &mut self,
        from: SocketAddr,
        scope: Scope,
        reports: Vec<ServiceReport>,
        now: MonotonicTime,
    ) {
        for (tag, report) in reports {
            let known = self.by_service.keys();
            let service = known.into_iter().find(|name| service_tag(name) == tag);
            if let Some(service) = service.cloned() {
                let shares = self.account_shares.entry(service).or_default();
                shares.record_report(from, scope, report, now);
            }
        }
    }
}
