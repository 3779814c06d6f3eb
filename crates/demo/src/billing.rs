//! Usage of one client account, compared with what was reported.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegbay_core::record::Usage;
use nutmegbay_proto::platform::UsageReport;
use nutmegbay_proto::prefix::estimate_tokens;

use crate::caller::Caller;
use crate::error::DemoError;
use crate::report::Report;
use crate::site::{Site, until_some};
use crate::steps::wait_key;
use crate::traffic::random_ask;

/// Calls at each gateway.
const CALLS: usize = 10;

/// Longest wait for the reports.
const REPORT_WAIT: Duration = Duration::from_secs(12);

/// Makes calls for an account that nothing else uses and returns what is to be billed.
pub(crate) async fn spend(site: &mut Site) -> Result<Usage, error_stack::Report<DemoError>> {
    let account = site.scope.billed_account.clone();
    let (_, token) = site.grant(&account).await?;
    wait_key(site, &token).await?;
    let (caller, mut spent) = (Caller::new(), Usage::default());
    for gateway in site.gateway_addrs() {
        for _ in 0..CALLS {
            let ask = random_ask(&site.scope);
            if let Err(failed) = caller.whole(gateway, &token, &ask).await {
                let text = format!("a call that is to be billed: {failed}");
                return Err(error_stack::Report::new(DemoError::Call(text.into())));
            }
            spent.calls += 1;
            spent.prompt_tokens += u64::from(estimate_tokens(&ask.prompt));
            spent.completion_tokens += u64::from(ask.max_tokens);
        }
    }
    Ok(spent)
}

/// Compares the reports with what was spent.
pub(crate) async fn compare(site: &Site, spent: Usage, report: &mut Report) {
    let account = &*site.scope.billed_account;
    until_some(REPORT_WAIT, || reported(site, account).calls >= spent.calls).await;
    let reports = site.platform.reports();
    if reports.is_empty() {
        report.not_exercised(
            "P8",
            "usage reports",
            "no window was reported while the demo ran",
        );
        return;
    }
    let refused = reports.iter().filter(|seen| !seen.accepted).count();
    let seen = format!("{} reports, {refused} with other figures", reports.len());
    report.check("P8", "usage reports", refused == 0, seen);
    let billed = reported(site, account);
    let seen = format!("billed {}, delivered {}", text(billed), text(spent));
    report.check("P8", "usage of one account", billed == spent, seen);
}

/// Usage of `account` over all windows; a window that was reported again counts once.
fn reported(site: &Site, account: &str) -> Usage {
    let reports = site.platform.reports();
    let windows: BTreeMap<_, &UsageReport> = reports
        .iter()
        .filter(|r| r.accepted)
        .map(|r| (r.report.window, &r.report))
        .collect();
    let parts = windows
        .values()
        .flat_map(|r| [r.accounts.get(account), r.late.get(account)]);
    parts.flatten().fold(Usage::default(), |sum, part| Usage {
        calls: sum.calls + part.calls,
        prompt_tokens: sum.prompt_tokens + part.prompt_tokens,
        completion_tokens: sum.completion_tokens + part.completion_tokens,
    })
}

fn text(usage: Usage) -> String {
    let Usage {
        calls,
        prompt_tokens,
        completion_tokens,
    } = usage;
    format!("{calls} calls, {prompt_tokens} + {completion_tokens} tokens")
}
