//! CBOR encoding, decoding with limits for untrusted data, and the size by which the key-value store limits values.

use serde::de::{DeserializeOwned, Deserializer, Visitor};
use serde::{Deserialize, Serialize};
use std::fmt;
use thiserror::Error;

/// Maximum nesting depth of a decoded value: decoding is recursive, and threads have small stacks.
const MAX_DEPTH: usize = 16;
/// Initial capacity of an encoded message's buffer in bytes: sufficient for most messages.
const MESSAGE_CAPACITY: usize = 128;

/// Reasons why bytes can't be decoded as a message of the expected type.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The CBOR is malformed or nested too deeply, or the value has another type.
    #[error("not valid CBOR for this message: {0}")]
    Malformed(#[from] ciborium::de::Error<std::io::Error>),
    /// There are further bytes after the value.
    #[error("not valid CBOR for this message: bytes after the end")]
    TrailingBytes,
}

/// Decodes one value, which must occupy all of `bytes`. Unknown fields are ignored unless `T` denies them.
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

/// Encodes a message. Serialization of `T` must not fail, which holds for all derived implementations. If it
/// fails, the error is logged and an empty vector is returned, which no peer can decode.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(MESSAGE_CAPACITY);
    if let Err(error) = ciborium::into_writer(value, &mut bytes) {
        log::error!(error:%; "encoding message as CBOR failed");
        bytes.clear();
    }
    bytes
}

/// Maximum length of the JSON literals `true`, `false` and `null` in bytes.
const JSON_LITERAL_LEN: usize = 5;
/// Maximum length of a floating-point number in JSON, in bytes.
const JSON_FLOAT_LEN: usize = 24;
/// Length that stands for a value that JSON can't represent: above all limits, and small enough that the sum of a
/// few of them doesn't overflow.
const UNREPRESENTABLE_LEN: usize = usize::MAX / 4;

/// An upper bound of the length in bytes of a value in compact JSON. The size limits of the key-value store apply to
/// this length.
pub fn json_len(value: &ciborium::Value) -> usize {
    use ciborium::Value;
    match value {
        Value::Null | Value::Bool(_) => JSON_LITERAL_LEN,
        Value::Integer(number) => i128::from(*number).to_string().len(),
        Value::Float(_) => JSON_FLOAT_LEN,
        Value::Text(text) => 2 + text.chars().map(json_char_len).sum::<usize>(),
        Value::Array(items) => json_list_len(items.iter().map(json_len)),
        Value::Map(entries) => json_list_len(
            entries
                .iter()
                .map(|(key, value)| json_len(key) + 1 + json_len(value)),
        ),
        _ => UNREPRESENTABLE_LEN,
    }
}

/// Upper bound for an array or an object: two brackets, and a comma for each item.
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

/// A number in a message. It is encoded as a float, and decoded from an integer or a float, since peers use either
/// for whole numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Number(
    /// The value. Integers above 2^53 are rounded.
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
