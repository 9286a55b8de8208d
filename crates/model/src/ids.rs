//! Validated names and typed ids.

use std::fmt;
use std::str::FromStr;

use derive_more::{AsRef, Deref, Display, From, FromStr, Into};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::error::{ErrorKind, KindError};

/// Maximum length of a name in bytes; bounded because names are part of every message.
pub const MAX_NAME_BYTES: usize = 64;

/// Declares string newtypes with validated characters and length.
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
            /// Returns the name as a string slice.
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
    /// The author of a configuration change.
    AuthorName,
    /// A customer, which has exactly one plan.
    CustomerName,
    /// The human-readable name of a daemon.
    DaemonName,
    /// A failure domain.
    DomainName,
    /// An HTTP method.
    MethodName,
    /// An organisation that sends requests under its own keys and quota.
    OrganisationName,
    /// A plan to which customers are assigned.
    PlanName,
    /// A region, which consists of failure domains.
    RegionName,
    /// A service, offered by targets.
    ServiceName,
    /// A stream of the log service.
    StreamName,
    /// A target, which is one back-end process.
    TargetName,
    /// The version of a target's software.
    TargetVersion,
}

fn check_name(text: &str) -> Result<(), KindError> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.@:".contains(&byte);
    let valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed);
    if valid {
        return Ok(());
    }
    Err(KindError::new(
        ErrorKind::NameInvalid,
        format!("{text:?}: a name is 1 to {MAX_NAME_BYTES} of a-z A-Z 0-9 - _ . @ :"),
    ))
}

/// Declares integer newtypes displayed in decimal.
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
    /// Number of a process run of a daemon or target; each restart has a higher one.
    IncarnationNumber(u64),
    /// The position of a record in a stream of the log service.
    LogOffset(u64),
}

impl LogOffset {
    /// Returns the following offset.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

/// The id of a daemon, displayed as 16 hexadecimal digits.
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

/// The id of a change, chosen by its author so that a repeated append is applied once.
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

/// The version of a configuration: the version number of the record that created it.
///
/// Every record of the config stream has a version number, whether accepted or
/// refused: an accepted rebase sets its own, any other record has the number
/// after that of the record before it. Without a rebase, the number is the
/// record's offset plus one; since a rebase, it is independent of the offset.
/// Versions are ordered; [`ConfigVersion::NONE`], before any change, is the
/// lowest. The display text is the number minus one, or `none`. Human-readable
/// formats such as JSON contain the display text.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConfigVersion(u64);

impl ConfigVersion {
    /// The version before the first accepted change.
    pub const NONE: Self = Self(0);

    /// Returns the version with the number `offset + 1`.
    ///
    /// This is the version of the record at `offset` unless the stream contains
    /// a rebase at or before it.
    pub fn at(offset: LogOffset) -> Self {
        Self(offset.0.saturating_add(1))
    }

    /// Returns the version number; 0 for [`Self::NONE`].
    ///
    /// Without a rebase, this is the number of records up to this version.
    pub fn number(self) -> u64 {
        self.0
    }

    /// Returns the version number minus one; `None` for [`Self::NONE`].
    ///
    /// Without a rebase, this is the offset of the record that created this version.
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
