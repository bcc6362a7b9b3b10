//! Which keys a configuration has: what another one has to have as well to be whole.
//!
//! Only keys are kept, and of a list's entries one for each kind that occurs: a list of hundreds of thousands of
//! tenants with the same keys takes no more room than one of them.

use serde::Deserialize;
use serde::de::{Deserializer, MapAccess, SeqAccess, Visitor};
use std::collections::BTreeMap;
use std::fmt;

/// The keys of a JSON value.
#[derive(Debug, PartialEq)]
pub(super) enum Shape {
    /// The keys of an object, each with the shape of its value.
    Object(BTreeMap<Box<str>, Shape>),
    /// The shapes that the entries of a list have, each with the position of its first entry.
    List(Vec<(usize, Shape)>),
    /// A value without keys.
    Scalar,
}

impl Shape {
    /// Removes a key of an object.
    pub(super) fn remove(&mut self, key: &str) {
        if let Self::Object(keys) = self {
            keys.remove(key);
        }
    }

    /// The path of the first key that this has and `next` has not, and so for the objects in it. Of a list's objects
    /// each has to have the keys that all of the list's objects here have.
    pub(super) fn missing_in(&self, next: &Self) -> Option<String> {
        missing("", self, next)
    }

    fn has_key(&self, key: &str) -> bool {
        matches!(self, Self::Object(keys) if keys.contains_key(key))
    }
}

fn missing(path: &str, old: &Shape, new: &Shape) -> Option<String> {
    match (old, new) {
        (Shape::Object(old), Shape::Object(new)) => missing_key(path, old.iter(), new),
        (Shape::List(old), Shape::List(new)) => missing_in_entry(path, old, new),
        (Shape::Object(_), _) => Some(path.to_owned()),
        _ => None,
    }
}

fn missing_key<'a>(
    path: &str,
    mut old: impl Iterator<Item = (&'a Box<str>, &'a Shape)>,
    new: &BTreeMap<Box<str>, Shape>,
) -> Option<String> {
    old.find_map(|(key, old)| {
        let path = if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
        match new.get(key) {
            Some(new) => missing(&path, old, new),
            None => Some(path),
        }
    })
}

fn missing_in_entry(path: &str, old: &[(usize, Shape)], new: &[(usize, Shape)]) -> Option<String> {
    let ((_, Shape::Object(first)), rest) = old.split_first()? else { return None };
    let is_common = |key: &str| rest.iter().all(|(_, other)| other.has_key(key));
    new.iter().find_map(|(position, new)| {
        let path = format!("{path}[{position}]");
        let Shape::Object(new) = new else { return Some(path) };
        missing_key(&path, first.iter().filter(|(key, _)| is_common(key)), new)
    })
}

impl<'de> Deserialize<'de> for Shape {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ShapeVisitor)
    }
}

struct ShapeVisitor;

impl<'de> Visitor<'de> for ShapeVisitor {
    type Value = Shape;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Shape, A::Error> {
        let mut keys = BTreeMap::new();
        while let Some((key, value)) = map.next_entry::<Box<str>, Shape>()? {
            keys.insert(key, value);
        }
        Ok(Shape::Object(keys))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Shape, A::Error> {
        let mut shapes: Vec<(usize, Shape)> = Vec::new();
        let mut position = 0;
        while let Some(shape) = list.next_element::<Shape>()? {
            if !shapes.iter().any(|(_, known)| *known == shape) {
                shapes.push((position, shape));
            }
            position += 1;
        }
        Ok(Shape::List(shapes))
    }

    fn visit_unit<E>(self) -> Result<Shape, E> {
        Ok(Shape::Scalar)
    }

    fn visit_bool<E>(self, _: bool) -> Result<Shape, E> {
        Ok(Shape::Scalar)
    }

    fn visit_i64<E>(self, _: i64) -> Result<Shape, E> {
        Ok(Shape::Scalar)
    }

    fn visit_u64<E>(self, _: u64) -> Result<Shape, E> {
        Ok(Shape::Scalar)
    }

    fn visit_f64<E>(self, _: f64) -> Result<Shape, E> {
        Ok(Shape::Scalar)
    }

    fn visit_str<E>(self, _: &str) -> Result<Shape, E> {
        Ok(Shape::Scalar)
    }
}
