//! Request bodies of the OpenAI-compatible completion endpoints.

use std::borrow::Cow;
use std::fmt;

use nutmegbay_proto::problem::{Problem, ProblemKind};
use nutmegbay_settings::model::{Model, SiteSettings};
use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

use super::refuse::not_run;
use super::sse::CompletionApi;

/// Completion request of a caller, checked against the site settings.
#[derive(Debug, PartialEq, Eq)]
pub struct CompletionRequest {
    /// Name of a configured model.
    pub model: Box<str>,
    /// Full prompt text; the messages of a chat are joined into one text.
    pub prompt: Box<str>,
    /// Maximum number of tokens to generate, at most the limit of the model.
    pub max_tokens: u32,
    /// Whether the caller wants the answer as server-sent events.
    pub is_stream: bool,
}

impl CompletionRequest {
    /// Parses the body of a request and checks it against the settings.
    ///
    /// Fails if the body is malformed, the prompt is empty, the token limit is zero or the model is
    /// not configured.
    pub fn parse(api: CompletionApi, body: &[u8], site: &SiteSettings) -> Result<Self, Problem> {
        let (model, prompt, max_tokens, is_stream) = match api {
            CompletionApi::Chat => {
                let req: Chat<'_> = parse_json(body)?;
                let max_tokens = req.max_completion_tokens.or(req.max_tokens);
                (
                    req.model,
                    render_chat_prompt(&req.messages),
                    max_tokens,
                    req.stream,
                )
            }
            CompletionApi::Text => {
                let req: Text<'_> = parse_json(body)?;
                (req.model, req.prompt.0, req.max_tokens, req.stream)
            }
        };
        let model = find_model(&model, site)?;
        if prompt.is_empty() {
            return Err(malformed("the prompt is empty"));
        }
        if max_tokens == Some(0) {
            return Err(malformed("`max_tokens` must be at least 1"));
        }
        Ok(Self {
            model: model.name.clone(),
            prompt: prompt.into(),
            max_tokens: max_tokens.map_or(model.max_tokens, |n| n.min(model.max_tokens)),
            is_stream: is_stream.unwrap_or(false),
        })
    }
}

#[derive(Deserialize)]
struct Chat<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(borrow)]
    messages: Vec<Message<'a>>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    stream: Option<bool>,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
    content: Content,
}

#[derive(Deserialize)]
struct Text<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    prompt: Content,
    max_tokens: Option<u32>,
    stream: Option<bool>,
}

/// Content of a message: a string, or a list of text parts, which are concatenated.
struct Content(String);

#[derive(Deserialize)]
struct Part<'a> {
    #[serde(borrow)]
    text: Cow<'a, str>,
}

impl<'de> Deserialize<'de> for Content {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ContentVisitor)
    }
}

struct ContentVisitor;

impl<'de> Visitor<'de> for ContentVisitor {
    type Value = Content;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string or a list of parts with `text`")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Content, E> {
        Ok(Content(text.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Content, A::Error> {
        let mut text = String::new();
        while let Some(part) = seq.next_element::<Part<'de>>()? {
            text.push_str(&part.text);
        }
        Ok(Content(text))
    }
}

fn parse_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Problem> {
    serde_json::from_slice(body).map_err(|e| malformed(&format!("fix the JSON body: {e}")))
}

fn malformed(detail: &str) -> Problem {
    not_run(ProblemKind::MalformedBody, detail)
}

fn render_chat_prompt(messages: &[Message<'_>]) -> String {
    let len = messages
        .iter()
        .map(|m| m.role.len() + m.content.0.len() + 3);
    let mut prompt = String::with_capacity(len.sum());
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&message.content.0);
        prompt.push('\n');
    }
    prompt
}

fn find_model<'a>(name: &str, site: &'a SiteSettings) -> Result<&'a Model, Problem> {
    site.models
        .iter()
        .find(|m| &*m.name == name)
        .ok_or_else(|| {
            let detail =
                format!("model `{name}` is not configured; GET /v1/models lists the models");
            not_run(ProblemKind::UnknownModel, detail)
        })
}
