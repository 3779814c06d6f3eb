//! Compares the usage reports with the calls made for one client account.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegbay_core::record::Usage;
use nutmegbay_proto::platform::UsageReport;
use nutmegbay_proto::prefix::estimate_tokens;

use crate::caller::GatewayClient;
use crate::error::DemoError;
use crate::report::PromiseReport;
use crate::site::{DemoSite, holds_within};
use crate::steps::wait_until_key_accepted;
use crate::traffic::random_model_call;

/// Number of billed calls at each gateway.
const CALLS_PER_GATEWAY: usize = 10;

/// Maximum time to wait until the reports contain all billed calls.
const REPORTS_TIMEOUT: Duration = Duration::from_secs(12);

/// Makes calls for an account that nothing else uses and returns the usage that must be billed.
pub(crate) async fn make_billed_calls(
    site: &mut DemoSite,
) -> Result<Usage, error_stack::Report<DemoError>> {
    let account = site.targets.billed_account.clone();
    let (_, token) = site.grant(&account).await?;
    wait_until_key_accepted(site, &token).await?;
    let (caller, mut delivered) = (GatewayClient::new(), Usage::default());
    for gateway in site.gateway_addrs() {
        for _ in 0..CALLS_PER_GATEWAY {
            let model_call = random_model_call(&site.targets);
            if let Err(failed) = caller.complete(gateway, &token, &model_call).await {
                let text = format!("a billed call failed: {failed}");
                return Err(error_stack::Report::new(DemoError::Call(text.into())));
            }
            delivered.calls += 1;
            delivered.prompt_tokens += u64::from(estimate_tokens(&model_call.prompt));
            delivered.completion_tokens += u64::from(model_call.max_tokens);
        }
    }
    Ok(delivered)
}

/// Checks the usage reports: a repeated report must be identical, and their sum for the account
/// must equal `delivered`.
pub(crate) async fn compare_reports(site: &DemoSite, delivered: Usage, report: &mut PromiseReport) {
    let account = &*site.targets.billed_account;
    holds_within(REPORTS_TIMEOUT, || {
        reported_usage(site, account).calls >= delivered.calls
    })
    .await;
    let reports = site.platform.reports();
    if reports.is_empty() {
        report.add_not_exercised(
            "P8",
            "usage reports",
            "no window was reported while the demo ran",
        );
        return;
    }
    let refused = reports.iter().filter(|received| !received.accepted).count();
    let observed = format!("{} reports, {refused} with other figures", reports.len());
    report.add_check("P8", "usage reports", refused == 0, observed);
    let reported = reported_usage(site, account);
    let observed = format!(
        "billed {}, delivered {}",
        usage_text(reported),
        usage_text(delivered)
    );
    report.add_check(
        "P8",
        "usage of one account",
        reported == delivered,
        observed,
    );
}

/// Returns the reported usage of `account`, summed over all windows. A window with repeated reports
/// is counted once.
fn reported_usage(site: &DemoSite, account: &str) -> Usage {
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

fn usage_text(usage: Usage) -> String {
    let Usage {
        calls,
        prompt_tokens,
        completion_tokens,
    } = usage;
    format!("{calls} calls, {prompt_tokens} + {completion_tokens} tokens")
}
