//! CBOR bodies. Outside data is bounded in depth, and numbers are taken in either form.

use serde::de::{DeserializeOwned, Deserializer, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Nesting deeper than this is refused: threads have small stacks.
const MAX_DEPTH: usize = 16;

#[derive(Debug, thiserror::Error)]
#[error("not valid CBOR for this message: {0}")]
pub struct CborError(String);

/// Decodes one value that fills the whole of `bytes`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CborError> {
    let mut rest = bytes;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)
        .map_err(|e| CborError(e.to_string()))?;
    if !rest.is_empty() {
        return Err(CborError("bytes after the end".into()));
    }
    Ok(value)
}

pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    // Writing to memory cannot fail, and our own messages have no unserialisable parts.
    if let Err(e) = ciborium::into_writer(value, &mut out) {
        log::error!("encoding a message failed: {e}");
        out.clear();
    }
    out
}

/// How long a value is as JSON, at most: limits of size are counted in that form.
pub fn json_len(value: &ciborium::Value) -> usize {
    use ciborium::Value;
    let list = |lens: &mut dyn Iterator<Item = usize>| 2 + lens.map(|len| len + 1).sum::<usize>();
    match value {
        Value::Null | Value::Bool(_) => 5,
        Value::Integer(n) => i128::from(*n).to_string().len(),
        Value::Float(_) => 24,
        Value::Text(text) => {
            let escaped = |c: char| match c {
                '"' | '\\' => 2,
                c if c.is_control() => 6,
                c => c.len_utf8(),
            };
            2 + text.chars().map(escaped).sum::<usize>()
        }
        Value::Array(items) => list(&mut items.iter().map(json_len)),
        Value::Map(entries) => list(
            &mut entries
                .iter()
                .map(|(key, value)| json_len(key) + 1 + json_len(value)),
        ),
        _ => usize::MAX / 4,
    }
}

/// A decimal amount; integers are accepted in its place.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Number(pub f64);

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct V;
        impl Visitor<'_> for V {
            type Value = Number;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a number")
            }
            fn visit_f64<E>(self, v: f64) -> Result<Number, E> {
                Ok(Number(v))
            }
            fn visit_u64<E>(self, v: u64) -> Result<Number, E> {
                Ok(Number(v as f64))
            }
            fn visit_i64<E>(self, v: i64) -> Result<Number, E> {
                Ok(Number(v as f64))
            }
        }
        d.deserialize_any(V)
    }
}
