//! Names and numbers that identify things.

use std::fmt;
use std::str::FromStr;

use derive_more::{AsRef, Deref, Display, From, FromStr, Into};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::error::{ErrorKind, KindError};

/// Longest name in bytes; names travel in every message.
pub const MAX_NAME_BYTES: usize = 64;

/// Declares text newtypes whose characters and length are checked.
macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            AsRef, Clone, Debug, Deref, Deserialize, Display, Eq, Hash, Ord, PartialEq,
            PartialOrd, Serialize,
        )]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        pub struct $name(Box<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = KindError;

            fn from_str(text: &str) -> Result<Self, KindError> {
                check_name(text).map(|()| Self(text.into()))
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = KindError;

            fn try_from(text: Box<str>) -> Result<Self, KindError> {
                check_name(&text).map(|()| Self(text))
            }
        }

        impl From<$name> for Box<str> {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    )+};
}

name_types! {
    /// Who publishes a change.
    AuthorName,
    /// A customer, who holds one plan.
    CustomerName,
    /// A daemon's name for people.
    DaemonName,
    /// A failure domain.
    DomainName,
    /// An HTTP method.
    MethodName,
    /// A plan that customers hold.
    PlanName,
    /// A region, made of failure domains.
    RegionName,
    /// A service, offered by targets.
    ServiceName,
    /// A stream of the log service.
    StreamName,
    /// A target, one back-end process.
    TargetName,
}

fn check_name(text: &str) -> Result<(), KindError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.@:".contains(&byte);
    let sound = !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed);
    if sound {
        return Ok(());
    }
    Err(KindError::new(
        ErrorKind::NameInvalid,
        format!("{text:?}: a name is 1 to {MAX_NAME_BYTES} of a-z A-Z 0-9 - _ . @ :"),
    ))
}

/// Declares number newtypes shown as decimal digits.
#[macro_export]
macro_rules! number_types {
    ($($(#[$doc:meta])* $name:ident($number:ty)),+ $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd,
            ::derive_more::Display, ::derive_more::From, ::derive_more::FromStr,
            ::derive_more::Into, ::serde::Deserialize, ::serde::Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $number);
    )+};
}

number_types! {
    /// One run of a daemon or target; a later run has a higher number.
    IncarnationNumber(u64),
    /// A position in a stream of the log service.
    LogOffset(u64),
}

impl LogOffset {
    /// The position after this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// A daemon, shown as 16 hexadecimal digits.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    From,
    Hash,
    Into,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(transparent)]
pub struct DaemonId(pub u64);

impl fmt::Display for DaemonId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for DaemonId {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self, KindError> {
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|error| KindError::new(ErrorKind::NameInvalid, format!("{text:?}: {error}")))
    }
}

/// A change's identity, chosen by its author, so that a repeated append counts once.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    Eq,
    From,
    FromStr,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(transparent)]
pub struct ChangeId(pub uuid::Uuid);

/// The version of a configuration: the offset of the change that made it.
///
/// Ordered; [`ConfigVersion::NONE`], before any change, is the lowest. In JSON
/// it is the text that operators see.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConfigVersion(u64);

impl ConfigVersion {
    /// No change accepted yet.
    pub const NONE: Self = Self(0);

    /// The version made by the change at `offset`.
    pub fn at(offset: LogOffset) -> Self {
        Self(offset.0.saturating_add(1))
    }

    /// How many records lead to it; 0 for [`Self::NONE`].
    pub fn number(self) -> u64 {
        self.0
    }

    /// The offset of the change that made this version.
    pub fn offset(self) -> Option<LogOffset> {
        self.0.checked_sub(1).map(LogOffset)
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.offset() {
            Some(offset) => offset.fmt(f),
            None => f.write_str("none"),
        }
    }
}

impl Serialize for ConfigVersion {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        self.0.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for ConfigVersion {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return Deserialize::deserialize(deserializer).map(Self);
        }
        let text = Box::<str>::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

impl FromStr for ConfigVersion {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self, KindError> {
        if text == "none" {
            return Ok(Self::NONE);
        }
        text.parse()
            .map(Self::at)
            .map_err(|error| KindError::new(ErrorKind::NameInvalid, format!("{text:?}: {error}")))
    }
}
