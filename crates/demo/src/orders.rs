//! Non-idempotent calls, compared with the executions that the service counted.

use std::net::SocketAddr;

use http::Method;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_fakes::service::ServiceFaults;
use serde_json::json;

use crate::caller::{CallFailure, GatewayClient, Reply};
use crate::config::DemoTargets;
use crate::report::PromiseReport;
use crate::site::DemoSite;

/// Number of calls that are each made at two gateways.
const REPEATED_CALLS: usize = 20;

/// Places one order. `reference` is the idempotency key and the name under which the service counts
/// executions.
async fn place_order(
    caller: &GatewayClient,
    gateway: SocketAddr,
    token: &str,
    targets: &DemoTargets,
    reference: &str,
    note: &str,
) -> Result<Reply, CallFailure> {
    let bearer = format!("Bearer {token}");
    let headers = [
        ("authorization", &*bearer),
        ("content-type", "application/json"),
        (&*targets.order_route.idempotency_header, reference),
    ];
    let body = json!({ "reference": reference, "note": note }).to_string();
    caller
        .call_service(
            Method::POST,
            gateway,
            &targets.order_route.path,
            &headers,
            body,
        )
        .await
}

/// Makes every call at both gateways. It must be executed once and get the same answer twice.
pub(crate) async fn repeat_elsewhere(site: &DemoSite, token: &str, report: &mut PromiseReport) {
    let (caller, addrs) = (GatewayClient::new(), site.gateway_addrs());
    let (mut same_answers, mut refused) = (0, Vec::new());
    let mut max_executions = 0;
    for index in 0..REPEATED_CALLS {
        let reference = format!("repeated-{index}");
        let at = |gateway: usize| {
            place_order(
                &caller,
                addrs[gateway % addrs.len()],
                token,
                &site.targets,
                &reference,
                "a",
            )
        };
        // Every second call is sent to both gateways at the same time, so that the repeat joins the
        // running attempt.
        let (first, second) = if index % 2 == 0 {
            let first = at(index).await;
            (first, at(index + 1).await)
        } else {
            tokio::join!(at(index), at(index + 1))
        };
        max_executions = max_executions.max(site.executions(&reference));
        match (first, second) {
            (Ok(first), Ok(second)) => same_answers += usize::from(first == second),
            (Err(failed), _) | (_, Err(failed)) => refused.push(failed.to_string()),
        }
    }
    let first = refused
        .first()
        .map(|text| format!(" (first: {text})"))
        .unwrap_or_default();
    let observed = format!(
        "{same_answers} of {REPEATED_CALLS} same answer, {} refused, \
         at most {max_executions} executions{first}",
        refused.len()
    );
    let promise_kept = max_executions == 1 && same_answers == REPEATED_CALLS;
    report.add_check(
        "P11",
        "call repeated at the other gateway",
        promise_kept,
        observed,
    );
}

/// Sends an idempotency key again with another body. It must be refused with 422.
pub(crate) async fn reuse_key(site: &DemoSite, token: &str, report: &mut PromiseReport) {
    let (caller, addrs) = (GatewayClient::new(), site.gateway_addrs());
    let first = place_order(&caller, addrs[0], token, &site.targets, "reused", "a").await;
    let second = place_order(&caller, addrs[1], token, &site.targets, "reused", "b").await;
    let executions = site.executions("reused");
    let (promise_kept, observed) = match (&first, &second) {
        (Ok(_), Err(CallFailure::Problem(problem))) => (
            problem.status == 422 && executions == 1,
            format!("{problem}"),
        ),
        _ => (false, format!("first {first:?}, second {second:?}")),
    };
    report.add_check(
        "P11",
        "key reused with another body",
        promise_kept,
        observed,
    );
}

/// Makes the service execute a call and lose the answer. The caller must not receive the verdict
/// "not run", and a repeat must not execute the call again.
pub(crate) async fn lose_answer(site: &DemoSite, token: &str, report: &mut PromiseReport) {
    let (caller, addrs) = (GatewayClient::new(), site.gateway_addrs());
    for node in &site.services {
        node.upstream.set_faults(ServiceFaults {
            drop_after: 1,
            ..ServiceFaults::default()
        });
    }
    let first = place_order(&caller, addrs[0], token, &site.targets, "lost", "a").await;
    for node in &site.services {
        node.upstream.set_faults(ServiceFaults::default());
    }
    let second = place_order(&caller, addrs[1], token, &site.targets, "lost", "a").await;
    let executions = site.executions("lost");
    let has_valid_verdict = |result: &Result<Reply, CallFailure>| match result {
        Ok(_) => true,
        Err(failed) => failed.verdict() != Verdict::NotRun,
    };
    let observed = format!("{executions} executions; first {}", result_text(&first));
    let promise_kept = executions == 1 && has_valid_verdict(&first) && has_valid_verdict(&second);
    report.add_check(
        "P10",
        "answer lost after the call ran",
        promise_kept,
        observed,
    );
}

fn result_text(result: &Result<Reply, CallFailure>) -> String {
    match result {
        Ok(reply) => format!("answered {}", reply.status),
        Err(failed) => failed.to_string(),
    }
}
