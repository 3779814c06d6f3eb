//! Parsed settings that remember where each value came from.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use error_stack::Report;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};

use crate::error::{Fault, SettingsError};

/// A text with the name under which faults refer to it.
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    /// File name.
    pub name: &'a str,
    /// JSON with comments.
    pub text: &'a str,
}

/// Place of a value.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// File name.
    pub file: Arc<str>,
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// A value with its origin.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// Place of the value, or of its key inside an object.
    pub origin: Origin,
    /// Value.
    pub content: Content,
}

/// Value of a [`Node`].
#[derive(Debug, Clone, PartialEq)]
pub enum Content {
    /// Number, string, boolean or null.
    Scalar(Value),
    /// Array.
    Array(Vec<Node>),
    /// Object.
    Object(BTreeMap<Box<str>, Node>),
}

impl Node {
    /// Parses JSON with comments and trailing commas.
    pub fn parse(source: Source<'_>) -> Result<Self, Report<SettingsError>> {
        let file: Arc<str> = source.name.into();
        let options = ParseOptions {
            allow_comments: true,
            allow_trailing_commas: true,
            allow_loose_object_property_names: false,
            allow_missing_commas: false,
            allow_single_quoted_strings: false,
            allow_hexadecimal_numbers: false,
            allow_unary_plus_numbers: false,
            allow_bare_decimal_point_numbers: false,
            allow_non_finite_numbers: false,
            allow_extended_string_escapes: false,
        };
        let reader = Reader {
            file: &file,
            lines: LineIndex::new(source.text),
        };
        let parsed = parse_to_ast(source.text, &CollectOptions::default(), &options)
            .map_err(|e| reader.fault(e.range().start, "", &e.kind().to_string()))?;
        match parsed.value {
            Some(value) => reader.read(&value, value.start(), ""),
            None => Err(reader.fault(0, "", "the file is empty; expected an object")),
        }
    }

    /// Merges an overlay: objects by key, arrays of named objects by name, everything else is
    /// replaced. A null removes the key or, as `"remove": true` in a named object, the element.
    pub fn merge(&mut self, overlay: Self) {
        match (&mut self.content, overlay.content) {
            (Content::Object(base), Content::Object(overlay)) => merge_objects(base, overlay),
            (Content::Array(base), Content::Array(overlay))
                if !overlay.is_empty()
                    && base.iter().chain(&overlay).all(|n| n.name().is_some()) =>
            {
                merge_named(base, overlay);
            }
            (content, replacement) => {
                *content = replacement;
                self.origin = overlay.origin;
            }
        }
    }

    /// Reads the tree into a type; faults name file, line and key.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, Report<SettingsError>> {
        serde_path_to_error::deserialize(self.to_value()).map_err(|e| {
            let message = e.inner().to_string();
            let (origin, mut key) = self.locate(e.path());
            let unknown = message
                .strip_prefix("unknown field `")
                .and_then(|m| m.split('`').next());
            let origin = match unknown {
                Some(field) if !key.ends_with(field) => {
                    let place = self.at(&key).and_then(|node| node.child(field));
                    key = join(&key, field);
                    place.map_or(origin, |node| node.origin.clone())
                }
                _ => origin,
            };
            SettingsError::one(Fault {
                origin,
                key,
                message,
            })
        })
    }

    /// Place of the value under `key`, such as `routes[0].path`, or of its nearest ancestor.
    pub fn origin_of(&self, key: &str) -> Origin {
        let mut node = self;
        for part in parts(key) {
            match node.child(part) {
                Some(child) => node = child,
                None => break,
            }
        }
        node.origin.clone()
    }

    /// Value under `key`.
    pub fn at(&self, key: &str) -> Option<&Self> {
        parts(key).try_fold(self, |node, part| node.child(part))
    }

    /// Every scalar with its key and origin.
    pub fn flatten(&self) -> Vec<(String, String, Origin)> {
        let mut out = Vec::new();
        self.collect("", &mut out);
        out
    }

    /// The same value without origins.
    pub fn to_value(&self) -> Value {
        match &self.content {
            Content::Scalar(value) => value.clone(),
            Content::Array(nodes) => nodes.iter().map(Self::to_value).collect(),
            Content::Object(fields) => fields
                .iter()
                .map(|(key, node)| (key.to_string(), node.to_value()))
                .collect(),
        }
    }

    /// Element or field by one part of a key.
    fn child(&self, part: &str) -> Option<&Self> {
        match &self.content {
            Content::Object(fields) => fields.get(part),
            Content::Array(nodes) => nodes.get(part.parse::<usize>().ok()?),
            Content::Scalar(_) => None,
        }
    }

    /// Name that identifies an element of an array across base and overlay.
    pub(crate) fn name(&self) -> Option<&str> {
        let node = self.child("name").or_else(|| self.child("path"))?;
        match &node.content {
            Content::Scalar(Value::String(name)) => Some(name),
            _ => None,
        }
    }

    fn is_removal(&self) -> bool {
        self.child("remove")
            .is_some_and(|n| n.content == Content::Scalar(Value::Bool(true)))
    }

    fn locate(&self, path: &Path) -> (Origin, String) {
        let mut key = String::new();
        for segment in path {
            match segment {
                Segment::Seq { index } => key = format!("{key}[{index}]"),
                Segment::Map { key: name } => key = join(&key, name),
                Segment::Enum { .. } | Segment::Unknown => break,
            }
        }
        (self.origin_of(&key), key)
    }

    fn collect(&self, key: &str, out: &mut Vec<(String, String, Origin)>) {
        match &self.content {
            Content::Scalar(value) => {
                out.push((key.to_owned(), value.to_string(), self.origin.clone()));
            }
            Content::Array(nodes) => {
                for (i, node) in nodes.iter().enumerate() {
                    node.collect(&format!("{key}[{i}]"), out);
                }
            }
            Content::Object(fields) => {
                for (name, node) in fields {
                    node.collect(&join(key, name), out);
                }
            }
        }
    }
}

/// Converts the parser's tree.
struct Reader<'a> {
    file: &'a Arc<str>,
    lines: LineIndex<'a>,
}

impl Reader<'_> {
    fn read(
        &self,
        value: &ast::Value<'_>,
        at: usize,
        key: &str,
    ) -> Result<Node, Report<SettingsError>> {
        let content = match value {
            ast::Value::StringLit(lit) => Content::Scalar(Value::String(lit.value.to_string())),
            ast::Value::NumberLit(lit) => Content::Scalar(
                serde_json::from_str(lit.value)
                    .map_err(|e| self.fault(lit.range.start, key, &e.to_string()))?,
            ),
            ast::Value::BooleanLit(lit) => Content::Scalar(Value::Bool(lit.value)),
            ast::Value::NullKeyword(_) => Content::Scalar(Value::Null),
            ast::Value::Array(array) => {
                let read = |(i, v): (usize, &ast::Value<'_>)| {
                    self.read(v, v.start(), &format!("{key}[{i}]"))
                };
                Content::Array(
                    array
                        .elements
                        .iter()
                        .enumerate()
                        .map(read)
                        .collect::<Result<_, _>>()?,
                )
            }
            ast::Value::Object(object) => {
                let mut fields = BTreeMap::new();
                for prop in &object.properties {
                    let name = prop.name.as_str();
                    let path = join(key, name);
                    let node = self.read(&prop.value, prop.range.start, &path)?;
                    if fields.insert(name.into(), node).is_some() {
                        return Err(self.fault(prop.range.start, &path, "the key stands twice"));
                    }
                }
                Content::Object(fields)
            }
        };
        Ok(Node {
            origin: self.origin(at),
            content,
        })
    }

    fn origin(&self, at: usize) -> Origin {
        let (line, column) = self.lines.place(at);
        Origin {
            file: self.file.clone(),
            line,
            column,
        }
    }

    fn fault(&self, at: usize, key: &str, message: &str) -> Report<SettingsError> {
        SettingsError::one(Fault {
            origin: self.origin(at),
            key: key.to_owned(),
            message: message.to_owned(),
        })
    }
}

/// Start of each line.
struct LineIndex<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    fn new(text: &'a str) -> Self {
        let breaks = text
            .bytes()
            .enumerate()
            .filter(|(_, b)| *b == b'\n')
            .map(|(i, _)| i + 1);
        Self {
            text,
            starts: std::iter::once(0).chain(breaks).collect(),
        }
    }

    fn place(&self, at: usize) -> (usize, usize) {
        let line = self.starts.partition_point(|start| *start <= at);
        let start = self.starts[line - 1];
        let column = self
            .text
            .get(start..at)
            .map_or(0, |head| head.chars().count());
        (line, column + 1)
    }
}

fn merge_objects(base: &mut BTreeMap<Box<str>, Node>, overlay: BTreeMap<Box<str>, Node>) {
    for (key, node) in overlay {
        match base.get_mut(&key) {
            _ if node.content == Content::Scalar(Value::Null) => {
                base.remove(&key);
            }
            Some(old) => old.merge(node),
            None => {
                base.insert(key, node);
            }
        }
    }
}

fn merge_named(base: &mut Vec<Node>, overlay: Vec<Node>) {
    for node in overlay {
        let found = base.iter().position(|old| old.name() == node.name());
        match found {
            Some(i) if node.is_removal() => {
                base.remove(i);
            }
            Some(i) => base[i].merge(node),
            None => base.push(node),
        }
    }
}

pub(crate) fn join(key: &str, name: &str) -> String {
    if key.is_empty() {
        name.to_owned()
    } else {
        format!("{key}.{name}")
    }
}

fn parts(key: &str) -> impl Iterator<Item = &str> {
    key.split(['.', '[', ']']).filter(|part| !part.is_empty())
}
