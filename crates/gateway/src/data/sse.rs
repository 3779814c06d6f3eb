//! Answers in OpenAI's format.

use bytes::{BufMut, BytesMut};
use nutmegbay_core::ids::RequestId;
use nutmegbay_proto::frame::End;
use nutmegbay_proto::problem::Problem;
use serde::Serialize;
use serde_json::json;

/// Which of the two interfaces a request came through.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Style {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// Writes the answer to one request.
#[derive(Debug)]
pub struct Writer {
    style: Style,
    id: RequestId,
    created: u64,
    model: Box<str>,
    /// Start of every event up to the token.
    prefix: Box<[u8]>,
}

impl Writer {
    /// Prepares the parts that all events of an answer share.
    pub fn new(style: Style, id: RequestId, created: u64, model: &str) -> Self {
        let mut writer = Self {
            style,
            id,
            created,
            model: model.into(),
            prefix: Box::default(),
        };
        let mut buf = writer.open_event();
        buf.extend_from_slice(match style {
            Style::Chat => b"\"choices\":[{\"index\":0,\"delta\":{\"content\":",
            Style::Text => b"\"choices\":[{\"index\":0,\"text\":",
        });
        writer.prefix = buf.into();
        writer
    }

    fn open_event(&self) -> Vec<u8> {
        let (tag, object) = match self.style {
            Style::Chat => ("chatcmpl", "chat.completion.chunk"),
            Style::Text => ("cmpl", "text_completion"),
        };
        let model = serde_json::to_string(&self.model).unwrap_or_default();
        format!(
            "data: {{\"id\":\"{tag}-{}\",\"object\":\"{object}\",\"created\":{},\"model\":{model},",
            self.id, self.created
        )
        .into_bytes()
    }

    /// Writes the event of one token.
    pub fn token(&self, buf: &mut BytesMut, token: &str) {
        buf.extend_from_slice(&self.prefix);
        put_json(buf, &token);
        buf.extend_from_slice(match self.style {
            Style::Chat => b"},\"finish_reason\":null}]}\n\n",
            Style::Text => b",\"finish_reason\":null}]}\n\n",
        });
    }

    /// Writes the last event, with usage, and the end mark.
    pub fn end(&self, buf: &mut BytesMut, end: &End, tokens: u32) {
        buf.extend_from_slice(&self.open_event());
        buf.extend_from_slice(match self.style {
            Style::Chat => b"\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":",
            Style::Text => b"\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":",
        });
        put_json(buf, &end.finish);
        buf.extend_from_slice(b"}],\"usage\":");
        put_json(buf, &usage(end, tokens));
        buf.extend_from_slice(b"}\n\ndata: [DONE]\n\n");
    }

    /// Writes a final error event. No end mark follows it.
    pub fn failure(buf: &mut BytesMut, problem: &Problem) {
        buf.extend_from_slice(b"data: {\"error\":");
        put_json(buf, problem);
        buf.extend_from_slice(b"}\n\n");
    }

    /// A whole answer.
    pub fn whole(&self, text: &str, end: &End, tokens: u32) -> Vec<u8> {
        let body = match self.style {
            Style::Chat => json!({
                "id": format!("chatcmpl-{}", self.id),
                "object": "chat.completion",
                "created": self.created,
                "model": self.model,
                "choices": [{
                    "index": 0,
                    "message": { "role": "assistant", "content": text },
                    "finish_reason": end.finish,
                }],
                "usage": usage(end, tokens),
            }),
            Style::Text => json!({
                "id": format!("cmpl-{}", self.id),
                "object": "text_completion",
                "created": self.created,
                "model": self.model,
                "choices": [{ "index": 0, "text": text, "finish_reason": end.finish }],
                "usage": usage(end, tokens),
            }),
        };
        serde_json::to_vec(&body).unwrap_or_default()
    }
}

fn put_json(buf: &mut BytesMut, value: &impl Serialize) {
    // Writing to memory fails only for maps with keys that are not text, which no caller has.
    let _ = serde_json::to_writer(buf.writer(), value);
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: Details,
}

#[derive(Serialize)]
struct Details {
    cached_tokens: u32,
}

fn usage(end: &End, tokens: u32) -> Usage {
    Usage {
        prompt_tokens: end.prompt_tokens,
        completion_tokens: tokens,
        total_tokens: end.prompt_tokens.saturating_add(tokens),
        prompt_tokens_details: Details {
            cached_tokens: end.cached_tokens,
        },
    }
}
