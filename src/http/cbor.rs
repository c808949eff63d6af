//! CBOR bodies: decoding with bounds for outside data, encoding, and the size limit's measure.

use serde::de::{DeserializeOwned, Deserializer, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;
use thiserror::Error;

/// The deepest accepted nesting: decoding recurses, and threads have small stacks.
const MAX_DEPTH: usize = 16;
/// Capacity in bytes with which the buffer of an encoded message begins: most fit.
const MESSAGE_CAPACITY: usize = 128;

/// Why bytes are not a message of the expected type.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// Malformed CBOR, nested too deeply, or a value of another type.
    #[error("not valid CBOR for this message: {0}")]
    Malformed(#[from] ciborium::de::Error<std::io::Error>),
    /// The value ends before the bytes do.
    #[error("not valid CBOR for this message: bytes after the end")]
    TrailingBytes,
}

/// Decodes one value, which must take up all of `bytes`. Fields that `T` doesn't know are ignored unless
/// it says otherwise.
///
/// # Errors
///
/// [`DecodeError`] if the bytes are not one value of type `T`, or are nested too deeply.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let mut rest = bytes;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)?;
    if !rest.is_empty() {
        return Err(DecodeError::TrailingBytes);
    }
    Ok(value)
}

/// Encodes a message. `T` must be serializable without errors, as all derived types are; if it isn't, the
/// failure is logged and nothing is returned, which no peer can decode.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MESSAGE_CAPACITY);
    if let Err(error) = ciborium::into_writer(value, &mut bytes) {
        log::error!(error:%; "message not encoded");
        bytes.clear();
    }
    bytes
}

/// The length in bytes of each of JSON's three words, at most.
const JSON_WORD_LEN: usize = 5;
/// The length in bytes of a floating-point number in JSON, at most.
const JSON_FLOAT_LEN: usize = 24;
/// For values that JSON doesn't have: beyond all limits, and sums of a few don't overflow.
const NOT_JSON_LEN: usize = usize::MAX / 4;

/// An upper bound of a value's length in bytes as compact JSON, the form in which size limits of the key-value
/// store count.
pub fn json_len(value: &ciborium::Value) -> usize {
    use ciborium::Value;
    match value {
        Value::Null | Value::Bool(_) => JSON_WORD_LEN,
        Value::Integer(number) => i128::from(*number).to_string().len(),
        Value::Float(_) => JSON_FLOAT_LEN,
        Value::Text(text) => 2 + text.chars().map(json_char_len).sum::<usize>(),
        Value::Array(items) => json_list_len(items.iter().map(json_len)),
        Value::Map(entries) => json_list_len(
            entries
                .iter()
                .map(|(key, value)| json_len(key) + 1 + json_len(value)),
        ),
        _ => NOT_JSON_LEN,
    }
}

/// Two brackets, and a comma for each item.
fn json_list_len(item_lens: impl Iterator<Item = usize>) -> usize {
    2 + item_lens.map(|len| len + 1).sum::<usize>()
}

fn json_char_len(c: char) -> usize {
    match c {
        '"' | '\\' => 2,
        c if c.is_control() => 6,
        c => c.len_utf8(),
    }
}

/// A number of a message, sent as a float and accepted as an integer or a float: peers encode whole
/// amounts either way.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Number(
    /// The value; integers beyond 2^53 are rounded.
    pub f64,
);

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NumberVisitor)
    }
}

struct NumberVisitor;

impl Visitor<'_> for NumberVisitor {
    type Value = Number;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a number")
    }

    fn visit_f64<E>(self, value: f64) -> Result<Number, E> {
        Ok(Number(value))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Number, E> {
        Ok(Number(value as f64))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Number, E> {
        Ok(Number(value as f64))
    }
}
