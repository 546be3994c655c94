//! Encodes this crate's own values as JSON.

use serde::Serialize;

/// Returns a value as JSON text.
///
/// Rows, frames and bodies consist of structures with strings as keys, so encoding them cannot
/// fail. A panic is better than an empty text in place of the value: written to a row, the empty
/// text would destroy a configuration or a claim.
///
/// # Panics
///
/// Panics when the value cannot be encoded, such as a map whose keys are structures.
///
/// # Example
///
/// ```
/// assert_eq!(ryetide_core::json_form::encode(&[1, 2]), "[1,2]");
/// ```
pub fn encode(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("a structure with strings as keys can be encoded as JSON")
}
