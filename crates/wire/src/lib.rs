//! Streams between daemons: h2 with bincode messages.
