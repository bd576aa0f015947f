//! A parsed document as a tree that keeps the line of each value, so that an invalid field is reported with its line.

use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_json::Value;
use serde_saphyr::Spanned;

/// The deepest nesting that is accepted; the manifest's own types need 6 levels.
const MAX_DEPTH: usize = 32;

/// A value and the line on which it begins.
#[derive(Clone, Debug)]
pub struct Located {
    /// The line, from 1; 0 if the parser does not know it.
    pub line: usize,
    /// The value.
    pub node: Node,
}

/// A value whose parts carry their lines.
#[derive(Clone, Debug)]
pub enum Node {
    /// A number, string, boolean or null.
    Scalar(Value),
    /// A list.
    List(Vec<Located>),
    /// A mapping, with its members in the order of the text.
    Map(Vec<(String, Located)>),
}

impl Located {
    /// Returns the member of a mapping with this name.
    pub fn member(&self, name: &str) -> Option<&Self> {
        let Node::Map(members) = &self.node else {
            return None;
        };
        let found = members.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value)
    }

    /// Returns the items of a list; none if the value is not a list.
    pub fn items(&self) -> &[Self] {
        match &self.node {
            Node::List(items) => items,
            Node::Scalar(_) | Node::Map(_) => &[],
        }
    }

    /// Returns the line of the field at a path such as `services[0].rules[1].deadline_ms`; if the text lacks the field,
    /// the line of its nearest container that exists.
    pub fn line_of(&self, path: &str) -> usize {
        let mut at = self;
        let steps = path.split(['.', '[', ']']).filter(|step| !step.is_empty());
        for step in steps {
            let next = match step.parse::<usize>() {
                Ok(index) => at.items().get(index),
                Err(_) => at.member(step),
            };
            match next {
                Some(next) => at = next,
                None => break,
            }
        }
        at.line
    }

    /// Returns the value without its lines.
    pub fn value(&self) -> Value {
        match &self.node {
            Node::Scalar(value) => value.clone(),
            Node::List(items) => items.iter().map(Self::value).collect(),
            Node::Map(members) => {
                let members = members.iter();
                let members = members.map(|(key, value)| (key.clone(), value.value()));
                Value::Object(members.collect())
            }
        }
    }

    /// Tells whether the nesting is within the accepted depth.
    pub fn is_shallow(&self) -> bool {
        self.depth_within(MAX_DEPTH)
    }

    fn depth_within(&self, left: usize) -> bool {
        let Some(left) = left.checked_sub(1) else {
            return false;
        };
        match &self.node {
            Node::Scalar(_) => true,
            Node::List(items) => items.iter().all(|item| item.depth_within(left)),
            Node::Map(members) => members.iter().all(|(_, value)| value.depth_within(left)),
        }
    }
}

impl<'de> Deserialize<'de> for Located {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<Node>::deserialize(deserializer)?;
        Ok(Self {
            line: usize::try_from(spanned.referenced.line()).unwrap_or_default(),
            node: spanned.value,
        })
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Node, E> {
        Ok(Node::Scalar(value.into()))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Node, E> {
        Ok(Node::Scalar(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Scalar(value.into()))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Scalar(value.into()))
    }

    fn visit_str<E>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Scalar(value.into()))
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Scalar(Value::Null))
    }

    fn visit_none<E>(self) -> Result<Node, E> {
        Ok(Node::Scalar(Value::Null))
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Node, D::Error> {
        Node::deserialize(deserializer)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element()? {
            items.push(item);
        }
        Ok(Node::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let mut members = Vec::new();
        while let Some(member) = map.next_entry()? {
            members.push(member);
        }
        Ok(Node::Map(members))
    }
}
