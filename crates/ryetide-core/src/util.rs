//! Small helpers shared by the modules of this crate.

/// Defines a string newtype that is cheap to clone, with `Display` and `FromStr`.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::ids::NameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                $crate::ids::check_name(text)?;
                Ok(Self(text.into()))
            }
        }
    };
}

/// Defines an integer newtype with `Display` and `FromStr`.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
            serde::Deserialize, serde::Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }
    };
}

pub(crate) use name_type;
pub(crate) use number_type;

/// Returns the span in whole milliseconds, saturating at the greatest number.
pub(crate) fn millis(span: std::time::Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
