//! Ids, units, error kinds and the clock port shared by every area.
//!
//! Everything here is plain data. Numbers that mean different things have
//! types of their own, each with `Display` and `FromStr`, so that an offset
//! is never taken for a count. [`ErrorKind`] is the one closed list of what
//! can go wrong; its table says what a caller, an operator and a retrying
//! daemon make of each kind.

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
    IncarnationNumber, LogOffset, MethodName, PlanName, RegionName, ServiceName, StreamName,
    TargetName,
};
pub use units::{ByteCount, CallCount, CallRate, RecordCount};
