//! Ids, units, error kinds and the clock interface shared by all crates.
//!
//! The types here are plain data. Numbers with different meanings have
//! separate newtypes with `Display` and `FromStr`, so that the compiler
//! rejects an offset where a count is expected. [`ErrorKind`] lists all error
//! kinds; its table defines how callers, operators and retrying daemons treat
//! each of them.

pub mod class;
pub mod clock;
pub mod error;
pub mod ids;
pub mod units;

pub use class::CallClass;
pub use clock::{ClockPort, FakeClock, SharedClock, SystemClock};
pub use error::{ErrorKind, ErrorProperties, KindError, Result, ensure};
pub use ids::{
    AuthorName, ChangeId, ConfigVersion, CustomerName, DaemonId, DaemonName, DomainName,
    IncarnationNumber, LogOffset, MethodName, OrganisationName, PlanName, RegionName, ServiceName,
    StreamName, TargetName, TargetVersion,
};
pub use units::{ByteCount, CallCount, CallRate, RecordCount};
