//! Steps of the demo, in the order in which they run.

use std::time::Duration;

use nutmegbay_core::record::ConfigScope;
use nutmegbay_proto::problem::ProblemKind;
use tokio::time::{Instant, sleep, timeout};

use crate::caller::{CallFailure, Event, GatewayClient, ModelCall};
use crate::config::ADDED_MODEL;
use crate::error::DemoError;
use crate::report::PromiseReport;
use crate::site::{DemoSite, holds_within, wait_until};
use crate::traffic::Traffic;
use crate::{billing, orders};

/// Number of correct answers awaited in undisturbed traffic and after a fault. Half as many are
/// awaited before a fault.
const ANSWERS_PER_PHASE: u64 = 60;

/// Maximum time until a withdrawal or a publish is in force while the log is available.
const MAX_IN_FORCE_DELAY: Duration = Duration::from_secs(2);

/// Maximum time until a draining upstream receives no new work.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(3);

/// Maximum time to wait for a number of correct answers.
const ANSWERS_TIMEOUT: Duration = Duration::from_secs(30);

/// Headers that may carry credentials and must not reach any upstream.
const CREDENTIAL_HEADERS: [&str; 4] = [
    "authorization",
    "cookie",
    "proxy-authorization",
    "x-api-key",
];

/// Runs all steps on the site and returns the results of their checks.
pub async fn run(site: &mut DemoSite) -> Result<PromiseReport, error_stack::Report<DemoError>> {
    let mut report = PromiseReport::default();
    let account = site.targets.account.clone();
    let (_, token) = site.grant(&account).await?;
    wait_until_key_accepted(site, &token).await?;
    check_invalid_keys(site, &mut report).await;
    let delivered = billing::make_billed_calls(site).await?;
    check_steady_traffic(site, &token, &mut report).await?;
    orders::repeat_elsewhere(site, &token, &mut report).await;
    orders::reuse_key(site, &token, &mut report).await;
    orders::lose_answer(site, &token, &mut report).await;
    publish_model(site, &token, &mut report).await?;
    withdraw_key(site, &mut report).await?;
    drain_engine(site, &token, &mut report).await?;
    kill_engine(site, &token, &mut report).await?;
    check_upstream_headers(site, &mut report);
    billing::compare_reports(site, delivered, &mut report).await;
    Ok(report)
}

/// Waits until every gateway accepts the key.
pub(crate) async fn wait_until_key_accepted(
    site: &DemoSite,
    token: &str,
) -> Result<(), error_stack::Report<DemoError>> {
    let caller = GatewayClient::new();
    for addr in site.gateway_addrs() {
        wait_until("every gateway accepts a new key", async || {
            caller.list_models(addr, token).await.is_ok()
        })
        .await?;
    }
    Ok(())
}

async fn check_invalid_keys(site: &DemoSite, report: &mut PromiseReport) {
    let caller = GatewayClient::new();
    let (mut refused, mut attempted) = (0, 0);
    for addr in site.gateway_addrs() {
        for token in [
            "",
            "nb_0000000000000000_00000000000000000000000000000000",
            "other",
        ] {
            let answer = caller.list_models(addr, token).await;
            attempted += 1;
            refused +=
                usize::from(matches!(answer, Err(CallFailure::Problem(p)) if p.status == 401));
        }
    }
    let observed = format!("{refused} of {attempted} refused with 401");
    report.add_check(
        "P4",
        "calls without a good key",
        refused == attempted,
        observed,
    );
}

async fn check_steady_traffic(
    site: &DemoSite,
    token: &str,
    report: &mut PromiseReport,
) -> Result<(), error_stack::Report<DemoError>> {
    let traffic = Traffic::start(&site.gateway_addrs(), token, &site.targets);
    wait_for_answers(&traffic, ANSWERS_PER_PHASE).await?;
    let counts = traffic.stop().await;
    let kept = counts.wrong == 0 && counts.failed == 0;
    report.add_check(
        "P9",
        "answers compared with the expected tokens",
        kept,
        counts.to_string(),
    );
    Ok(())
}

/// Stops the sidecar of one engine as planned, under traffic.
async fn drain_engine(
    site: &mut DemoSite,
    token: &str,
    report: &mut PromiseReport,
) -> Result<(), error_stack::Report<DemoError>> {
    let traffic = Traffic::start(&site.gateway_addrs(), token, &site.targets);
    wait_for_answers(&traffic, ANSWERS_PER_PHASE / 2).await?;
    let node = &mut site.engines[0];
    let sidecar = node.sidecar.take();
    let cancelled = node.upstream.seen().cancelled;
    let started = Instant::now();
    let stopped = match sidecar {
        Some(sidecar) => sidecar.stop().await,
        None => Ok(()),
    };
    let elapsed = started.elapsed();
    let cancelled = node.upstream.seen().cancelled - cancelled;
    sleep(MAX_DRAIN_DELAY.saturating_sub(elapsed)).await;
    let before = node.upstream.seen().generates;
    wait_for_answers(&traffic, traffic.correct_answers() + ANSWERS_PER_PHASE).await?;
    let new_work = node.upstream.seen().generates - before;
    node.upstream.stop().await;
    let counts = traffic.stop().await;
    let kept = stopped.is_ok() && cancelled == 0 && counts.wrong == 0 && counts.failed == 0;
    let stop = stopped
        .err()
        .unwrap_or_else(|| format!("stopped in {} ms", elapsed.as_millis()));
    let stop = format!("{stop}, {cancelled} cut");
    report.add_check(
        "P2",
        "engine drained under traffic",
        kept,
        format!("{stop}; {counts}"),
    );
    let observed = format!(
        "{new_work} new requests after {} s",
        MAX_DRAIN_DELAY.as_secs()
    );
    report.add_check(
        "P12",
        "new work for the drained engine",
        new_work == 0,
        observed,
    );
    Ok(())
}

/// Kills one engine and its sidecar, under traffic.
async fn kill_engine(
    site: &mut DemoSite,
    token: &str,
    report: &mut PromiseReport,
) -> Result<(), error_stack::Report<DemoError>> {
    let traffic = Traffic::start(&site.gateway_addrs(), token, &site.targets);
    wait_for_answers(&traffic, ANSWERS_PER_PHASE / 2).await?;
    let node = &mut site.engines[1];
    wait_until("the engine to be killed runs a request", async || {
        node.upstream.requests_in_flight() > 0
    })
    .await?;
    let running = node.upstream.requests_in_flight();
    node.upstream.kill();
    if let Some(sidecar) = node.sidecar.take() {
        sidecar.kill();
    }
    wait_for_answers(&traffic, traffic.correct_answers() + ANSWERS_PER_PHASE).await?;
    let counts = traffic.stop().await;
    let resumed = site.engines[2].upstream.seen().resumed;
    let kept = counts.wrong == 0 && counts.failed == 0;
    let observed = format!("{running} running there, {resumed} resumed elsewhere; {counts}");
    report.add_check(
        "P9",
        "engine and sidecar killed under traffic",
        kept,
        observed,
    );
    Ok(())
}

/// Publishes one more model and waits until every gateway lists it.
async fn publish_model(
    site: &mut DemoSite,
    token: &str,
    report: &mut PromiseReport,
) -> Result<(), error_stack::Report<DemoError>> {
    site.texts = site.texts.with_added_model()?;
    let started = Instant::now();
    site.publish(ConfigScope::Base).await?;
    let caller = GatewayClient::new();
    for addr in site.gateway_addrs() {
        wait_until("a published model is listed", async || {
            let models = caller.list_models(addr, token).await;
            models.is_ok_and(|models| models.iter().any(|model| model == ADDED_MODEL))
        })
        .await?;
    }
    let elapsed = started.elapsed();
    let observed = format!("in force at all gateways after {} ms", elapsed.as_millis());
    report.add_check(
        "P14",
        "publish under traffic",
        elapsed <= MAX_IN_FORCE_DELAY,
        observed,
    );
    Ok(())
}

/// Withdraws a key while a stream is open under it.
async fn withdraw_key(
    site: &mut DemoSite,
    report: &mut PromiseReport,
) -> Result<(), error_stack::Report<DemoError>> {
    let account = site.targets.other_account.clone();
    let (key, token) = site.grant(&account).await?;
    wait_until_key_accepted(site, &token).await?;
    let caller = GatewayClient::new();
    let model_call = ModelCall {
        model: site.targets.model.clone(),
        prompt: "a long answer".to_owned(),
        max_tokens: site.targets.max_tokens,
    };
    let addrs = site.gateway_addrs();
    // Slows the engines so that the stream stays open longer than the withdrawal may take.
    for node in &site.engines {
        let slow = nutmegbay_fakes::engine::EngineFaults {
            slow: 20.0,
            ..Default::default()
        };
        node.upstream.set_faults(slow);
    }
    let outcome = withdraw_under_stream(site, &caller, &model_call, &key, &token).await?;
    for node in &site.engines {
        node.upstream
            .set_faults(nutmegbay_fakes::engine::EngineFaults::default());
    }
    let (kept, observed) = outcome;
    report.add_check("P6", "key withdrawn under an open stream", kept, observed);
    let mut refused = 0;
    for addr in &addrs {
        let answer = caller.list_models(*addr, &token).await;
        refused += usize::from(matches!(answer, Err(CallFailure::Problem(p)) if p.status == 401));
    }
    let observed = format!("{refused} of {} gateways refuse it", addrs.len());
    report.add_check(
        "P6",
        "new calls under the withdrawn key",
        refused == addrs.len(),
        observed,
    );
    Ok(())
}

async fn withdraw_under_stream(
    site: &mut DemoSite,
    caller: &GatewayClient,
    model_call: &ModelCall,
    key: &str,
    token: &str,
) -> Result<(bool, String), error_stack::Report<DemoError>> {
    let addrs = site.gateway_addrs();
    let mut stream = match caller.stream_chat(addrs[0], token, model_call).await {
        Ok(stream) => stream,
        Err(failed) => return Ok((false, format!("the stream did not start: {failed}"))),
    };
    if !matches!(stream.next().await, Ok(Some(Event::Text(_)))) {
        return Ok((false, "the stream did not start".to_owned()));
    }
    let started = Instant::now();
    site.withdraw(key).await?;
    let end = timeout(2 * MAX_IN_FORCE_DELAY, async {
        loop {
            match stream.next().await {
                Ok(Some(Event::Text(_))) => {}
                other => return other,
            }
        }
    });
    let end = end.await;
    let elapsed = started.elapsed();
    let kept =
        matches!(&end, Ok(Err(CallFailure::Problem(p))) if p.kind == ProblemKind::KeyWithdrawn);
    let observed = match end {
        Ok(Err(failed)) => format!("ended after {} ms: {failed}", elapsed.as_millis()),
        other => format!("after {} ms: {other:?}", elapsed.as_millis()),
    };
    Ok((kept && elapsed <= MAX_IN_FORCE_DELAY, observed))
}

fn check_upstream_headers(site: &DemoSite, report: &mut PromiseReport) {
    let engines = site
        .engines
        .iter()
        .map(|node| node.upstream.seen().header_names);
    let services = site
        .services
        .iter()
        .map(|node| node.upstream.executions().header_names);
    let names: std::collections::BTreeSet<String> = engines.chain(services).flatten().collect();
    let secret = names
        .iter()
        .filter(|name| CREDENTIAL_HEADERS.contains(&name.as_str()))
        .count();
    let observed = format!("{secret} of {} header names could carry a key", names.len());
    report.add_check(
        "P5",
        "headers that upstreams received",
        secret == 0,
        observed,
    );
}

/// Waits until callers have received `count` correct answers since the traffic started.
async fn wait_for_answers(
    traffic: &Traffic,
    count: u64,
) -> Result<(), error_stack::Report<DemoError>> {
    if holds_within(ANSWERS_TIMEOUT, || traffic.correct_answers() >= count).await {
        return Ok(());
    }
    let text = format!(
        "{count} correct answers; {} received",
        traffic.correct_answers()
    );
    Err(error_stack::Report::new(DemoError::Timeout(text.into())))
}
