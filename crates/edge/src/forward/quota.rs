//! Holds the tokens of a request's account from its arrival until it is sent.

use nutmegbay_core::verdict::Verdict;
use nutmegbay_policy::UpstreamKey;

use super::{Failure, Forwarder};
use crate::http1::{CallError, Cause, Connection};
use crate::platform_api::WireCodec;
use crate::quota::{self, QuotaRequest};

impl<D: WireCodec> Forwarder<'_, D> {
    /// Gets the tokens of the request. Fails if the quota of its account does not allow it now.
    pub async fn acquire_quota(&self) -> Result<(), Failure> {
        let request = self.request;
        let Some(account) = &request.account else {
            return Ok(());
        };
        let Some(cost) = account.quota_cost(request.head.work.as_ref()) else {
            return Ok(());
        };
        let passed = request.elapsed + self.state.now().since(request.arrived);
        let objective = request.route.objective;
        let ticket = quota::acquire(
            self.state,
            QuotaRequest {
                account,
                cost,
                is_late: passed > objective,
                objective,
            },
        )
        .await?;
        // A former ticket is dropped after the borrow has ended.
        let former = std::mem::replace(&mut request.progress.borrow_mut().quota, ticket);
        drop(former);
        Ok(())
    }

    /// Spends the tokens of the request, which is about to be sent to `at` over `connection`. Tokens
    /// that are too old by now are replaced. A request counts once, also if it runs at a second
    /// upstream.
    pub async fn spend_quota(
        &mut self,
        at: UpstreamKey,
        connection: Connection,
    ) -> Result<Connection, CallError> {
        let is_covered = |ticket: &quota::QuotaTicket| ticket.covers_send();
        let needs_tokens = {
            let progress = self.request.progress.borrow();
            !progress.quota.as_ref().is_none_or(is_covered)
        };
        if needs_tokens && self.acquire_quota().await.is_err() {
            let mut fleet = self.state.fleet.borrow_mut();
            fleet.keep_connection(at, connection);
            return Err(CallError {
                verdict: Verdict::NotRun,
                cause: Cause::OverQuota,
            });
        }
        let progress = self.request.progress.borrow();
        let ticket = progress.quota.as_ref();
        self.is_first_run = ticket.is_some_and(quota::QuotaTicket::mark_spent);
        Ok(connection)
    }

    /// Records that the request did not run where it was just sent.
    pub fn record_not_run(&self) {
        let progress = self.request.progress.borrow();
        if self.is_first_run
            && let Some(ticket) = &progress.quota
        {
            ticket.mark_unspent();
        }
    }
}
