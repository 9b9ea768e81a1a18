//! Macros that define newtypes with the same set of traits.

/// Defines a text id: 1 to 64 characters from `A-Z a-z 0-9 . _ -`.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        checked_text!($(#[$doc])* $name, $kind, check);
    };
}

/// Defines an id that is a name given by an operator: 1 to 1,024 bytes without control characters.
macro_rules! text_name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        checked_text!($(#[$doc])* $name, $kind, check_name);

        impl $name {
            /// Checks that the name could also be a text id: 1 to 64 letters, digits, `.`, `_` or
            /// `-`.
            pub fn check_plain(&self) -> Result<(), ParseIdError> {
                ParseIdError::check($kind, &self.0)
            }
        }
    };
}

/// Defines a newtype of a text that a function of [`ParseIdError`] checks.
macro_rules! checked_text {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $check:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name(String);

        impl $name {
            /// The id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                ParseIdError::$check($kind, text)?;
                Ok(Self(text.to_string()))
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, ParseIdError> {
                ParseIdError::$check($kind, &text)?;
                Ok(Self(text))
            }
        }
    };
}

/// Defines an integer quantity or counter that is displayed as a plain number.
macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Wraps a raw number.
            pub const fn new(raw: $inner) -> Self {
                Self(raw)
            }

            /// The raw number.
            pub const fn get(self) -> $inner {
                self.0
            }
        }

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseValueError;

            fn from_str(text: &str) -> Result<Self, ParseValueError> {
                text.parse().map(Self).map_err(|_| ParseValueError::new($kind, text))
            }
        }
    };
}

/// Defines a SHA-256 digest that is displayed and parsed as 64 hex digits.
macro_rules! digest {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(into = "String", try_from = "String")]
        pub struct $name([u8; 32]);

        impl Display for $name {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
            }
        }

        impl FromStr for $name {
            type Err = ParseValueError;

            fn from_str(text: &str) -> Result<Self, ParseValueError> {
                let error = || ParseValueError::new($kind, text);
                if text.len() != 64 || !text.is_ascii() {
                    return Err(error());
                }
                let mut digest = [0; 32];
                for (index, byte) in digest.iter_mut().enumerate() {
                    let digits = &text[2 * index..2 * index + 2];
                    *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
                }
                Ok(Self(digest))
            }
        }

        impl From<$name> for String {
            fn from(digest: $name) -> String {
                digest.to_string()
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseValueError;

            fn try_from(text: String) -> Result<Self, ParseValueError> {
                text.parse()
            }
        }
    };
}
