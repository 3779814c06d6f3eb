//! A stand-in for the platform's store and for its interface for usage reports.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Query, Request, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode};
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

/// Fault of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Every call is refused with a 503.
    Refuse,
    /// Calls get no response for a minute, longer than any caller waits.
    Unresponsive,
    /// Appends take effect, and their responses are lost.
    LoseResponses,
}

#[derive(Debug, Default)]
struct StoreState {
    topics: HashMap<String, Vec<Record>>,
    /// First retained offset of each topic.
    first_offsets: HashMap<String, usize>,
    fault: Fault,
    /// Number of calls of [`Store::stall_waiting_reads`]. A read that started before the last of
    /// them gets no response.
    stalls: u32,
    reports: Vec<UsageReport>,
    /// Holder whose reports take this time to arrive.
    late_holder: Option<(String, Duration)>,
    /// Number of reports that are on their way.
    open_reports: u32,
    paging: Paging,
    /// Number of restores.
    era: u64,
    /// Items of lists that are replaced, by their key.
    odd_items: HashMap<String, Value>,
}

/// An accepted usage report.
#[derive(Debug, Clone, PartialEq)]
pub struct UsageReport {
    pub holder: String,
    pub fencing: u64,
    pub window: u64,
    pub counts: Value,
}

/// Copy of the contents of a store.
pub struct StoreCopy {
    topics: HashMap<String, Vec<Record>>,
    first_offsets: HashMap<String, usize>,
}

/// How lists are divided into pages.
#[derive(Debug, Default)]
struct Paging {
    /// Number of keys per page. `None` if a page contains all keys.
    keys_per_page: Option<usize>,
    /// Number of calls for a later page that are still to be refused.
    remaining_refusals: u32,
    /// Number of calls for the first page of each topic.
    first_page_calls: HashMap<String, u32>,
}

#[derive(Debug, Clone)]
struct Record {
    key: String,
    value: Vec<u8>,
}

/// A store with keyed topics of one partition. Clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Store(Arc<Mutex<StoreState>>);

type Params = Query<HashMap<String, String>>;

impl Store {
    /// Starts a store that listens at `addr`.
    pub async fn start(addr: SocketAddr) -> Self {
        let store = Self::default();
        let router = Router::new()
            .route("/-/log-newest", get(newest))
            .route("/-/log-read", get(read))
            .route("/-/log-append", post(append))
            .route("/usage", post(usage))
            .layer(middleware::from_fn_with_state(store.clone(), add_era))
            .with_state(store.clone());
        let listener = super::listen(addr).await;
        tokio::spawn(async move { axum::serve(listener, router).await });
        store
    }

    /// Appends a record, in place of the operator or an upstream.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        self.push(topic, key, value.to_string().into_bytes());
    }

    /// Appends a record that removes a key.
    pub fn remove(&self, topic: &str, key: &str) {
        self.push(topic, key, Vec::new());
    }

    /// Drops the history of all topics. The newest record of each key stays.
    pub fn drop_history(&self) {
        let mut inner = self.lock();
        let ends: Vec<_> = inner
            .topics
            .iter()
            .map(|(topic, records)| (topic.clone(), records.len()))
            .collect();
        inner.first_offsets.extend(ends);
    }

    /// Sets the fault of the store.
    pub fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    /// Divides lists into pages of one key and refuses the next `refusals` calls for a later page.
    pub fn paginate_lists(&self, refusals: u32) {
        let paging = &mut self.lock().paging;
        paging.keys_per_page = Some(1);
        paging.remaining_refusals = refusals;
        paging.first_page_calls.clear();
    }

    /// Makes lists contain `item` in place of the record of `key`.
    pub fn replace_item(&self, key: &str, item: &Value) {
        self.lock().odd_items.insert(key.into(), item.clone());
    }

    /// Appends a record with any value.
    pub fn put_bytes(&self, topic: &str, key: &str, value: &[u8]) {
        self.push(topic, key, value.into());
    }

    /// Returns the number of calls for the first page of a topic since [`Store::paginate_lists`].
    pub fn first_page_calls(&self, topic: &str) -> u32 {
        let inner = self.lock();
        inner
            .paging
            .first_page_calls
            .get(topic)
            .copied()
            .unwrap_or(0)
    }

    /// Withholds the responses of the reads that are waiting. New reads get theirs.
    pub fn stall_waiting_reads(&self) {
        self.lock().stalls += 1;
    }

    /// Returns the accepted usage reports.
    pub fn reports(&self) -> Vec<UsageReport> {
        self.lock().reports.clone()
    }

    /// Makes the reports of `holder` arrive late.
    pub fn delay_reports(&self, holder: &str, delay: Duration) {
        self.lock().late_holder = Some((holder.into(), delay));
    }

    /// Returns the number of late reports that are on their way.
    pub fn open_reports(&self) -> u32 {
        self.lock().open_reports
    }

    /// Returns a copy of the contents.
    pub fn copy(&self) -> StoreCopy {
        let inner = self.lock();
        StoreCopy {
            topics: inner.topics.clone(),
            first_offsets: inner.first_offsets.clone(),
        }
    }

    /// Replaces the contents by an earlier copy and begins a new era. Waiting reads get no response.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut inner = self.lock();
        inner.topics.clone_from(&copy.topics);
        inner.first_offsets.clone_from(&copy.first_offsets);
        inner.era += 1;
        inner.stalls += 1;
    }

    /// Restores the store to `copy`. The operator and the upstreams then write again what they had
    /// written since.
    pub fn restore_and_rewrite(&self, copy: &StoreCopy) {
        let lost = self.copy();
        self.restore(copy);
        for topic in ["keyed.op", "keyed.servers"] {
            let records = lost.topics.get(topic).into_iter().flatten();
            let newest: BTreeMap<_, _> =
                records.map(|r| (r.key.clone(), r.value.clone())).collect();
            for (key, value) in newest {
                self.push(topic, &key, value);
            }
        }
    }

    /// Returns the values of a topic in offset order. Skips values that are not JSON.
    pub fn values(&self, topic: &str) -> Vec<Value> {
        let inner = self.lock();
        let records = inner.topics.get(topic).into_iter().flatten();
        records
            .filter_map(|record| serde_json::from_slice(&record.value).ok())
            .collect()
    }

    fn push(&self, topic: &str, key: &str, value: Vec<u8>) -> usize {
        let mut inner = self.lock();
        let records = inner.topics.entry(topic.into()).or_default();
        records.push(Record {
            key: key.into(),
            value,
        });
        records.len() - 1
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.0.lock().unwrap()
    }

    /// Applies the fault to a call. Returns `None` if the call proceeds.
    async fn apply_fault(&self) -> Option<Response> {
        let fault = self.lock().fault;
        match fault {
            Fault::Refuse => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
            Fault::Unresponsive => {
                sleep(Duration::from_mins(1)).await;
                Some(StatusCode::SERVICE_UNAVAILABLE.into_response())
            }
            Fault::None | Fault::LoseResponses => None,
        }
    }
}

/// Adds the era of the store to a response.
async fn add_era(State(store): State<Store>, req: Request, next: Next) -> Response {
    let mut res = next.run(req).await;
    let era = store.lock().era;
    res.headers_mut()
        .insert("Store-Era", HeaderValue::from(era));
    res
}

async fn newest(State(store): State<Store>, Query(params): Params) -> Response {
    if let Some(refusal) = store.apply_fault().await {
        return refusal;
    }
    let mut inner = store.lock();
    let topic = &params["topic"];
    let records = inner.topics.get(topic).cloned().unwrap_or_default();
    let paging = &mut inner.paging;
    let after = params.get("after").map(String::as_str);
    match after {
        None => *paging.first_page_calls.entry(topic.clone()).or_default() += 1,
        Some(_) if paging.remaining_refusals > 0 => {
            paging.remaining_refusals -= 1;
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        Some(_) => {}
    }
    let page = paging.keys_per_page.unwrap_or(usize::MAX);
    let mut by_key: BTreeMap<&str, (usize, &Record)> = BTreeMap::new();
    for (offset, record) in records.iter().enumerate() {
        by_key.insert(&record.key, (offset, record));
    }
    let mut rest = by_key
        .iter()
        .filter(|(key, (_, record))| {
            !record.value.is_empty() && after.is_none_or(|after| **key > after)
        })
        .map(|(key, (offset, record))| match inner.odd_items.get(*key) {
            Some(item) => item.clone(),
            None => {
                json!({"key": record.key, "value": STANDARD.encode(&record.value), "offset": offset})
            }
        });
    let items: Vec<_> = rest.by_ref().take(page).collect();
    let body = json!({"items": items, "has-more": rest.next().is_some(), "end": records.len()});
    body.to_string().into_response()
}

async fn read(State(store): State<Store>, Query(params): Params) -> Response {
    if let Some(refusal) = store.apply_fault().await {
        return refusal;
    }
    let topic = &params["topic"];
    let from: usize = params["from"].parse().unwrap();
    let wait = params
        .get("wait-ms")
        .map_or(0, |wait| wait.parse().unwrap());
    let deadline = Instant::now() + Duration::from_millis(wait);
    let stalls = store.lock().stalls;
    loop {
        if store.lock().fault != Fault::None || store.lock().stalls != stalls {
            // A call that waits when the store becomes unavailable gets no response.
            sleep(Duration::from_mins(1)).await;
        }
        let (first, records) = {
            let inner = store.lock();
            let records = inner.topics.get(topic).cloned().unwrap_or_default();
            (
                inner.first_offsets.get(topic).copied().unwrap_or(0),
                records,
            )
        };
        if from < first || from > records.len() {
            return (StatusCode::GONE, json!({"first": first}).to_string()).into_response();
        }
        if records.len() > from || Instant::now() >= deadline {
            return encode(first, from, &records).into_response();
        }
        sleep(Duration::from_millis(5)).await;
    }
}

fn encode(first: usize, from: usize, records: &[Record]) -> Vec<u8> {
    let mut body = Vec::new();
    body.extend((records.len() as u64).to_be_bytes());
    body.extend((first as u64).to_be_bytes());
    for record in records.iter().skip(from) {
        let len = u32::try_from(1 + record.key.len() + record.value.len()).unwrap();
        body.extend(len.to_be_bytes());
        body.push(u8::try_from(record.key.len()).unwrap());
        body.extend(record.key.as_bytes());
        body.extend(&record.value);
    }
    body
}

async fn append(State(store): State<Store>, Query(params): Params, body: Bytes) -> Response {
    if let Some(refusal) = store.apply_fault().await {
        return refusal;
    }
    let topic = &params["topic"];
    let end = store.lock().topics.get(topic).map_or(0, Vec::len);
    let at: Option<usize> = params.get("at").map(|at| at.parse().unwrap());
    if at.is_some_and(|at| at != end) {
        let body = json!({"end": end}).to_string();
        return (StatusCode::PRECONDITION_FAILED, body).into_response();
    }
    let key_len = usize::from(body[4]);
    let key = String::from_utf8(body[5..5 + key_len].to_vec()).unwrap();
    let offset = store.push(topic, &key, body[5 + key_len..].to_vec());
    let fault = store.lock().fault;
    if fault == Fault::LoseResponses {
        sleep(Duration::from_mins(1)).await;
    }
    json!({"offset": offset, "end": offset + 1})
        .to_string()
        .into_response()
}

async fn usage(State(store): State<Store>, headers: HeaderMap, body: Bytes) -> StatusCode {
    let body: Value = serde_json::from_slice(&body).unwrap();
    let text = |name: &str| headers[name].to_str().unwrap();
    let report = UsageReport {
        holder: text("X-Duty-Holder").into(),
        fencing: text("X-Fencing-Token").parse().unwrap(),
        window: body["window-seq"].as_u64().unwrap(),
        counts: body["counts"].clone(),
    };
    let late_holder = store.lock().late_holder.clone();
    let delay = late_holder.filter(|(holder, _)| *holder == report.holder);
    if let Some((_, delay)) = delay {
        store.lock().open_reports += 1;
        let late = store.clone();
        // The report arrives also if its sender does not wait for the answer.
        let arrived = tokio::spawn(async move {
            sleep(delay).await;
            let mut inner = late.lock();
            inner.open_reports -= 1;
            inner.reports.push(report);
        });
        arrived.await.unwrap();
        return StatusCode::OK;
    }
    store.lock().reports.push(report);
    StatusCode::OK
}
