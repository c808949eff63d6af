//! Conversion between stored values, which may be any CBOR value, and the messages that they represent.

use ciborium::Value;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Converts a message to a stored value. A message whose serialization fails becomes null, which doesn't happen for
/// types with a derived `Serialize`.
pub fn to_value<T: Serialize>(value: &T) -> Value {
    Value::serialized(value).unwrap_or(Value::Null)
}

/// Converts a stored value to a message. Returns `None` if the value is not in the message's format.
pub fn from_value<T: DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}
