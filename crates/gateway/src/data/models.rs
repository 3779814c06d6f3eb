//! Model requests.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, header};
use nutmegbay_core::ids::Fingerprint;
use nutmegbay_proto::problem::Problem;
use nutmegbay_proto::work::REQUEST_HEADER;
use serde_json::json;

use super::api::Ask;
use super::body::Body;
use super::pump::{self, Job};
use super::reader::Reader;
use super::sse::{Style, Writer};
use crate::auth::{self, Identity};
use crate::gateway::Gateway;

/// Runs a model request.
pub async fn complete(
    gateway: &Arc<Gateway>,
    style: Style,
    caller: Identity,
    body: &Bytes,
) -> Result<Response<Body>, Problem> {
    let view = gateway.view();
    let site = view.site()?;
    let ask = Ask::parse(style, body, site)?;
    let account = site
        .accounts
        .iter()
        .find(|a| *a.name == *caller.key.account);
    let id = gateway.new_request_id();
    let job = Job {
        id,
        fingerprint: Fingerprint::of(&caller.key.account, &ask.model, &ask.prompt),
        account: (*caller.key.account).into(),
        model: ask.model,
        prompt: ask.prompt,
        max_tokens: ask.max_tokens,
        priority: account.map_or(0, |a| a.priority),
    };
    drop(view);
    let writer = Writer::new(style, id, gateway.clock.wall_ms() / 1_000, &job.model);
    let (flight, seat, is_first) = gateway.flights.join(job.fingerprint, job.max_tokens);
    let mut reader = Reader::new(
        Arc::clone(gateway),
        Arc::clone(&flight),
        seat,
        caller.key.account,
        caller.ended,
    );
    if is_first {
        tokio::spawn(pump::run(Arc::clone(gateway), flight, job));
    } else {
        gateway.metrics.count("joined");
    }
    let (body, media) = if ask.is_stream {
        reader.started().await?;
        (
            Body::Events(Box::new(reader.events(writer))),
            "text/event-stream",
        )
    } else {
        let (text, end, tokens) = reader.whole().await?;
        (
            Body::whole(writer.whole(&text, &end, tokens)),
            "application/json",
        )
    };
    let mut res = Response::new(body);
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(media));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(REQUEST_HEADER, value);
    }
    Ok(res)
}

/// Lists the models.
pub fn list(gateway: &Arc<Gateway>, headers: &HeaderMap) -> Result<Response<Body>, Problem> {
    auth::identify(gateway, headers)?;
    let view = gateway.view();
    let models: Vec<_> = view
        .site()?
        .models
        .iter()
        .map(|m| json!({ "id": m.name, "object": "model", "owned_by": "nutmegbay" }))
        .collect();
    let body = json!({ "object": "list", "data": models });
    let mut res = Response::new(Body::whole(body.to_string()));
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(res)
}
