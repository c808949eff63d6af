//! Values of the store: any CBOR value, converted from and to the messages that are stored.

use ciborium::Value;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A message as a value of the store. Types whose serialization fails become null; no derived type does.
pub fn to_value<T: Serialize>(value: &T) -> Value {
    Value::serialized(value).unwrap_or(Value::Null)
}

/// A value of the store as a message; None if it has another form.
pub fn from_value<T: DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}
