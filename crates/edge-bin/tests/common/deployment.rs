//! Settings, configuration and entries of the list of instances with which a test starts.

use std::net::{IpAddr, SocketAddr};
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use super::{CONTROL, EXCHANGE, FIRST_WORKER, INGRESS, READINESS};

/// Returns a configuration with one route of each kind and one account with `keys`.
pub fn config(version: u64, keys: &[&str]) -> Value {
    let route = |kind: &str, prefix: &str, attempts: u32| {
        json!({"name": kind, "host": "shop.example", "prefix": prefix, "kind": kind,
            "timeout-ms": 1500, "slo-ms": 100, "priority": 1, "service": "desk",
            "attempts": attempts, "anonymous": false})
    };
    let mut stream = route("streaming", "/stream/", 2);
    stream["resumable"] = json!(true);
    stream["itl-target-ms"] = json!(100);
    json!({"version": version,
        "routes": [route("idempotent", "/any/", 2), route("non_idempotent", "/once/", 1), stream],
        "services": [{"name": "desk", "health-path": "/healthz", "max-conns": 100}],
        "limits": {"header-bytes": 16384, "body-bytes": 1000, "header-ms": 3000, "idle-ms": 15000},
        "tenants": [{"name": "acme", "keys": keys}]})
}

/// Returns an entry of the list of instances.
pub fn instance(addr: SocketAddr, state: &str) -> Value {
    json!({"service": "desk", "addr": addr.to_string(), "zone": "z", "version": "v1",
        "slots": 8, "state": state, "cold-ms": 0, "seq": 1})
}

/// Returns the time in milliseconds since 1970.
pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap()
}

/// Returns the settings of an edge at `ip`.
pub fn settings_text(node: &str, ip: IpAddr, store: SocketAddr, seed: IpAddr) -> String {
    format!(
        "node={node}\nip={ip}\nzone=z\nlisten.front={ip}:{INGRESS}\n\
         listen.ready={ip}:{READINESS}\nlisten.control={ip}:{CONTROL}\n\
         port-range={EXCHANGE},{EXCHANGE}\nseeds={seed}:{CONTROL}\nplatform.addr={store}\ncloud-api.addr={store}\n\
         cloud-api.duties=usage_report\nbounds.grace-s=8\nbounds.retry-slack=54\n\
         bounds.budget-ratio=0.2\nbounds.window-s=1\nbounds.usage-lag-s=6\n"
    )
}

/// Returns an engine's entry in the list of instances. The first two workers are prefill engines.
pub fn engine_instance(addr: SocketAddr, state: &str) -> Value {
    let mut entry = instance(addr, state);
    let is_prefill = addr.port() < FIRST_WORKER + 2;
    entry["phase"] = json!(if is_prefill { "prefill" } else { "decode" });
    entry
}
