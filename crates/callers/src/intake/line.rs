//! The check of one line.

use std::{borrow::Cow, fmt};

use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};

use super::fault::LineFault;

/// One line; further fields are allowed and ignored.
#[derive(Deserialize)]
struct ItemLine<'a> {
    #[serde(borrow)]
    custom_id: Cow<'a, str>,
    #[serde(rename = "body")]
    _body: ObjectShape,
}

/// Checks a line and returns its id.
pub(super) fn check_line(line: &[u8], id_bytes: usize) -> Result<Cow<'_, str>, LineFault> {
    let text = std::str::from_utf8(line)
        .map_err(|error| LineFault::NotUtf8 { column: error.valid_up_to() + 1 })?;
    let item: ItemLine<'_> = serde_json::from_str(text).map_err(|error| malformed(&error))?;
    match item.custom_id.len() {
        0 => Err(LineFault::EmptyId),
        length if length > id_bytes => Err(LineFault::LongId { limit: id_bytes }),
        _ => Ok(item.custom_id),
    }
}

/// The parser counts lines from the start of this one, which would contradict the true number.
fn malformed(error: &serde_json::Error) -> LineFault {
    let text = error.to_string();
    let detail = text.split(" at line ").next().unwrap_or_default().to_owned();
    LineFault::Malformed { column: error.column(), detail }
}

/// A JSON object, checked to its depths and thrown away. Whoever parses the body later would fail
/// on what is let through here, with the job long accepted: nesting that is too deep, numbers out
/// of range.
struct ObjectShape;

impl<'de> Deserialize<'de> for ObjectShape {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(ObjectVisitor)
    }
}

struct ObjectVisitor;

impl<'de> Visitor<'de> for ObjectVisitor {
    type Value = ObjectShape;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<ObjectShape, A::Error> {
        while map.next_entry::<ValueShape, ValueShape>()?.is_some() {}
        Ok(ObjectShape)
    }
}

/// Any JSON value, checked and thrown away.
struct ValueShape;

impl<'de> Deserialize<'de> for ValueShape {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = ValueShape;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any value")
    }

    fn visit_unit<E>(self) -> Result<ValueShape, E> {
        Ok(ValueShape)
    }

    fn visit_bool<E>(self, _: bool) -> Result<ValueShape, E> {
        Ok(ValueShape)
    }

    fn visit_i64<E>(self, _: i64) -> Result<ValueShape, E> {
        Ok(ValueShape)
    }

    fn visit_u64<E>(self, _: u64) -> Result<ValueShape, E> {
        Ok(ValueShape)
    }

    fn visit_f64<E>(self, _: f64) -> Result<ValueShape, E> {
        Ok(ValueShape)
    }

    fn visit_str<E>(self, _: &str) -> Result<ValueShape, E> {
        Ok(ValueShape)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<ValueShape, A::Error> {
        while items.next_element::<ValueShape>()?.is_some() {}
        Ok(ValueShape)
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<ValueShape, A::Error> {
        ObjectVisitor.visit_map(map).map(|_| ValueShape)
    }
}
