//! Responses of the OpenAI-compatible completion endpoints.

use bytes::{BufMut, BytesMut};
use nutmegbay_core::ids::RequestId;
use nutmegbay_proto::frame::End;
use nutmegbay_proto::problem::Problem;
use serde::Serialize;
use serde_json::json;

/// Completion endpoint that a request was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionApi {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// Encodes the answer to one request, as a stream of events or as one JSON object.
#[derive(Debug)]
pub struct ResponseWriter {
    api: CompletionApi,
    id: RequestId,
    created: u64,
    model: Box<str>,
    /// Beginning of every token event, up to the token itself.
    token_event_prefix: Box<[u8]>,
}

impl ResponseWriter {
    /// Creates a writer. `created` is the wall-clock time of the request in seconds since 1970.
    pub fn new(api: CompletionApi, id: RequestId, created: u64, model: &str) -> Self {
        let mut writer = Self {
            api,
            id,
            created,
            model: model.into(),
            token_event_prefix: Box::default(),
        };
        let mut buf = writer.open_event();
        buf.extend_from_slice(match api {
            CompletionApi::Chat => b"\"choices\":[{\"index\":0,\"delta\":{\"content\":",
            CompletionApi::Text => b"\"choices\":[{\"index\":0,\"text\":",
        });
        writer.token_event_prefix = buf.into();
        writer
    }

    fn open_event(&self) -> Vec<u8> {
        let (tag, object) = match self.api {
            CompletionApi::Chat => ("chatcmpl", "chat.completion.chunk"),
            CompletionApi::Text => ("cmpl", "text_completion"),
        };
        let model = serde_json::to_string(&self.model).unwrap_or_default();
        format!(
            "data: {{\"id\":\"{tag}-{}\",\"object\":\"{object}\",\"created\":{},\"model\":{model},",
            self.id, self.created
        )
        .into_bytes()
    }

    /// Writes the event of one token to `buf`.
    pub fn token(&self, buf: &mut BytesMut, token: &str) {
        buf.extend_from_slice(&self.token_event_prefix);
        put_json(buf, &token);
        buf.extend_from_slice(match self.api {
            CompletionApi::Chat => b"},\"finish_reason\":null}]}\n\n",
            CompletionApi::Text => b",\"finish_reason\":null}]}\n\n",
        });
    }

    /// Writes the last event, with the usage, and the `[DONE]` event after it.
    pub fn end(&self, buf: &mut BytesMut, end: &End, completion_tokens: u32) {
        buf.extend_from_slice(&self.open_event());
        buf.extend_from_slice(match self.api {
            CompletionApi::Chat => b"\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":",
            CompletionApi::Text => b"\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":",
        });
        put_json(buf, &end.finish);
        buf.extend_from_slice(b"}],\"usage\":");
        put_json(buf, &usage(end, completion_tokens));
        buf.extend_from_slice(b"}\n\ndata: [DONE]\n\n");
    }

    /// Writes a final error event. No `[DONE]` event follows it.
    pub fn failure(buf: &mut BytesMut, problem: &Problem) {
        buf.extend_from_slice(b"data: {\"error\":");
        put_json(buf, problem);
        buf.extend_from_slice(b"}\n\n");
    }

    /// Returns the complete answer as one JSON object.
    pub fn full_response(&self, text: &str, end: &End, completion_tokens: u32) -> Vec<u8> {
        let body = match self.api {
            CompletionApi::Chat => json!({
                "id": format!("chatcmpl-{}", self.id),
                "object": "chat.completion",
                "created": self.created,
                "model": self.model,
                "choices": [{
                    "index": 0,
                    "message": { "role": "assistant", "content": text },
                    "finish_reason": end.finish,
                }],
                "usage": usage(end, completion_tokens),
            }),
            CompletionApi::Text => json!({
                "id": format!("cmpl-{}", self.id),
                "object": "text_completion",
                "created": self.created,
                "model": self.model,
                "choices": [{ "index": 0, "text": text, "finish_reason": end.finish }],
                "usage": usage(end, completion_tokens),
            }),
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }
}

fn put_json(buf: &mut BytesMut, value: &impl Serialize) {
    // Writing to memory fails only for maps whose keys are not strings, and no caller has one.
    let _ = serde_json::to_writer(buf.writer(), value);
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: PromptTokensDetails,
}

#[derive(Serialize)]
struct PromptTokensDetails {
    cached_tokens: u32,
}

fn usage(end: &End, completion_tokens: u32) -> Usage {
    Usage {
        prompt_tokens: end.prompt_tokens,
        completion_tokens,
        total_tokens: end.prompt_tokens.saturating_add(completion_tokens),
        prompt_tokens_details: PromptTokensDetails {
            cached_tokens: end.cached_tokens,
        },
    }
}
