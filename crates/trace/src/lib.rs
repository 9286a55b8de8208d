//! The time line of events over all processes.
