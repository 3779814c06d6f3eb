//! Handlers of the model endpoints: completions and the list of models.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, header};
use nutmegbay_core::crashes::prompt_contents;
use nutmegbay_core::ids::Fingerprint;
use nutmegbay_proto::problem::Problem;
use nutmegbay_proto::work::REQUEST_HEADER;
use serde_json::json;

use super::api::CompletionRequest;
use super::body::Body;
use super::executor::{self, ModelRequest};
use super::reader::AnswerReader;
use super::sse::{CompletionApi, ResponseWriter};
use crate::auth::{self, Identity};
use crate::gateway::Gateway;

/// Runs a completion request, or joins an identical request that is already running.
///
/// Fails if the request is refused or fails before its first token; a later failure of a stream is
/// sent as an event.
pub async fn complete(
    gateway: &Arc<Gateway>,
    api: CompletionApi,
    caller: Identity,
    body: &Bytes,
) -> Result<Response<Body>, Problem> {
    let view = gateway.view();
    let site = view.site()?;
    let completion = CompletionRequest::parse(api, body, site)?;
    let account = site
        .accounts
        .iter()
        .find(|a| *a.name == *caller.key.account);
    let id = gateway.new_request_id();
    let (model, prompt) = (completion.model, completion.prompt);
    let fingerprint = Fingerprint::of(&caller.key.account, &model, &prompt);
    let request = ModelRequest {
        id,
        fingerprint,
        contents: prompt_contents(fingerprint, &model, &prompt).into(),
        account: (*caller.key.account).into(),
        model,
        prompt,
        max_tokens: completion.max_tokens,
        priority: account.map_or(0, |a| a.priority),
    };
    drop(view);
    let writer = ResponseWriter::new(api, id, gateway.clock.wall_ms() / 1_000, &request.model);
    let (shared_run, subscriber, is_first) = gateway
        .shared_runs
        .join(request.fingerprint, request.max_tokens);
    let mut reader = AnswerReader::new(
        Arc::clone(gateway),
        Arc::clone(&shared_run),
        subscriber,
        caller.key.account,
        caller.revocation,
    );
    if is_first {
        tokio::spawn(executor::run(Arc::clone(gateway), shared_run, request));
    } else {
        gateway.metrics.count("joined");
    }
    let (body, content_type) = if completion.is_stream {
        reader.wait_for_first_token().await?;
        (
            Body::Events(Box::new(reader.events(writer))),
            "text/event-stream",
        )
    } else {
        let (text, end, tokens) = reader.read_all().await?;
        (
            Body::full(writer.full_response(&text, &end, tokens)),
            "application/json",
        )
    };
    let mut res = Response::new(body);
    let headers = res.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    if let Ok(value) = HeaderValue::from_str(&id.to_string()) {
        headers.insert(REQUEST_HEADER, value);
    }
    Ok(res)
}

/// Lists the configured models. Fails if the caller's key is not valid.
pub fn list(gateway: &Arc<Gateway>, headers: &HeaderMap) -> Result<Response<Body>, Problem> {
    auth::authenticate(gateway, headers)?;
    let view = gateway.view();
    let models: Vec<_> = view
        .site()?
        .models
        .iter()
        .map(|m| json!({ "id": m.name, "object": "model", "owned_by": "nutmegbay" }))
        .collect();
    let body = json!({ "object": "list", "data": models });
    let mut res = Response::new(Body::full(body.to_string()));
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(res)
}
