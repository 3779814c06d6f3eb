//! Guards against responses that begin before the upload has been read, break off, and reach their
//! caller as complete; and against responses with a status that no response can have.

mod common;

use common::early::{EarlyAnswer, EarlyPart};
use common::worker::{Action, event};
use common::{Response, Site, config, decode_chunked, head};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Size of an upload, in bytes: more than the buffers of the sockets hold.
const UPLOAD_BYTES: usize = 3_000_000;

const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

const RESETS_MS: [u16; 4] = [0, 1, 20, 100];

/// Headers of a short prompt, which a decode engine runs whole.
const SHORT_PROMPT: [(&str, &str); 2] =
    [("X-Token-Counts", "60,5"), ("X-Prompt-Prefix", "a:20,b:40")];

/// Headers of a prompt that is prefilled at a prefill engine.
const LONG_PROMPT: [(&str, &str); 2] = [
    ("X-Token-Counts", "20000,5"),
    ("X-Prompt-Prefix", "a:10,b:19990"),
];

fn early(status: u16, part: EarlyPart, reset_ms: u16) -> Action {
    Action::Early(EarlyAnswer {
        status,
        part,
        reset_ms,
    })
}

/// Returns the configuration of version 2, which allows large bodies.
fn large_bodies() -> Value {
    let mut config = config(2, &["k1"]);
    config["limits"]["body-bytes"] = json!(UPLOAD_BYTES);
    config
}

async fn publish(site: &Site, config: &Value) {
    site.store.put("keyed.op", "config", config);
    site.wait_until("large bodies are allowed", async || {
        upload(site, "/any/1", &[]).await.status == 200
    })
    .await;
}

/// Uploads a body and reads the whole response while it does.
async fn upload(site: &Site, path: &str, extra: &[(&str, &str)]) -> Response {
    let io = TcpStream::connect(site.edge().ingress()).await.unwrap();
    let (mut rx, mut tx) = io.into_split();
    let head = head("POST", path, extra);
    let head = format!("{head}Connection: close\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n");
    let send = tokio::spawn(async move {
        let _ = tx.write_all(head.as_bytes()).await;
        let _ = tx.write_all(&vec![b'u'; UPLOAD_BYTES]).await;
        tx
    });
    let mut bytes = Vec::new();
    // A truncated response ends with an error. The bytes before it are used.
    let _ = timeout(common::WAIT_TIMEOUT, rx.read_to_end(&mut bytes)).await;
    let _tx = send.await.unwrap();
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return Response::default();
    };
    let head = String::from_utf8(bytes[..end].to_vec()).unwrap();
    Response {
        status: head.split(' ').nth(1).unwrap().parse().unwrap(),
        body: bytes[end + 4..].to_vec(),
        head,
    }
}

/// Returns whether a response looks like a complete success.
fn is_whole_success(response: &Response) -> bool {
    let is_complete = match response.header("content-length") {
        Some(len) => len.parse() == Ok(response.body.len()),
        None => response.body.ends_with(LAST_CHUNK),
    };
    response.status == 200 && is_complete
}

/// A plain upload, also one whose response is passed on as it comes.
#[tokio::test(flavor = "multi_thread")]
async fn plain_uploads() {
    let site = Site::start(56, 1).await;
    publish(&site, &large_bodies()).await;
    for part in [EarlyPart::Small, EarlyPart::Large] {
        for reset_ms in RESETS_MS {
            site.workers[0].script(&[early(200, part, reset_ms)]);
            let response = upload(&site, "/once/1", &[]).await;
            assert!(
                !is_whole_success(&response),
                "{part:?}, {reset_ms} ms: {} and {} bytes",
                response.head,
                response.body.len()
            );
        }
    }
}

/// A stream that may go on elsewhere goes on or breaks off. What one upstream sent is not joined
/// with a stream from its start.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_streams() {
    let site = Site::start(57, 2).await;
    publish(&site, &large_bodies()).await;
    for part in [EarlyPart::Events, EarlyPart::WithinEvent] {
        for reset_ms in RESETS_MS {
            for worker in &site.workers {
                worker.script(&[early(200, part, reset_ms), Action::Stream]);
            }
            let response = upload(&site, "/stream/1", &SHORT_PROMPT).await;
            if is_whole_success(&response) {
                let text = decode_chunked(&response.body);
                let whole = common::worker::events(1, common::worker::EVENTS);
                assert_eq!(text, whole, "{part:?}, {reset_ms} ms");
            }
        }
    }
}

/// A stream that may not go on elsewhere breaks off.
#[tokio::test(flavor = "multi_thread")]
async fn once_only_streams() {
    let site = Site::start_engines(58).await;
    let mut config = large_bodies();
    config["services"][0]["engine"] = json!({"slots": 8, "kv-capacity": 900_000,
        "kv-token-bytes": 163_840, "link-mbps": 4_600_000.0});
    config["routes"][2]["resumable"] = json!(false);
    config["routes"][2]["attempts"] = json!(1);
    publish(&site, &config).await;
    for part in [EarlyPart::Events, EarlyPart::WithinEvent] {
        for reset_ms in RESETS_MS {
            site.workers[2].script(&[early(200, part, reset_ms)]);
            let response = upload(&site, "/stream/1", &SHORT_PROMPT).await;
            assert!(!is_whole_success(&response), "{part:?}, {reset_ms} ms");
            let text = String::from_utf8_lossy(&response.body);
            assert!(!text.contains("id: 2\nda\r"), "{text}");
        }
    }
}

/// A separate prefill that breaks off is no answer, whatever it has sent.
#[tokio::test(flavor = "multi_thread")]
async fn separate_prefills() {
    let site = Site::start_engines(59).await;
    let mut config = large_bodies();
    config["services"][0]["engine"] = json!({"slots": 8, "kv-capacity": 900_000,
        "kv-token-bytes": 163_840, "link-mbps": 4_600_000.0});
    publish(&site, &config).await;
    for part in [EarlyPart::Small, EarlyPart::PrefillResult] {
        for reset_ms in RESETS_MS {
            for worker in &site.workers {
                worker.script(&[early(200, part, reset_ms), Action::Stream]);
            }
            let response = upload(&site, "/stream/1", &LONG_PROMPT).await;
            let text = String::from_utf8_lossy(&response.body);
            assert!(!text.contains("transfer-handle"), "{text}");
            if is_whole_success(&response) {
                assert!(
                    text.contains(event(1).trim_end()),
                    "{part:?}, {reset_ms} ms: {text}"
                );
            }
        }
    }
}

/// A status that no response can have never reaches a caller, from any kind of send.
#[tokio::test(flavor = "multi_thread")]
async fn impossible_status() {
    let site = Site::start_engines(60).await;
    let mut config = large_bodies();
    config["services"][0]["engine"] = json!({"slots": 8, "kv-capacity": 900_000,
        "kv-token-bytes": 163_840, "link-mbps": 4_600_000.0});
    publish(&site, &config).await;
    let calls: [(&str, &[(&str, &str)]); 4] = [
        ("/once/1", &[]),
        ("/any/1", &[]),
        ("/stream/1", &SHORT_PROMPT),
        ("/stream/1", &LONG_PROMPT),
    ];
    for status in [0, 99, 1000] {
        for (path, extra) in calls {
            for worker in &site.workers {
                worker.script(&[early(status, EarlyPart::Small, 20); 4]);
            }
            let response = upload(&site, path, extra).await;
            let expected = [502, 503, 504];
            assert!(
                expected.contains(&response.status),
                "{status} on {path}: {}",
                response.head
            );
        }
    }
}
