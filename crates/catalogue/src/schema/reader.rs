//! Reads fields of a JSON object and gathers every fault.

use std::{fmt, ops::RangeInclusive};

use serde::{
    Deserialize, Deserializer,
    de::{Error, MapAccess, SeqAccess, Visitor},
};
use serde_json::{Map, Number, Value};

use super::fault::{EntryFault, FaultKind};

/// Longest text of a field, bytes.
const MAX_TEXT_BYTES: usize = 256;
/// Most elements of a list.
const MAX_LIST: usize = 64;
/// Marks the parser's error for a field that stands twice.
const DUPLICATE: &str = "duplicate field ";

/// Parses JSON, and refuses objects in which a field stands twice.
pub(crate) fn parse(json: &[u8]) -> Result<Value, FaultKind> {
    let parsed: Result<StrictValue, _> = serde_json::from_slice(json);
    match parsed {
        Ok(StrictValue(value)) => Ok(value),
        Err(error) if error.to_string().starts_with(DUPLICATE) => Err(FaultKind::Duplicate),
        Err(error) => Err(FaultKind::NotJson(error.to_string())),
    }
}

/// Reads the fields of one object.
///
/// Invariant: every method that finds a fault records it and returns the default, so that reading
/// goes on to the next fault. A value read is only used when no fault was recorded at all.
pub(crate) struct FieldReader<'a> {
    path: &'a str,
    object: &'a Map<String, Value>,
    known: Vec<&'static str>,
    faults: &'a mut Vec<EntryFault>,
}

impl<'a> FieldReader<'a> {
    pub(crate) fn new(
        path: &'a str,
        object: &'a Map<String, Value>,
        faults: &'a mut Vec<EntryFault>,
    ) -> Self {
        Self { path, object, known: Vec::new(), faults }
    }

    /// Records a fault of a field.
    pub(crate) fn fault(&mut self, field: &str, kind: FaultKind) {
        let path = format!("{}{field}", self.path);
        self.faults.push(EntryFault { field: path, kind });
    }

    /// A text that must be there and not be empty.
    pub(crate) fn required_text(&mut self, field: &'static str) -> String {
        let text = self.text(field, "");
        if text.is_empty() && !self.is_faulty(field) {
            self.fault(field, FaultKind::Missing);
        }
        text
    }

    pub(crate) fn text(&mut self, field: &'static str, default: &str) -> String {
        match self.take(field) {
            None => default.to_owned(),
            Some(Value::String(text)) if text.len() <= MAX_TEXT_BYTES => text.clone(),
            Some(Value::String(_)) => {
                self.refused(field, FaultKind::TooLong { most: MAX_TEXT_BYTES }, default.to_owned())
            }
            Some(_) => {
                self.refused(field, FaultKind::WrongType { expected: "a text" }, default.to_owned())
            }
        }
    }

    pub(crate) fn boolean(&mut self, field: &'static str, default: bool) -> bool {
        match self.take(field) {
            None => default,
            Some(Value::Bool(value)) => *value,
            Some(_) => {
                self.refused(field, FaultKind::WrongType { expected: "true or false" }, default)
            }
        }
    }

    pub(crate) fn whole(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let Some(value) = self.take(field) else { return default };
        match value.as_u64() {
            Some(number) if range.contains(&number) => number,
            None if !value.is_number() => {
                self.refused(field, FaultKind::WrongType { expected: "a whole number" }, default)
            }
            _ => {
                let (least, most) = (*range.start() as f64, *range.end() as f64);
                self.refused(field, FaultKind::OutOfRange { least, most }, default)
            }
        }
    }

    /// Like [`Self::whole`], for fields of 32 bits; `range` must lie within them.
    pub(crate) fn count(
        &mut self,
        field: &'static str,
        range: RangeInclusive<u32>,
        default: u32,
    ) -> u32 {
        let wide = u64::from(*range.start())..=u64::from(*range.end());
        self.whole(field, wide, u64::from(default)) as u32
    }

    pub(crate) fn fraction(
        &mut self,
        field: &'static str,
        range: RangeInclusive<f64>,
        default: f64,
    ) -> f64 {
        let Some(value) = self.take(field) else { return default };
        match value.as_f64() {
            Some(number) if range.contains(&number) => number,
            Some(_) => {
                let (least, most) = (*range.start(), *range.end());
                self.refused(field, FaultKind::OutOfRange { least, most }, default)
            }
            None => self.refused(field, FaultKind::WrongType { expected: "a number" }, default),
        }
    }

    /// One word of a closed set: the place of the word in `words`.
    pub(crate) fn word(
        &mut self,
        field: &'static str,
        words: &'static [&'static str],
        default: usize,
    ) -> usize {
        let Some(value) = self.take(field) else { return default };
        let place = value.as_str().and_then(|text| words.iter().position(|word| *word == text));
        match place {
            Some(place) => place,
            None => self.refused(field, FaultKind::NotOneOf(words), default),
        }
    }

    pub(crate) fn texts(&mut self, field: &'static str) -> Vec<String> {
        const EXPECTED: &str = "a list of texts";
        let list = match self.take(field) {
            None => return Vec::new(),
            Some(Value::Array(list)) => list,
            Some(_) => {
                return self.refused(
                    field,
                    FaultKind::WrongType { expected: EXPECTED },
                    Vec::new(),
                );
            }
        };
        if list.len() > MAX_LIST {
            return self.refused(field, FaultKind::TooLong { most: MAX_LIST }, Vec::new());
        }
        let texts: Option<Vec<String>> = list.iter().map(short_text).collect();
        match texts {
            Some(texts) => texts,
            None => self.refused(field, FaultKind::WrongType { expected: EXPECTED }, Vec::new()),
        }
    }

    /// Reads an object within the object; `None` when it isn't there.
    pub(crate) fn section<T>(
        &mut self,
        field: &'static str,
        read: impl FnOnce(&mut FieldReader<'_>) -> T,
    ) -> Option<T> {
        let object = match self.take(field)? {
            Value::Object(object) => object,
            _ => return self.refused(field, FaultKind::WrongType { expected: "an object" }, None),
        };
        let path = format!("{}{field}.", self.path);
        let mut reader = FieldReader::new(&path, object, self.faults);
        let value = read(&mut reader);
        reader.finish();
        Some(value)
    }

    /// Records every field that nobody asked for.
    pub(crate) fn finish(mut self) {
        let object = self.object;
        for field in object.keys() {
            if !self.known.contains(&field.as_str()) {
                self.fault(field, FaultKind::Unknown);
            }
        }
    }

    fn take(&mut self, field: &'static str) -> Option<&'a Value> {
        self.known.push(field);
        self.object.get(field)
    }

    fn refused<T>(&mut self, field: &str, kind: FaultKind, default: T) -> T {
        self.fault(field, kind);
        default
    }

    fn is_faulty(&self, field: &str) -> bool {
        let path = format!("{}{field}", self.path);
        self.faults.iter().any(|fault| fault.field == path)
    }
}

fn short_text(value: &Value) -> Option<String> {
    value.as_str().filter(|text| text.len() <= MAX_TEXT_BYTES).map(str::to_owned)
}

/// A JSON value whose objects hold each field once. `serde_json::Value` keeps the last one in
/// silence: the operator's other line would have no effect and nobody would tell.
struct StrictValue(Value);

impl<'de> Deserialize<'de> for StrictValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(StrictVisitor).map(Self)
    }
}

struct StrictVisitor;

impl<'de> Visitor<'de> for StrictVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Value, A::Error> {
        let mut values = Vec::new();
        while let Some(StrictValue(value)) = list.next_element()? {
            values.push(value);
        }
        Ok(Value::Array(values))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut object = Map::new();
        while let Some((field, StrictValue(value))) = map.next_entry::<String, StrictValue>()? {
            if object.insert(field.clone(), value).is_some() {
                return Err(A::Error::custom(format!("{DUPLICATE}{field}")));
            }
        }
        Ok(Value::Object(object))
    }
}
