//! Non-idempotent calls, compared with what the service executed.

use std::net::SocketAddr;

use http::Method;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_fakes::service::ServiceFaults;
use serde_json::json;

use crate::caller::{Caller, Failed, Reply};
use crate::report::Report;
use crate::site::Site;
use crate::texts::Scope;

/// Calls that are each made at two gateways.
const REPEATED_CALLS: usize = 20;

/// Places one order; `reference` is what the service counts by.
async fn place(
    caller: &Caller,
    gateway: SocketAddr,
    token: &str,
    scope: &Scope,
    reference: &str,
    note: &str,
) -> Result<Reply, Failed> {
    let bearer = format!("Bearer {token}");
    let headers = [
        ("authorization", &*bearer),
        ("content-type", "application/json"),
        (&*scope.place.idempotency_header, reference),
    ];
    let body = json!({ "reference": reference, "note": note }).to_string();
    caller
        .service(Method::POST, gateway, &scope.place.path, &headers, body)
        .await
}

/// Repeats every call at the other gateway.
pub(crate) async fn repeat_elsewhere(site: &Site, token: &str, report: &mut Report) {
    let (caller, addrs) = (Caller::new(), site.gateway_addrs());
    let (mut same, mut refused) = (0, Vec::new());
    let mut worst = 0;
    for index in 0..REPEATED_CALLS {
        let reference = format!("repeated-{index}");
        let at = |gateway: usize| {
            place(
                &caller,
                addrs[gateway % addrs.len()],
                token,
                &site.scope,
                &reference,
                "a",
            )
        };
        // Both at once for every other call: the repeat then joins a running attempt.
        let (first, second) = if index % 2 == 0 {
            let first = at(index).await;
            (first, at(index + 1).await)
        } else {
            tokio::join!(at(index), at(index + 1))
        };
        worst = worst.max(site.executions(&reference));
        match (first, second) {
            (Ok(first), Ok(second)) => same += usize::from(first == second),
            (Err(failed), _) | (_, Err(failed)) => refused.push(failed.to_string()),
        }
    }
    let first = refused
        .first()
        .map(|text| format!(" (first: {text})"))
        .unwrap_or_default();
    let seen = format!(
        "{same} of {REPEATED_CALLS} same answer, {} refused, at most {worst} executions{first}",
        refused.len()
    );
    let kept = worst == 1 && same == REPEATED_CALLS;
    report.check("P11", "call repeated at the other gateway", kept, seen);
}

/// Uses a key again with another body.
pub(crate) async fn reuse_key(site: &Site, token: &str, report: &mut Report) {
    let (caller, addrs) = (Caller::new(), site.gateway_addrs());
    let first = place(&caller, addrs[0], token, &site.scope, "reused", "a").await;
    let second = place(&caller, addrs[1], token, &site.scope, "reused", "b").await;
    let executions = site.executions("reused");
    let (kept, seen) = match (&first, &second) {
        (Ok(_), Err(Failed::Problem(problem))) => (
            problem.status == 422 && executions == 1,
            format!("{problem}"),
        ),
        _ => (false, format!("first {first:?}, second {second:?}")),
    };
    report.check("P11", "key reused with another body", kept, seen);
}

/// Lets the service execute a call whose answer is lost.
pub(crate) async fn lose_answer(site: &Site, token: &str, report: &mut Report) {
    let (caller, addrs) = (Caller::new(), site.gateway_addrs());
    for node in &site.services {
        node.upstream.set_faults(ServiceFaults {
            drop_after: 1,
            ..ServiceFaults::default()
        });
    }
    let first = place(&caller, addrs[0], token, &site.scope, "lost", "a").await;
    for node in &site.services {
        node.upstream.set_faults(ServiceFaults::default());
    }
    let second = place(&caller, addrs[1], token, &site.scope, "lost", "a").await;
    let executions = site.executions("lost");
    let is_honest = |result: &Result<Reply, Failed>| match result {
        Ok(_) => true,
        Err(failed) => failed.verdict() != Verdict::NotRun,
    };
    let seen = format!("{executions} executions; first {}", text(&first));
    let kept = executions == 1 && is_honest(&first) && is_honest(&second);
    report.check("P10", "answer lost after the call ran", kept, seen);
}

fn text(result: &Result<Reply, Failed>) -> String {
    match result {
        Ok(reply) => format!("answered {}", reply.status),
        Err(failed) => failed.to_string(),
    }
}
