//! Frames of a streamed answer from the engine to the gateway, one JSON object per line.
//!
//! Frames are parsed more often than any other type, so their serde code is written by hand: it
//! makes one pass and does not buffer unknown fields.

use std::fmt;

use nutmegbay_core::ids::RequestId;
use serde::de::{Error, IgnoredAny, MapAccess, Visitor};
use serde::ser::SerializeMap;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::problem::Problem;

/// Unit of a streamed answer: a token, a keep-alive or the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    /// Identity of the request.
    pub id: RequestId,
    /// Number of the attempt that produced the frame.
    pub attempt: u32,
    /// Index of the token in the whole answer; in the last frame the number of tokens.
    pub seq: u32,
    /// Content of the frame.
    pub body: FrameBody,
}

/// Content of a [`Frame`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameBody {
    /// One generated token.
    Token(Box<str>),
    /// Keep-alive, sent while no token is ready.
    KeepAlive,
    /// Last frame of a complete answer.
    End(End),
    /// Last frame of a failed answer.
    Failed(Box<Problem>),
}

/// End of a complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Finish reason as in the OpenAI API: `stop` or `length`.
    pub finish: Box<str>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of prompt tokens that were in the prefix cache.
    pub cached_tokens: u32,
}

impl Serialize for Frame {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        map.serialize_entry("id", &self.id)?;
        map.serialize_entry("attempt", &self.attempt)?;
        map.serialize_entry("seq", &self.seq)?;
        match &self.body {
            FrameBody::Token(text) => map.serialize_entry("token", text)?,
            FrameBody::KeepAlive => map.serialize_entry("keep_alive", &true)?,
            FrameBody::End(end) => map.serialize_entry("end", end)?,
            FrameBody::Failed(problem) => map.serialize_entry("failed", problem)?,
        }
        map.end()
    }
}

impl<'de> Deserialize<'de> for Frame {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(FrameVisitor)
    }
}

struct FrameVisitor;

impl<'de> Visitor<'de> for FrameVisitor {
    type Value = Frame;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a frame with id, attempt, seq and one content")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Frame, A::Error> {
        let (mut id, mut attempt, mut seq, mut body) = (None, None, None, None);
        while let Some(field) = map.next_key::<Field>()? {
            match field {
                Field::Id => id = Some(map.next_value()?),
                Field::Attempt => attempt = Some(map.next_value()?),
                Field::Seq => seq = Some(map.next_value()?),
                Field::Other => drop(map.next_value::<IgnoredAny>()?),
                _ if body.is_some() => return Err(A::Error::custom("two contents in one frame")),
                Field::Token => body = Some(FrameBody::Token(map.next_value()?)),
                Field::KeepAlive => {
                    map.next_value::<bool>()?;
                    body = Some(FrameBody::KeepAlive);
                }
                Field::End => body = Some(FrameBody::End(map.next_value()?)),
                Field::Failed => body = Some(FrameBody::Failed(map.next_value()?)),
            }
        }
        Ok(Frame {
            id: id.ok_or_else(|| A::Error::missing_field("id"))?,
            attempt: attempt.ok_or_else(|| A::Error::missing_field("attempt"))?,
            seq: seq.ok_or_else(|| A::Error::missing_field("seq"))?,
            body: body.ok_or_else(|| A::Error::custom("frame without content"))?,
        })
    }
}

enum Field {
    Id,
    Attempt,
    Seq,
    Token,
    KeepAlive,
    End,
    Failed,
    Other,
}

impl<'de> Deserialize<'de> for Field {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_identifier(FieldVisitor)
    }
}

struct FieldVisitor;

impl Visitor<'_> for FieldVisitor {
    type Value = Field;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a field name")
    }

    fn visit_str<E: Error>(self, name: &str) -> Result<Field, E> {
        Ok(match name {
            "id" => Field::Id,
            "attempt" => Field::Attempt,
            "seq" => Field::Seq,
            "token" => Field::Token,
            "keep_alive" => Field::KeepAlive,
            "end" => Field::End,
            "failed" => Field::Failed,
            _ => Field::Other,
        })
    }
}
