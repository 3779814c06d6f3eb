//! Course of the demo.

use std::time::Duration;

use nutmegbay_core::record::ConfigScope;
use nutmegbay_proto::problem::ProblemKind;
use tokio::time::{Instant, sleep, timeout};

use crate::caller::{Ask, Caller, Event, Failed};
use crate::error::DemoError;
use crate::report::Report;
use crate::site::{Site, until, until_some};
use crate::texts::ADDED_MODEL;
use crate::traffic::Traffic;
use crate::{billing, orders};

/// Complete answers that must come before and after a disturbance.
const ANSWERS: u64 = 60;

/// Time in which a withdrawal and a publish must be in force, with the log up.
const IN_FORCE: Duration = Duration::from_secs(2);

/// Time in which a leaving upstream must stop receiving new work.
const LEAVING: Duration = Duration::from_secs(3);

/// Longest wait for a number of answers.
const TRAFFIC_WAIT: Duration = Duration::from_secs(30);

/// Headers that no upstream may see.
const SECRET_HEADERS: [&str; 4] = [
    "authorization",
    "cookie",
    "proxy-authorization",
    "x-api-key",
];

/// Exercises the site and returns what was seen.
pub async fn run(site: &mut Site) -> Result<Report, error_stack::Report<DemoError>> {
    let mut report = Report::default();
    let account = site.scope.account.clone();
    let (_, token) = site.grant(&account).await?;
    wait_key(site, &token).await?;
    foreign_keys(site, &mut report).await;
    let spent = billing::spend(site).await?;
    steady(site, &token, &mut report).await?;
    orders::repeat_elsewhere(site, &token, &mut report).await;
    orders::reuse_key(site, &token, &mut report).await;
    orders::lose_answer(site, &token, &mut report).await;
    publish(site, &token, &mut report).await?;
    withdraw(site, &mut report).await?;
    drain(site, &token, &mut report).await?;
    kill(site, &token, &mut report).await?;
    headers(site, &mut report);
    billing::compare(site, spent, &mut report).await;
    Ok(report)
}

/// Waits until every gateway takes the key.
pub(crate) async fn wait_key(
    site: &Site,
    token: &str,
) -> Result<(), error_stack::Report<DemoError>> {
    let caller = Caller::new();
    for addr in site.gateway_addrs() {
        until("every gateway takes a new key", async || {
            caller.models(addr, token).await.is_ok()
        })
        .await?;
    }
    Ok(())
}

async fn foreign_keys(site: &Site, report: &mut Report) {
    let caller = Caller::new();
    let (mut refused, mut asked) = (0, 0);
    for addr in site.gateway_addrs() {
        for token in [
            "",
            "nb_0000000000000000_00000000000000000000000000000000",
            "other",
        ] {
            let answer = caller.models(addr, token).await;
            asked += 1;
            refused += usize::from(matches!(answer, Err(Failed::Problem(p)) if p.status == 401));
        }
    }
    let seen = format!("{refused} of {asked} refused with 401");
    report.check("P4", "calls without a good key", refused == asked, seen);
}

async fn steady(
    site: &Site,
    token: &str,
    report: &mut Report,
) -> Result<(), error_stack::Report<DemoError>> {
    let traffic = Traffic::start(&site.gateway_addrs(), token, &site.scope);
    answers(&traffic, ANSWERS).await?;
    let tally = traffic.stop().await;
    let kept = tally.wrong == 0 && tally.failed == 0;
    report.check(
        "P9",
        "answers compared with the expected tokens",
        kept,
        tally.to_string(),
    );
    Ok(())
}

/// Stops one engine's sidecar as planned, under traffic.
async fn drain(
    site: &mut Site,
    token: &str,
    report: &mut Report,
) -> Result<(), error_stack::Report<DemoError>> {
    let traffic = Traffic::start(&site.gateway_addrs(), token, &site.scope);
    answers(&traffic, ANSWERS / 2).await?;
    let node = &mut site.engines[0];
    let sidecar = node.sidecar.take();
    let cancelled = node.upstream.seen().cancelled;
    let started = Instant::now();
    let stopped = match sidecar {
        Some(sidecar) => sidecar.stop().await,
        None => Ok(()),
    };
    let took = started.elapsed();
    let cancelled = node.upstream.seen().cancelled - cancelled;
    sleep(LEAVING.saturating_sub(took)).await;
    let before = node.upstream.seen().generates;
    answers(&traffic, traffic.good() + ANSWERS).await?;
    let new_work = node.upstream.seen().generates - before;
    node.upstream.stop().await;
    let tally = traffic.stop().await;
    let kept = stopped.is_ok() && cancelled == 0 && tally.wrong == 0 && tally.failed == 0;
    let stop = stopped
        .err()
        .unwrap_or_else(|| format!("stopped in {} ms", took.as_millis()));
    let stop = format!("{stop}, {cancelled} cut");
    report.check(
        "P2",
        "engine drained under traffic",
        kept,
        format!("{stop}; {tally}"),
    );
    let seen = format!("{new_work} new requests after {} s", LEAVING.as_secs());
    report.check(
        "P12",
        "new work for the drained engine",
        new_work == 0,
        seen,
    );
    Ok(())
}

/// Kills one engine and its sidecar under traffic.
async fn kill(
    site: &mut Site,
    token: &str,
    report: &mut Report,
) -> Result<(), error_stack::Report<DemoError>> {
    let traffic = Traffic::start(&site.gateway_addrs(), token, &site.scope);
    answers(&traffic, ANSWERS / 2).await?;
    let node = &mut site.engines[1];
    until(
        "the engine that is to be killed runs something",
        async || node.upstream.requests_in_flight() > 0,
    )
    .await?;
    let running = node.upstream.requests_in_flight();
    node.upstream.kill();
    if let Some(sidecar) = node.sidecar.take() {
        sidecar.kill();
    }
    answers(&traffic, traffic.good() + ANSWERS).await?;
    let tally = traffic.stop().await;
    let resumed = site.engines[2].upstream.seen().resumed;
    let kept = tally.wrong == 0 && tally.failed == 0;
    let seen = format!("{running} running there, {resumed} resumed elsewhere; {tally}");
    report.check("P9", "engine and sidecar killed under traffic", kept, seen);
    Ok(())
}

/// Publishes one more model and waits until every gateway lists it.
async fn publish(
    site: &mut Site,
    token: &str,
    report: &mut Report,
) -> Result<(), error_stack::Report<DemoError>> {
    site.texts = site.texts.with_added_model()?;
    let started = Instant::now();
    site.publish(ConfigScope::Base).await?;
    let caller = Caller::new();
    for addr in site.gateway_addrs() {
        until("a published model is listed", async || {
            let models = caller.models(addr, token).await;
            models.is_ok_and(|models| models.iter().any(|model| model == ADDED_MODEL))
        })
        .await?;
    }
    let took = started.elapsed();
    let seen = format!("in force at all gateways after {} ms", took.as_millis());
    report.check("P14", "publish under traffic", took <= IN_FORCE, seen);
    Ok(())
}

/// Withdraws a key while a stream is open under it.
async fn withdraw(
    site: &mut Site,
    report: &mut Report,
) -> Result<(), error_stack::Report<DemoError>> {
    let account = site.scope.other_account.clone();
    let (key, token) = site.grant(&account).await?;
    wait_key(site, &token).await?;
    let caller = Caller::new();
    let ask = Ask {
        model: site.scope.model.clone(),
        prompt: "a long answer".to_owned(),
        max_tokens: site.scope.max_tokens,
    };
    let addrs = site.gateway_addrs();
    // Slow engines keep the stream open for longer than the withdrawal may take.
    for node in &site.engines {
        let slow = nutmegbay_fakes::engine::EngineFaults {
            slow: 20.0,
            ..Default::default()
        };
        node.upstream.set_faults(slow);
    }
    let outcome = open_stream_ends(site, &caller, &ask, &key, &token).await?;
    for node in &site.engines {
        node.upstream
            .set_faults(nutmegbay_fakes::engine::EngineFaults::default());
    }
    let (kept, seen) = outcome;
    report.check("P6", "key withdrawn under an open stream", kept, seen);
    let mut refused = 0;
    for addr in &addrs {
        let answer = caller.models(*addr, &token).await;
        refused += usize::from(matches!(answer, Err(Failed::Problem(p)) if p.status == 401));
    }
    let seen = format!("{refused} of {} gateways refuse it", addrs.len());
    report.check(
        "P6",
        "new calls under the withdrawn key",
        refused == addrs.len(),
        seen,
    );
    Ok(())
}

async fn open_stream_ends(
    site: &mut Site,
    caller: &Caller,
    ask: &Ask,
    key: &str,
    token: &str,
) -> Result<(bool, String), error_stack::Report<DemoError>> {
    let addrs = site.gateway_addrs();
    let mut stream = match caller.stream(addrs[0], token, ask).await {
        Ok(stream) => stream,
        Err(failed) => return Ok((false, format!("the stream did not start: {failed}"))),
    };
    if !matches!(stream.next().await, Ok(Some(Event::Text(_)))) {
        return Ok((false, "the stream did not start".to_owned()));
    }
    let started = Instant::now();
    site.withdraw(key).await?;
    let end = timeout(2 * IN_FORCE, async {
        loop {
            match stream.next().await {
                Ok(Some(Event::Text(_))) => {}
                other => return other,
            }
        }
    });
    let end = end.await;
    let took = started.elapsed();
    let kept = matches!(&end, Ok(Err(Failed::Problem(p))) if p.kind == ProblemKind::KeyWithdrawn);
    let seen = match end {
        Ok(Err(failed)) => format!("ended after {} ms: {failed}", took.as_millis()),
        other => format!("after {} ms: {other:?}", took.as_millis()),
    };
    Ok((kept && took <= IN_FORCE, seen))
}

fn headers(site: &Site, report: &mut Report) {
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
        .filter(|name| SECRET_HEADERS.contains(&name.as_str()))
        .count();
    let seen = format!("{secret} of {} header names could carry a key", names.len());
    report.check("P5", "headers that upstreams received", secret == 0, seen);
}

/// Waits until as many complete answers came.
async fn answers(traffic: &Traffic, count: u64) -> Result<(), error_stack::Report<DemoError>> {
    if until_some(TRAFFIC_WAIT, || traffic.good() >= count).await {
        return Ok(());
    }
    let text = format!("{count} complete answers; {} came", traffic.good());
    Err(error_stack::Report::new(DemoError::Timeout(text.into())))
}
