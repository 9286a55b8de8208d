//! The two lists: parsing, validation, fold, snapshot and delta.
