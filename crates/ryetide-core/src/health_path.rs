//! The path at which the targets of a service answer with their state.

use std::{fmt, str};

const DEFAULT_PATH: &str = "/health";

/// The path of a GET request that a target answers with its state, whatever its load.
///
/// # Example
///
/// ```
/// use ryetide_core::health_path::HealthPath;
///
/// let path: HealthPath = "/status/live".parse().unwrap();
/// assert_eq!(path.as_str(), "/status/live");
/// assert!("no slash".parse::<HealthPath>().is_err());
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HealthPath(String);

impl HealthPath {
    /// Returns the path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Default for HealthPath {
    fn default() -> Self {
        Self(DEFAULT_PATH.to_owned())
    }
}

impl fmt::Display for HealthPath {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Why a text is no health path.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is no path: a slash and visible ASCII characters")]
pub struct HealthPathError(String);

impl str::FromStr for HealthPath {
    type Err = HealthPathError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_path = text.starts_with('/') && text.bytes().all(|byte| byte.is_ascii_graphic());
        is_path.then(|| Self(text.to_owned())).ok_or_else(|| HealthPathError(text.to_owned()))
    }
}
