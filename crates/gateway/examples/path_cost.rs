//! Measures the latency that gateway and sidecar add to a direct call of the fake engine, all in
//! this process and on loopback. With `streams`, it also measures the time that this many parallel
//! streams through the gateway take.
//!
//! `cargo run --release -p nutmegbay-gateway --example path_cost [calls] [streams]`
//!
//! `path_cost hold` starts a platform and 16 slow engines with their sidecars, prints the address of
//! the platform and waits until it is killed. A gateway in a process of its own can then be
//! measured against them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use nutmegbay_core::ids::{Offset, RecordId, RequestId};
use nutmegbay_core::record::{Body, ConfigPublish, ConfigScope, KeyGrant, Record, SCHEMA};
use nutmegbay_fakes::engine::{CostModel, EngineConfig, FakeEngine};
use nutmegbay_fakes::platform::{FakePlatform, PlatformConfig};
use nutmegbay_gateway::bind;
use nutmegbay_gateway::settings::GatewaySettings;
use nutmegbay_proto::engine::Generate;
use nutmegbay_proto::platform::{Instance, InstanceKind, InstanceList, InstanceState};
use nutmegbay_sidecar::{Settings, Sidecar};
use serde_json::json;
use serde_json::value::to_raw_value;
use sha2::{Digest, Sha256};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

type HttpClient = Client<HttpConnector, Full<Bytes>>;
type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Number of unmeasured calls that open connections and warm caches.
const WARM_UP_CALLS: usize = 200;

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> Result<(), Failure> {
    let mut args = std::env::args().skip(1).peekable();
    if args.peek().is_some_and(|arg| arg == "hold") {
        return serve_until_killed().await;
    }
    let calls = args.next().map_or(Ok(2_000), |n| n.parse())?;
    let streams = args.next().map_or(Ok(0), |n| n.parse())?;
    let (engine, instance) = start_engine_with_sidecar("e1", EngineConfig::instant()).await?;
    let gateway = start_gateway(vec![instance]).await?;
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    let http: HttpClient = Client::builder(TokioExecutor::new()).build(connector);

    let direct = measure_latencies(calls, |n| call_engine(&http, engine.addr(), n)).await?;
    let whole = measure_latencies(calls, |n| call_gateway(&http, gateway, n, false)).await?;
    let streamed = measure_latencies(calls, |n| call_gateway(&http, gateway, n, true)).await?;
    print_percentiles("direct", &direct);
    print_percentiles("whole", &whole);
    print_percentiles("streamed", &streamed);
    if streams > 0 {
        measure_streams(&http, gateway, streams).await?;
    }
    Ok(())
}

/// Runs a platform and 16 engines with sidecars until the process is killed. Each decode step
/// takes 250 ms.
async fn serve_until_killed() -> Result<(), Failure> {
    let mut instances = Vec::new();
    let mut engines = Vec::new();
    for n in 0..16 {
        let cost = CostModel {
            step_us: 250_000.0,
            ..CostModel::ZERO
        };
        let cfg = EngineConfig {
            cost,
            ..EngineConfig::instant()
        };
        let (engine, instance) = start_engine_with_sidecar(&format!("e{n}"), cfg).await?;
        engines.push(engine);
        instances.push(instance);
    }
    println!("{}", start_platform(instances).await?.addr());
    std::future::pending().await
}

/// Starts a fake engine and its sidecar. Returns the entry of the engine for the instance list.
async fn start_engine_with_sidecar(
    name: &str,
    cfg: EngineConfig,
) -> Result<(FakeEngine, Instance), Failure> {
    let engine = FakeEngine::start(cfg).await?;
    let text = format!(
        r#"{{ "instance": "{name}", "failure_domain": "a", "kind": "engine",
              "listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "upstream": "{}" }}"#,
        engine.addr()
    );
    let sidecar = Sidecar::bind(Settings::parse("settings", &text)?)?;
    let data = sidecar.data_addr()?;
    tokio::spawn(sidecar.run(CancellationToken::new()));
    let instance = Instance {
        name: name.into(),
        kind: InstanceKind::Engine,
        serves: "verse".into(),
        failure_domain: "a".into(),
        data,
        control: data,
        state: InstanceState::Live,
    };
    Ok((engine, instance))
}

async fn start_platform(instances: Vec<Instance>) -> Result<FakePlatform, Failure> {
    let platform = FakePlatform::start(PlatformConfig {
        instances: InstanceList { instances },
        ..PlatformConfig::default()
    })
    .await?;
    append_record(&platform, config_record())?;
    append_record(&platform, key_record())?;
    Ok(platform)
}

async fn start_gateway(instances: Vec<Instance>) -> Result<SocketAddr, Failure> {
    let platform = start_platform(instances).await?;
    let text = format!(
        r#"{{ "instance": "gw1", "failure_domain": "a", "site": "s", "listen": "127.0.0.1:0",
              "control": "127.0.0.1:0", "admin": "127.0.0.1:0", "platform": "http://{}" }}"#,
        platform.addr()
    );
    let bound = bind(GatewaySettings::parse("settings", &text)?).await?;
    let listen = bound.listen()?;
    tokio::spawn(bound.serve(CancellationToken::new()));
    sleep(Duration::from_secs(1)).await;
    Ok(listen)
}

fn append_record(platform: &FakePlatform, body: Body) -> Result<Offset, Failure> {
    let record = Record {
        id: RecordId(rand::random()),
        author: "operator".into(),
        at_ms: 0,
        schema: SCHEMA,
        body,
    };
    Ok(platform.append(vec![to_raw_value(&record)?]))
}

fn config_record() -> Body {
    let text = json!({
        "accounts": [{ "name": "acme", "share": 1 }],
        "models": [{ "name": "verse", "version": "1", "max_tokens": 100_000 }],
        "routes": [], "upstreams": [],
        "limits": { "max_body_bytes": 65_536, "max_queued": 10_000,
                    "queue_deadline_ms": 10_000, "progress_timeout_ms": 2_000 },
        "usage": { "window_s": 60, "grace_s": 10 },
        "planner": { "enabled": false, "interval_s": 5, "horizon_s": 60 }
    });
    Body::ConfigPublish(ConfigPublish {
        scope: ConfigScope::Base,
        prev: None,
        text: text.to_string().into(),
    })
}

fn key_record() -> Body {
    let digest = Sha256::digest(b"secret");
    let hex: Vec<String> = digest.iter().map(|b| format!("{b:02x}")).collect();
    Body::KeyGrant(KeyGrant {
        key: "k1".into(),
        account: "acme".into(),
        secret_sha256: hex.concat().into(),
    })
}

async fn call_engine(http: &HttpClient, engine: SocketAddr, n: usize) -> Result<(), Failure> {
    let body = Generate {
        id: RequestId(rand::random()),
        attempt: 1,
        model: "verse".into(),
        prompt: format!("user: call {n}\n").into(),
        max_tokens: 1,
        priority: 0,
        delivered: Vec::new(),
    };
    let req = Request::post(format!("http://{engine}/generate"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(serde_json::to_vec(&body)?)))?;
    send(http, req).await
}

async fn call_gateway(
    http: &HttpClient,
    gateway: SocketAddr,
    n: usize,
    is_stream: bool,
) -> Result<(), Failure> {
    send(
        http,
        chat_request(gateway, &format!("call {n} {is_stream}"), 1, is_stream)?,
    )
    .await
}

fn chat_request(
    gateway: SocketAddr,
    prompt: &str,
    max_tokens: usize,
    is_stream: bool,
) -> Result<Request<Full<Bytes>>, Failure> {
    let body = json!({ "model": "verse", "stream": is_stream, "max_tokens": max_tokens,
                       "messages": [{ "role": "user", "content": prompt }] });
    Ok(
        Request::post(format!("http://{gateway}/v1/chat/completions"))
            .header("authorization", "Bearer nb_k1_secret")
            .body(Full::new(Bytes::from(body.to_string())))?,
    )
}

async fn send(http: &HttpClient, req: Request<Full<Bytes>>) -> Result<(), Failure> {
    let res = http.request(req).await?;
    let status = res.status();
    let body = res.into_body().collect().await?.to_bytes();
    if status.is_success() {
        return Ok(());
    }
    Err(format!("status {status}: {}", String::from_utf8_lossy(&body)).into())
}

/// Returns the times of `calls` sequential calls, sorted ascending. Warm-up calls are left out.
async fn measure_latencies<F>(
    calls: usize,
    call: impl Fn(usize) -> F,
) -> Result<Vec<Duration>, Failure>
where
    F: Future<Output = Result<(), Failure>>,
{
    let mut times = Vec::with_capacity(calls);
    for n in 0..calls + WARM_UP_CALLS {
        let started = Instant::now();
        call(n).await?;
        if n >= WARM_UP_CALLS {
            times.push(started.elapsed());
        }
    }
    times.sort_unstable();
    Ok(times)
}

fn print_percentiles(name: &str, times: &[Duration]) {
    let percentile = |percent: usize| {
        times
            .get(times.len() * percent / 100)
            .copied()
            .unwrap_or_default()
    };
    println!(
        "{name}: p50 {:?}, p99 {:?}, n {}",
        percentile(50),
        percentile(99),
        times.len()
    );
}

/// Prints the number of tokens of `streams` parallel streams and the time that they took.
async fn measure_streams(
    http: &HttpClient,
    gateway: SocketAddr,
    streams: usize,
) -> Result<(), Failure> {
    const TOKENS_PER_STREAM: usize = 2_000;
    let started = Instant::now();
    let mut tasks = Vec::new();
    for n in 0..streams {
        let req = chat_request(gateway, &format!("stream {n}"), TOKENS_PER_STREAM, true)?;
        let http = http.clone();
        tasks.push(tokio::spawn(async move { send(&http, req).await }));
    }
    for task in tasks {
        task.await??;
    }
    let tokens = streams * TOKENS_PER_STREAM;
    let elapsed = started.elapsed();
    println!("{streams} streams: {tokens} tokens in {elapsed:?}");
    Ok(())
}
