//! Distribution of the accepted configuration from log readers to every daemon.
