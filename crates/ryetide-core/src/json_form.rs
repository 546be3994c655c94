//! The JSON form of our own values.

use serde::Serialize;

/// Returns the JSON form of a value of our own.
///
/// Rows, frames and bodies are made of structures whose keys are texts, so they always have one. An
/// empty text in its place would be worse than the end of the process: written as a row, it would
/// put a configuration or a claim out of the world.
///
/// # Panics
///
/// When the value has no JSON form, such as a map whose keys are structures.
///
/// # Example
///
/// ```
/// assert_eq!(ryetide_core::json_form::encode(&[1, 2]), "[1,2]");
/// ```
pub fn encode(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("structures with texts for keys have a JSON form")
}
