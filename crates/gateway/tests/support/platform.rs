//! Platform that keeps log and instance list in memory.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::extract::{Query, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use nutmegbay_core::ids::{Offset, RecordId};
use nutmegbay_core::record::{
    Body, ConfigPublish, ConfigScope, DrainRequest, KeyWithdraw, Record, SCHEMA,
};
use nutmegbay_proto::platform::{
    AppendRequest, AppendResponse, Instance, InstanceList, LogEntry, ReadResponse, UsageReport,
};
use serde_json::value::{RawValue, to_raw_value};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// In-memory platform with faults that a test can switch on.
#[derive(Clone)]
pub struct InMemoryPlatform {
    pub addr: SocketAddr,
    state: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    store: Mutex<Store>,
    appended: Notify,
}

#[derive(Default)]
#[expect(clippy::struct_excessive_bools, reason = "the faults are independent")]
struct Store {
    records: Vec<Box<RawValue>>,
    instances: Vec<Instance>,
    reports: Vec<UsageReport>,
    is_down: bool,
    is_list_down: bool,
    loses_answers: bool,
    refuses_appends: bool,
}

impl InMemoryPlatform {
    pub async fn start() -> Self {
        let state = Arc::new(Shared::default());
        let router = Router::new()
            .route("/log", get(read).post(append))
            .route("/instances", get(instances))
            .route("/usage-reports", post(report))
            .with_state(Arc::clone(&state));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let addr = listener.local_addr().expect("address");
        tokio::spawn(async move { axum::serve(listener, router).await });
        Self { addr, state }
    }

    pub fn write(&self, body: Body) -> Offset {
        let mut store = self.state.store.lock().expect("lock");
        let offset = Offset(store.records.len() as u64);
        let record = Record {
            id: RecordId(rand::random()),
            author: "operator".into(),
            at_ms: 0,
            schema: SCHEMA,
            body,
        };
        store.records.push(to_raw_value(&record).expect("record"));
        self.state.appended.notify_waiters();
        offset
    }

    /// Writes a record with the id and schema that it has.
    pub fn write_record(&self, record: &Record) {
        let mut store = self.state.store.lock().expect("lock");
        store.records.push(to_raw_value(record).expect("record"));
        self.state.appended.notify_waiters();
    }

    pub fn publish_base(&self, base: &serde_json::Value) -> Offset {
        let prev = self.last_config();
        self.write(Body::ConfigPublish(ConfigPublish {
            scope: ConfigScope::Base,
            prev,
            text: base.to_string().into(),
        }))
    }

    fn last_config(&self) -> Option<Offset> {
        self.records()
            .iter()
            .rposition(|r| matches!(r.body, Body::ConfigPublish(_)))
            .map(|i| Offset(i as u64))
    }

    pub fn grant(&self, key: &str, account: &str, secret: &str) {
        self.write(super::grant(key, account, secret));
    }

    pub fn withdraw(&self, key: &str) {
        self.write(Body::KeyWithdraw(KeyWithdraw { key: key.into() }));
    }

    pub fn request_drain(&self, instance: &str) {
        let instance = instance.into();
        self.write(Body::DrainRequest(DrainRequest { instance }));
    }

    pub fn list_instance(&self, instance: Instance) {
        let mut store = self.state.store.lock().expect("lock");
        store.instances.retain(|i| i.name != instance.name);
        store.instances.push(instance);
    }

    /// Makes log and instance list unavailable.
    pub fn set_down(&self, is_down: bool) {
        self.set_log_down(is_down);
        self.state.store.lock().expect("lock").is_list_down = is_down;
    }

    pub fn set_log_down(&self, is_down: bool) {
        self.state.store.lock().expect("lock").is_down = is_down;
        self.state.appended.notify_waiters();
    }

    /// Makes the log refuse appends; reads still work.
    pub fn set_refuses_appends(&self, refuses: bool) {
        self.state.store.lock().expect("lock").refuses_appends = refuses;
    }

    pub fn set_loses_answers(&self, loses: bool) {
        self.state.store.lock().expect("lock").loses_answers = loses;
    }

    pub fn records(&self) -> Vec<Record> {
        let store = self.state.store.lock().expect("lock");
        let texts = store.records.iter().map(|r| r.get());
        texts
            .map(|text| serde_json::from_str(text).expect("record"))
            .collect()
    }

    pub fn reports(&self) -> Vec<UsageReport> {
        self.state.store.lock().expect("lock").reports.clone()
    }
}

async fn append(
    State(state): State<Arc<Shared>>,
    Json(req): Json<AppendRequest>,
) -> Result<Json<AppendResponse>, StatusCode> {
    let mut store = state.store.lock().expect("lock");
    if store.is_down || store.refuses_appends {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let first = Offset(store.records.len() as u64);
    store.records.extend(req.records);
    state.appended.notify_waiters();
    if store.loses_answers {
        return Err(StatusCode::INTERNAL_SERVER_ERROR);
    }
    Ok(Json(AppendResponse { first }))
}

async fn read(
    State(state): State<Arc<Shared>>,
    Query(query): Query<HashMap<String, u64>>,
) -> Result<Json<ReadResponse>, StatusCode> {
    let from = query.get("from").copied().unwrap_or(0);
    let wait = Duration::from_millis(query.get("wait_ms").copied().unwrap_or(0));
    let appended = state.appended.notified();
    tokio::pin!(appended);
    appended.as_mut().enable();
    let is_at_head = state.store.lock().expect("lock").records.len() as u64 <= from;
    if is_at_head {
        let _ = tokio::time::timeout(wait, appended).await;
    }
    let store = state.store.lock().expect("lock");
    if store.is_down {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let max = query.get("max").copied().unwrap_or(100);
    let entries = (0..)
        .zip(&store.records)
        .skip(usize::try_from(from).unwrap_or(0));
    Ok(Json(ReadResponse {
        records: entries
            .take(usize::try_from(max).unwrap_or(0))
            .map(|(i, record)| LogEntry {
                offset: Offset(i),
                record: record.clone(),
            })
            .collect(),
        head: Offset(store.records.len() as u64),
        oldest: Offset(0),
    }))
}

async fn instances(State(state): State<Arc<Shared>>) -> Result<Json<InstanceList>, StatusCode> {
    let store = state.store.lock().expect("lock");
    if store.is_list_down {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let instances = store.instances.clone();
    Ok(Json(InstanceList { instances }))
}

async fn report(State(state): State<Arc<Shared>>, Json(report): Json<UsageReport>) -> Json<()> {
    state.store.lock().expect("lock").reports.push(report);
    Json(())
}
