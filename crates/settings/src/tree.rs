//! Tree of parsed settings in which each value keeps its source location.

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

use crate::error::{Diagnostic, SettingsError};

/// Text of a settings file with the name that errors use for it.
#[derive(Debug, Clone, Copy)]
pub struct Source<'a> {
    /// File name.
    pub name: &'a str,
    /// Content in JSON with comments.
    pub text: &'a str,
}

/// Source location of a value.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Origin {
    /// File name.
    pub file: Arc<str>,
    /// Line number, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// A value with its source location.
#[derive(Debug, Clone, PartialEq)]
pub struct Node {
    /// Location of the value, or of its key for a field of an object.
    pub origin: Origin,
    /// The value itself.
    pub content: Content,
}

/// Value of a [`Node`].
#[derive(Debug, Clone, PartialEq)]
pub enum Content {
    /// Number, string, boolean or null.
    Scalar(Value),
    /// Elements in source order.
    Array(Vec<Node>),
    /// Fields by name.
    Object(BTreeMap<Box<str>, Node>),
}

impl Node {
    /// Parses JSON with comments and trailing commas. Other extensions of JSON are errors.
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
        let builder = TreeBuilder {
            file: &file,
            lines: LineIndex::new(source.text),
        };
        let parsed = parse_to_ast(source.text, &CollectOptions::default(), &options)
            .map_err(|e| builder.error(e.range().start, "", &e.kind().to_string()))?;
        match parsed.value {
            Some(value) => builder.build(&value, value.start(), ""),
            None => Err(builder.error(0, "", "the file is empty; expected an object")),
        }
    }

    /// Merges an overlay: objects by key, arrays of named objects by name. Any other value of the
    /// overlay replaces the value of the base. `null` removes a key, `"remove": true` in a named
    /// object removes the array element of that name.
    pub fn merge(&mut self, overlay: Self) {
        match (&mut self.content, overlay.content) {
            (Content::Object(base), Content::Object(overlay)) => merge_objects(base, overlay),
            (Content::Array(base), Content::Array(overlay))
                if !overlay.is_empty()
                    && base.iter().chain(&overlay).all(|n| n.name().is_some()) =>
            {
                merge_by_name(base, overlay);
            }
            (content, replacement) => {
                *content = replacement;
                self.origin = overlay.origin;
            }
        }
    }

    /// Deserializes the tree into `T`. Errors name file, line and key.
    pub fn deserialize<T: DeserializeOwned>(&self) -> Result<T, Report<SettingsError>> {
        serde_path_to_error::deserialize(self.to_value()).map_err(|e| {
            let message = e.inner().to_string();
            let (origin, mut key) = self.locate(e.path());
            let unknown_field = message
                .strip_prefix("unknown field `")
                .and_then(|m| m.split('`').next());
            let origin = match unknown_field {
                Some(field) if !key.ends_with(field) => {
                    let field_node = self.get(&key).and_then(|node| node.child(field));
                    key = join_key(&key, field);
                    field_node.map_or(origin, |node| node.origin.clone())
                }
                _ => origin,
            };
            SettingsError::single(Diagnostic {
                origin,
                key,
                message,
            })
        })
    }

    /// Returns the location of the value at `key`, such as `routes[0].path`, or of its nearest
    /// existing ancestor.
    pub fn origin_of(&self, key: &str) -> Origin {
        let mut node = self;
        for segment in key_segments(key) {
            match node.child(segment) {
                Some(child) => node = child,
                None => break,
            }
        }
        node.origin.clone()
    }

    /// Returns the node at `key`, such as `routes[0].path`.
    pub fn get(&self, key: &str) -> Option<&Self> {
        key_segments(key).try_fold(self, |node, segment| node.child(segment))
    }

    /// Returns the key, JSON text and origin of every scalar.
    pub fn flatten(&self) -> Vec<(String, String, Origin)> {
        let mut out = Vec::new();
        self.collect_scalars("", &mut out);
        out
    }

    /// Returns the value without source locations.
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

    /// Returns the field or array element that one segment of a key names.
    fn child(&self, segment: &str) -> Option<&Self> {
        match &self.content {
            Content::Object(fields) => fields.get(segment),
            Content::Array(nodes) => nodes.get(segment.parse::<usize>().ok()?),
            Content::Scalar(_) => None,
        }
    }

    /// Returns the string that identifies an array element in both base and overlay: its `name`, or
    /// else its `path`.
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

    /// Converts a path of `serde_path_to_error` to a key and looks up its location.
    fn locate(&self, path: &Path) -> (Origin, String) {
        let mut key = String::new();
        for segment in path {
            match segment {
                Segment::Seq { index } => key = format!("{key}[{index}]"),
                Segment::Map { key: name } => key = join_key(&key, name),
                Segment::Enum { .. } | Segment::Unknown => break,
            }
        }
        (self.origin_of(&key), key)
    }

    fn collect_scalars(&self, key: &str, out: &mut Vec<(String, String, Origin)>) {
        match &self.content {
            Content::Scalar(value) => {
                out.push((key.to_owned(), value.to_string(), self.origin.clone()));
            }
            Content::Array(nodes) => {
                for (i, node) in nodes.iter().enumerate() {
                    node.collect_scalars(&format!("{key}[{i}]"), out);
                }
            }
            Content::Object(fields) => {
                for (name, node) in fields {
                    node.collect_scalars(&join_key(key, name), out);
                }
            }
        }
    }
}

/// Builds [`Node`]s from the syntax tree of the JSON parser.
struct TreeBuilder<'a> {
    file: &'a Arc<str>,
    lines: LineIndex<'a>,
}

impl TreeBuilder<'_> {
    fn build(
        &self,
        value: &ast::Value<'_>,
        offset: usize,
        key: &str,
    ) -> Result<Node, Report<SettingsError>> {
        let content = match value {
            ast::Value::StringLit(lit) => Content::Scalar(Value::String(lit.value.to_string())),
            ast::Value::NumberLit(lit) => Content::Scalar(
                serde_json::from_str(lit.value)
                    .map_err(|e| self.error(lit.range.start, key, &e.to_string()))?,
            ),
            ast::Value::BooleanLit(lit) => Content::Scalar(Value::Bool(lit.value)),
            ast::Value::NullKeyword(_) => Content::Scalar(Value::Null),
            ast::Value::Array(array) => {
                let build_element = |(i, v): (usize, &ast::Value<'_>)| {
                    self.build(v, v.start(), &format!("{key}[{i}]"))
                };
                Content::Array(
                    array
                        .elements
                        .iter()
                        .enumerate()
                        .map(build_element)
                        .collect::<Result<_, _>>()?,
                )
            }
            ast::Value::Object(object) => {
                let mut fields = BTreeMap::new();
                for prop in &object.properties {
                    let name = prop.name.as_str();
                    let path = join_key(key, name);
                    let node = self.build(&prop.value, prop.range.start, &path)?;
                    if fields.insert(name.into(), node).is_some() {
                        return Err(self.error(prop.range.start, &path, "duplicate key"));
                    }
                }
                Content::Object(fields)
            }
        };
        Ok(Node {
            origin: self.origin(offset),
            content,
        })
    }

    fn origin(&self, offset: usize) -> Origin {
        let (line, column) = self.lines.line_and_column(offset);
        Origin {
            file: self.file.clone(),
            line,
            column,
        }
    }

    fn error(&self, offset: usize, key: &str, message: &str) -> Report<SettingsError> {
        SettingsError::single(Diagnostic {
            origin: self.origin(offset),
            key: key.to_owned(),
            message: message.to_owned(),
        })
    }
}

/// Byte offsets at which the lines of a text start.
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

    /// Returns line and column of a byte offset, both starting at 1.
    fn line_and_column(&self, offset: usize) -> (usize, usize) {
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        let column = self
            .text
            .get(start..offset)
            .map_or(0, |prefix| prefix.chars().count());
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

fn merge_by_name(base: &mut Vec<Node>, overlay: Vec<Node>) {
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

/// Appends a field name to a key.
pub(crate) fn join_key(key: &str, name: &str) -> String {
    if key.is_empty() {
        name.to_owned()
    } else {
        format!("{key}.{name}")
    }
}

/// Splits a key such as `routes[0].path` into field names and indexes.
fn key_segments(key: &str) -> impl Iterator<Item = &str> {
    key.split(['.', '[', ']'])
        .filter(|segment| !segment.is_empty())
}
