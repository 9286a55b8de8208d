//! Membership: announcements, join records, failure detection.
